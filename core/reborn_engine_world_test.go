package core_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

const (
	// rebornDown is how long an engine is down before it starts again, and rebornEntry how long
	// after its start its entry is in the store.
	rebornDown  = 200 * time.Millisecond
	rebornEntry = 50 * time.Millisecond
)

// entry returns the engine's entry in the store.
func (u *worldUpstream) entry() core.Instance {
	if i, ok := u.listed.Get(); ok {
		return i
	}
	return u.Instance
}

// reborn ends an engine and starts it again under its id at a version. The store shows its
// predecessor until the entry is written.
func (w *hostedWorld) reborn(u *worldUpstream, version core.SoftwareVersion) {
	w.end(u)
	u.listed = core.Some(u.Instance)
	w.after(rebornDown, func() {
		u.dead = false
		u.Born++
		u.Version = version
		u.free, u.leases = worldMemory, map[core.LeaseID]core.Tokens{}
	})
	w.after(rebornDown+rebornEntry, func() {
		u.listed = core.None[core.Instance]()
		w.offset++
	})
}

// upgrade has a decode engine start again under its id at the next version, and then the
// engine that runs the most streams of its former version break off.
func (w *hostedWorld) upgrade(next map[core.SoftwareVersion]core.SoftwareVersion) {
	running := map[*worldUpstream]int{}
	for _, r := range w.requests {
		if run := r.events.current; run != nil && !run.ended && !r.ended && run.started {
			running[run.u]++
		}
	}
	var list []*worldUpstream
	for _, id := range w.ids {
		if u := w.ups[id]; u.Role == core.Decode && !u.dead && next[u.Version] != "" {
			list = append(list, u)
		}
	}
	slices.SortStableFunc(list, func(a, b *worldUpstream) int { return cmp.Compare(running[a], running[b]) })
	idle := list[0]
	former := idle.Version
	w.reborn(idle, next[former])
	w.after(rebornDown+rebornEntry+linkDelay, func() {
		for _, u := range slices.Backward(list) {
			if u != idle && !u.dead && u.Version == former {
				w.reborn(u, former)
				return
			}
		}
	})
}

// Engines start again under their ids at another version, and engines of their former version
// break off before the list of upstreams shows it. Streams were continued at the restarted engines,
// and streams that had begun there were resumed at the engines' former version.
func TestStreamsKeepTheirVersionWhenEnginesAreReborn(t *testing.T) {
	for _, c := range []struct {
		nodes, decoders int
		rate            float64
		namesBorn       bool
	}{{8, 12, 10, false}, {8, 12, 10, true}, {82, 60, 40, false}, {82, 60, 40, true}, {410, 120, 90, true}} {
		t.Run(fmt.Sprintf("%d nodes, engines say when they were born: %t", c.nodes, c.namesBorn), func(t *testing.T) {
			if testing.Short() && c.nodes > 82 {
				t.Skip("the race detector takes a minute for this size")
			}
			is := is.New(t)
			w := newHostedWorld(worldOptions{nodes: c.nodes, prefillers: c.decoders / 3, decoders: c.decoders, versions: 2, domains: 3, seed: 11})
			w.eventful, w.resumes, w.namesBorn = true, true, c.namesBorn
			w.pick = func() *worldNode { return w.nodes[w.rng.IntN(len(w.nodes))] }
			w.run(3 * time.Second)
			w.load("resumable", c.rate, 20*time.Second)
			w.run(4 * time.Second)
			reads := w.reads
			for range 16 {
				w.upgrade(map[core.SoftwareVersion]core.SoftwareVersion{"v0": "v1", "v1": "v0"})
				w.run(time.Second)
			}
			reads = w.reads - reads
			w.run(12 * time.Second)
			mixed, rerun := 0, 0
			for _, r := range w.requests {
				mixed += btoi(r.mixed)
				rerun += btoi(r.resumes != "" && r.runs > 1)
			}
			wentOn := 0
			for _, r := range w.resumed {
				wentOn += btoi(r.events.relayed >= r.output)
			}
			t.Logf("%d streams, %d run again within one answer, %d resumed by callers, of which %d went on; %d of two versions; %d connections held; %d reads of the store in 16 s",
				len(w.requests), rerun, len(w.resumed), wentOn, mixed, w.held, reads)
			is.True(rerun+len(w.resumed) >= 40)
			is.Equal(mixed, 0)
		})
	}
}
