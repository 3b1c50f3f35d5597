package core_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// An upstream that relays do not list yet, or no more, is rejected by all of them. The relays
// must stay in use for the others.
func TestUpstreamUnknownToRelaysLeavesThePath(t *testing.T) {
	is := is.New(t)
	h := newPathNode()
	h.isolate()
	h.deliver(core.ConnectionObserved{Engine: "s5", Relay: "n2", Outcome: core.RelayDeclined})
	is.Equal(len(commandsOf[core.RunForward](h.deliver(forwardTo(1, "pay")))), 1)
}

// Upstreams leave one after another during a cut, and the relays learn of it before the isolated
// nodes do, or after. The bound is that of TestNodesCutOffFromUpstreamsServeThroughOthers.
func TestIsolatedNodesServeWhileUpstreamsLeave(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed+1), func(t *testing.T) {
			is := is.New(t)
			w := newCutWorld(8, seed+1, 0.6)
			w.peerDelay = func(core.PeerBody) time.Duration { return slowPeerDelay }
			w.load("pay", 60, 3*time.Second+2*cutTime)
			w.run(3 * time.Second)
			began := w.now
			w.cutUpstreams(hang, cutTime, w.isCut)
			var plain []*worldUpstream
			for _, u := range w.ups {
				if u.Service == "ledger" {
					plain = append(plain, u)
				}
			}
			slices.SortFunc(plain, func(a, b *worldUpstream) int { return strings.Compare(string(a.ID), string(b.ID)) })
			w.run(contactTime)
			for i := range int(2 * (cutTime - contactTime) / time.Second) {
				u, former := plain[i%len(plain)], plain[(i+len(plain)-1)%len(plain)]
				u.Draining, former.Draining = true, false
				if i > 0 {
					former.Born++
				}
				w.offset++
				w.run(500 * time.Millisecond)
			}
			w.run(3 * time.Second)
			cut, sound := w.shares(began.Add(contactTime), began.Add(cutTime))
			t.Logf("served: cut off %.3f, others %.3f", cut, sound)
			is.True(cut >= 0.95*sound)
		})
	}
}
