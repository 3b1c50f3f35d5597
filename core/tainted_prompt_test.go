package core_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

const (
	// contact is the time after which nodes must act on what any of them has seen.
	contact = 3 * time.Second
	// engineRestart is how long an engine is away after it has ended.
	engineRestart = 3 * time.Second
	// toleratedCrashes is how many engines may end before the bound counts, and
	// toleratedArrivals how many requests may reach engines after it.
	toleratedCrashes, toleratedArrivals = 5, 3
)

func (w *hostedWorld) isDeadly(r *worldRequest) bool {
	return w.deadly != "" && slices.Contains(r.parts, w.deadly) || w.deadlyKey != "" && r.key == w.deadlyKey
}

func (w *hostedWorld) recordDeadly(id core.ForwardID) {
	if w.isDeadly(w.requests[id]) {
		w.deadlyArrivals = append(w.deadlyArrivals, w.now)
	}
}

// crash ends an engine, which breaks off all its streams, and starts it again after
// engineRestart.
func (w *hostedWorld) crash(u *worldUpstream) {
	w.end(u)
	w.after(engineRestart, func() {
		u.dead = false
		u.Born++
		w.offset++
	})
}

// end ends an engine, which breaks off all its streams.
func (w *hostedWorld) end(u *worldUpstream) {
	w.crashes = append(w.crashes, w.now)
	u.dead = true
	for _, id := range sortedIDs(w.requests) {
		r := w.requests[id]
		for _, run := range []*worldRun{r.events.current, r.events.replacement} {
			if run != nil && run.u == u && !run.ended && !r.ended {
				run.drop()
				r.node.deliverAfter(linkDelay, core.StepFailed{
					ID: run.ID, Send: run.Send, Engine: run.Engine, Step: core.RunStep, BrokenOff: true, Emitted: r.events.relayed > 0, Relay: r.node.relayOf(run.ID, run.Send),
				})
			}
		}
	}
	for _, id := range sortedIDs(w.requests) {
		if run, ok := u.plainRuns[id]; ok && !w.requests[id].ended {
			run.n.deliverAfter(linkDelay, core.StepFailed{
				ID: id, Send: run.c.Send, Engine: u.ID, Step: core.RunStep, BrokenOff: true, Relay: run.n.relayOf(id, run.c.Send),
			})
		}
	}
	u.plainRuns, u.waiting, u.running = nil, nil, 0
}

func sortedIDs(requests map[core.ForwardID]*worldRequest) []core.ForwardID {
	var ids []core.ForwardID
	for id := range requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// begun returns the share of the requests with the given parts, sent in a span, whose answer
// began at the first attempt.
func (w *hostedWorld) begun(parts []core.PromptPart, from, to core.Instant) (share float64, count int) {
	n := 0
	for _, r := range w.requests {
		if !slices.Equal(r.parts, parts) || r.retried || r.arrived < from || r.arrived >= to {
			continue
		}
		count++
		n += btoi(r.first != 0)
	}
	return float64(n) / float64(max(count, 1)), count
}

// One part of a prompt ends each engine that begins to write an answer on it. Requests with it
// come at all nodes, and each ended one engine after the other.
func TestPromptsThatEndEnginesAreRejected(t *testing.T) {
	for _, c := range []struct {
		nodes, decoders int
		share           float64
		seeds           uint64
	}{{8, 12, 0.05, 4}, {8, 12, 0.2, 4}, {82, 24, 0.1, 2}} {
		for seed := range c.seeds {
			t.Run(fmt.Sprintf("%d nodes, share %g, seed %d", c.nodes, c.share, seed), func(t *testing.T) {
				is := is.New(t)
				w := newHostedWorld(worldOptions{nodes: c.nodes, prefillers: 6, decoders: c.decoders, seed: seed + 1})
				w.eventful = true
				w.peerDelay = func(core.PeerBody) time.Duration { return slowPeerDelay }
				sound, tainted := []core.PromptPart{"first"}, []core.PromptPart{"first", "deadly"}
				poisoned := false
				w.parts = func() []core.PromptPart {
					switch draw := w.rng.Float64(); {
					case poisoned && draw < c.share:
						return tainted
					case draw > 0.7:
						return sound
					default:
						return []core.PromptPart{core.PromptPart(fmt.Sprint("other", w.rng.IntN(500)))}
					}
				}
				w.deadly = "deadly"
				w.run(3 * time.Second)
				load := 0.4 * modelCapacity * float64(c.decoders) / 8
				w.load("resumable", load, 40*time.Second)
				w.run(8 * time.Second)
				before, _ := w.begun(sound, 0, w.now)
				poisoned = true
				w.run(32 * time.Second)
				t.Logf("%d engines ended, %d arrivals", len(w.crashes), len(w.deadlyArrivals))
				is.True(len(w.crashes) > 0)
				last := w.crashes[min(len(w.crashes), toleratedCrashes)-1]
				if len(w.crashes) >= toleratedCrashes {
					late := 0
					for _, at := range w.deadlyArrivals {
						late += btoi(at > last.Add(contact))
					}
					is.True(late <= toleratedArrivals)
				}
				after, count := w.begun(sound, last.Add(2*contact), w.now)
				t.Logf("sound requests begun at the first attempt: %.2f before, %.2f of %d after", before, after, count)
				// The bound holds for 20 requests or more.
				is.True(count < 20 || after >= before/2)
			})
		}
	}
}

func (n *worldNode) relayOf(id core.ForwardID, send core.SendNumber) core.NodeID {
	for _, s := range n.paths.sends {
		if s.id == id && s.send == send && s.relay != nil {
			return s.relay.node.Self.ID
		}
	}
	return ""
}
