package core_test

import (
	"fmt"
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// observeVersion records that an engine has sent an event of a request's stream.
func (r *worldRequest) observeVersion(id core.ForwardID, v core.SoftwareVersion) {
	switch {
	case r.version == "":
		r.version, r.resumes = v, fmt.Sprint(id)
	case r.version != v:
		r.mixed = true
	}
}

// killNodes ends a share of the nodes at once. Their callers send their requests again to other
// nodes, those that have an event as ones that resume.
func (w *hostedWorld) killNodes(share float64) (resumed []*worldRequest) {
	var alive []*worldNode
	order := w.rng.Perm(len(w.nodes))
	for i, k := range order {
		if float64(i) < share*float64(len(w.nodes)) {
			w.nodes[k].killed = true
		} else {
			alive = append(alive, w.nodes[k])
		}
	}
	w.pick = func() *worldNode { return alive[w.rng.IntN(len(alive))] }
	last := w.next
	for id := core.ForwardID(1); id <= last; id++ {
		r := w.requests[id]
		if r.ended || !r.node.killed {
			continue
		}
		r.ended = true
		if r.drop != nil {
			r.drop()
		}
		if r.resumes == "" {
			continue
		}
		again := w.requests[w.sendResumed(r)]
		resumed = append(resumed, again)
	}
	return resumed
}

// sendResumed sends a request again that resumes a stream.
func (w *hostedWorld) sendResumed(r *worldRequest) core.ForwardID {
	w.next++
	id, n := w.next, w.pick()
	w.requests[id] = &worldRequest{
		key: r.key, node: n, firstArrived: r.firstArrived, arrived: w.now, output: r.output, kind: r.kind, promptKey: r.promptKey,
		resumes: r.resumes, version: r.version, events: worldEvents{relayed: r.events.relayed},
	}
	m := core.Forward{ID: id, Attempt: fmt.Sprint(id), Key: r.key, Host: "h", Path: "/" + string(r.kind) + "/x", Patience: worldTimeout, Resumes: core.Some(r.resumes)}
	m.Generation = core.Some(core.Generation{Prompt: worldPrompt, MaxOutput: 5 * worldOutput, ExpectedOutput: r.output, PromptKey: core.PromptKey(r.promptKey)})
	n.deliver(m)
	return id
}

// A third or half of the nodes die at once while engines of two versions serve, and callers
// resume their streams elsewhere. About half of them were continued by the other version.
func TestStreamsKeepTheirVersionWhenManyNodesDieAtOnce(t *testing.T) {
	for _, c := range []struct {
		nodes, decoders int
		rate            float64
	}{{8, 12, 8}, {82, 60, 40}, {410, 120, 90}} {
		for _, share := range []float64{1.0 / 3, 0.5} {
			t.Run(fmt.Sprintf("%d nodes, %.2f die", c.nodes, share), func(t *testing.T) {
				if testing.Short() && c.nodes > 82 {
					t.Skip("the race detector takes a minute for this size")
				}
				is := is.New(t)
				w := newHostedWorld(worldOptions{nodes: c.nodes, prefillers: c.decoders / 3, decoders: c.decoders, versions: 2, domains: 3, seed: 5})
				w.eventful = true
				w.run(3 * time.Second)
				w.load("resumable", c.rate, 25*time.Second)
				w.run(10 * time.Second)
				messages, streams := 0, 0
				for _, n := range w.nodes {
					messages += n.controlMessages
					streams += n.controlStreams
				}
				t.Logf("a node sent %.2f messages a second for %.2f streams", float64(messages)/float64(c.nodes)/10, float64(streams)/float64(c.nodes)/10)
				resumed := w.killNodes(share)
				before := w.served
				w.run(12 * time.Second)
				wentOn, mixed := 0, 0
				for _, r := range resumed {
					wentOn += btoi(r.events.relayed >= r.output)
					mixed += btoi(r.mixed)
				}
				t.Logf("%d streams resumed, %d went on to their end, %d mixed; %d served meanwhile", len(resumed), wentOn, mixed, w.served-before)
				is.True(len(resumed) >= 5)
				is.Equal(mixed, 0)
				// The platform's bound is half of the share of new streams that begin.
				is.True(2*wentOn >= len(resumed))
			})
		}
	}
}
