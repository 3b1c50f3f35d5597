package core_test

import (
	"fmt"
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// reasonFor returns why a node rejects a request for a route that it does not know.
func reasonFor(n *hostedNode, id core.ForwardID) core.RejectionReason {
	ends := commandsOf[core.EndForward](n.deliver(forwardTo(id, "added")))
	if len(ends) != 1 {
		return core.NoReason
	}
	return ends[0].Reason
}

// newNodeBehind returns a node that has version 1 and knows of version 3, and a function with
// which its peer sends a heartbeat.
func newNodeBehind() (*hostedNode, func(has, known core.Offset) []core.Command) {
	h := newHosted("n1", core.Settings{StateDelay: stateDelay})
	h.deliver(core.Tick{}, worldState(), core.StateConfirmed{},
		core.InstancesRead{Whole: true, Offset: 1, Changed: []core.Instance{plainInstance("e1")}})
	addPeer(h, "n2")
	beat := func(has, known core.Offset) []core.Command {
		return h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: core.Heartbeat{Sequence: 2, ConfigOffset: has, KnownOffset: known}})
	}
	beat(1, 3)
	return h, beat
}

// A version was lost when the store returned from a copy, with the nodes that had it. The others
// kept naming it in their heartbeats, also to nodes that started later: all waited for it forever, and
// answered 503 for the routes that the store's version does not have.
func TestVersionThatNoNodeHasIsNotAwaitedForGood(t *testing.T) {
	for _, nodes := range []int{8, 82} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			is := is.New(t)
			w := newHostedWorld(worldOptions{nodes: nodes, plain: 1, slots: 6, seed: 3, stateDelay: stateDelay})
			w.openStore()
			lost := true
			w.peerDelay = func(b core.PeerBody) time.Duration {
				if _, ok := b.(core.StateAnswer); ok && lost {
					return time.Hour
				}
				return linkDelay
			}
			w.run(4 * time.Second)
			holder := w.nodes[0]
			holder.deliver(w.largeState(2))
			w.run(time.Second)
			holder.unreached = true
			id := core.ForwardID(1_000_000)
			rejected := func(reason core.RejectionReason) int {
				count := 0
				for _, n := range w.nodes[1:] {
					id++
					ends := commandsOf[core.EndForward](n.node.Update(w.now, forwardTo(id, "added")))
					count += btoi(len(ends) == 1 && ends[0].Reason == reason)
				}
				return count
			}
			is.Equal(rejected(core.StaleConfiguration), nodes-1)
			w.run(3 * stateDelay)
			is.Equal(rejected(core.NoRoute), nodes-1)

			// The holder is back: every node gets the version.
			lost, holder.unreached = false, false
			w.run(4 * stateDelay)
			is.Equal(len(w.applied[2]), nodes)
		})
	}
}

// The version may be in the store as long as no read that began later has shown that it is not.
func TestVersionIsAwaitedUntilTheStoreLacksIt(t *testing.T) {
	is := is.New(t)
	h, beat := newNodeBehind()
	for range 10 {
		h.advance(stateDelay / 2)
		beat(1, 3)
	}
	is.Equal(reasonFor(h, 1), core.StaleConfiguration)
	h.deliver(core.StateConfirmed{Age: 4 * stateDelay})
	is.Equal(reasonFor(h, 2), core.StaleConfiguration)
	h.deliver(core.StateConfirmed{})
	is.Equal(reasonFor(h, 3), core.NoRoute)
	// Peers that still wait for the version, and those that start beside them, name it.
	beat(1, 3)
	is.Equal(reasonFor(h, 4), core.NoRoute)
	// A later one that is lacking too is another matter.
	beat(1, 4)
	is.Equal(reasonFor(h, 5), core.StaleConfiguration)
}

// A peer has the version, and the store has lost it. A node must not serve by an older one as if
// there was none.
func TestVersionThatAPeerHasIsAwaited(t *testing.T) {
	is := is.New(t)
	h, beat := newNodeBehind()
	for range 10 {
		h.advance(stateDelay / 2)
		beat(3, 0)
		h.deliver(core.StateConfirmed{})
		is.Equal(reasonFor(h, 1), core.StaleConfiguration)
	}
	for range 4 {
		h.advance(stateDelay)
		h.deliver(core.StateConfirmed{})
	}
	is.Equal(reasonFor(h, 2), core.NoRoute)
	// It comes back.
	is.True(len(sentTo[core.StateQuery](append(beat(3, 0), h.advance(time.Second)...), "n2")) > 0)
	is.Equal(reasonFor(h, 3), core.StaleConfiguration)
}

// A peer has a version that is later than this node's and earlier than the lost one, of which it
// knows. This node gets that version.
func TestVersionBeforeTheLostOneIsQueried(t *testing.T) {
	is := is.New(t)
	h, beat := newNodeBehind()
	h.advance(2 * stateDelay)
	h.deliver(core.StateConfirmed{})
	is.True(len(sentTo[core.StateQuery](append(beat(2, 3), h.advance(time.Second)...), "n2")) > 0)
	d := worldState()
	d.Version = 2
	h.deliver(d, core.StateConfirmed{})
	is.Equal(reasonFor(h, 1), core.NoRoute)
}
