package core_test

import (
	"fmt"
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// An isolated node's request ends one upstream after the other through a relay that works.
// The ends must be reported, as those of any other node are.
func TestIsolatedNodeReportsUpstreamsThatEndBehindARelay(t *testing.T) {
	for _, isolated := range []bool{false, true} {
		t.Run(fmt.Sprint(isolated), func(t *testing.T) {
			is := is.New(t)
			h := newLedgerNode("s1", "s2", "s3", "s4", "s5")
			if isolated {
				h.isolate()
			}
			reports := 0
			for id := core.ForwardID(1); id <= 3; id++ {
				m := forwardTo(id, "pay")
				m.Key = "deadly"
				runs := commandsOf[core.RunForward](h.deliver(m))
				if len(runs) == 0 {
					break
				}
				h.advance(50 * time.Millisecond)
				failed := core.StepFailed{ID: id, Send: runs[0].Send, Engine: runs[0].Engine, Step: core.RunStep, BrokenOff: true}
				if isolated {
					failed.Relay = "n2"
				}
				reports += len(sentTo[core.SuspectsReported](h.deliver(failed), "n2"))
				h.advance(300 * time.Millisecond)
			}
			is.True(reports > 0)
		})
	}
}

// A deadly prompt comes at nodes that are cut off from all upstreams, and ends each engine that
// begins to write an answer on it. The bound is that of TestPromptsThatEndEnginesAreRejected.
func TestDeadlyPromptsAreRejectedDuringACut(t *testing.T) {
	for i := range 12 {
		share, seed := []float64{0, 0.75, 0.9}[i%3], uint64(i/3+1)
		t.Run(fmt.Sprintf("share %g, seed %d", share, seed), func(t *testing.T) {
			is := is.New(t)
			w := newHostedWorld(worldOptions{nodes: 8, prefillers: 6, decoders: 12, seed: seed})
			w.eventful = true
			w.peerDelay = func(core.PeerBody) time.Duration { return slowPeerDelay }
			tainted, poisoned := []core.PromptPart{"first", "deadly"}, false
			w.parts = func() []core.PromptPart {
				if poisoned && w.rng.Float64() < 0.2 {
					return tainted
				}
				return []core.PromptPart{core.PromptPart(fmt.Sprint("other", w.rng.IntN(500)))}
			}
			w.deadly = "deadly"
			w.run(3 * time.Second)
			w.load("resumable", 0.4*modelCapacity*12/8, 30*time.Second)
			w.run(4 * time.Second)
			cut := map[*worldNode]bool{}
			for _, i := range w.rng.Perm(8)[:int(share*8)] {
				cut[w.nodes[i]] = true
			}
			w.cutUpstreams(hang, 20*time.Second, func(n *worldNode) bool { return cut[n] })
			w.run(4 * time.Second)
			poisoned = true
			w.run(16 * time.Second)
			t.Logf("%d engines ended, %d arrivals", len(w.crashes), len(w.deadlyArrivals))
			is.True(len(w.crashes) > 0)
			last := w.crashes[min(len(w.crashes), toleratedCrashes)-1]
			late := 0
			for _, at := range w.deadlyArrivals {
				late += btoi(at > last.Add(contact))
			}
			t.Logf("%d late arrivals", late)
			is.True(len(w.crashes) < toleratedCrashes || late <= toleratedArrivals)
		})
	}
}
