package core_test

import (
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// runAt has the owner place a stream of its entry h, and the stream run.
func runAt(h *hostedNode, owner core.NodeID, id core.ForwardID) core.RunForward {
	h.deliver(streamTo(id, "draft"))
	out := h.deliver(core.PeerMessage{From: owner, Incarnation: 1, Body: core.ForwardPlaced{ID: id, Decode: "d1", Prefill: "p1", Memory: 1000}})
	for range 8 {
		var next []core.Command
		for _, c := range out {
			switch c := c.(type) {
			case core.RequestLease:
				next = append(next, h.deliver(core.LeaseGranted{ID: c.ID, Send: c.Send, Engine: c.Engine, Lease: "l"})...)
			case core.RunPrefill:
				next = append(next, h.deliver(core.PrefillFinished{ID: c.ID, Send: c.Send, Engine: c.Engine, Handle: "k"})...)
			case core.RunForward:
				return c
			}
		}
		out = next
	}
	return core.RunForward{}
}

// heldBy returns the placements that a node reports to an owner as held.
func heldBy(out []core.Command, owner core.NodeID) []core.ForwardHeld {
	var held []core.ForwardHeld
	for _, c := range commandsOf[core.SendPeer](out) {
		if m, ok := c.Body.(core.ForwardHeld); ok && c.To == owner {
			held = append(held, m)
		}
	}
	return held
}

// A node was silent for a while, so that others took it for dead, and the owner of its streams
// released their places. The streams go on. Their owner must learn of them again, or it places
// others on the memory that they hold.
func TestNodeThatWasTakenForDeadReportsWhatItHolds(t *testing.T) {
	is := is.New(t)
	h, owner := readyWithOwner()
	run := runAt(h, owner, 1)
	is.Equal(run.Engine, core.EngineID("d1"))
	dead := core.MemberUpdate{Node: core.NodeInfo{ID: "n1", Domain: "d1", PeerAddress: "n1:1", CallerAddress: "n1:2"}, Incarnation: 1, Status: core.Dead}
	h.deliver(core.PeerMessage{From: "n3", Incarnation: 1, Body: core.Heartbeat{Sequence: 5, Updates: []core.MemberUpdate{dead}}})
	held := heldBy(h.advance(3*time.Second), owner)
	is.True(len(held) > 0)
	is.Equal(held[0].ID, core.ForwardID(1))
	is.Equal(held[0].Decode, core.EngineID("d1"))
	is.Equal(held[0].Memory, core.Tokens(1000))
}

// The same silence ends no request of the node, and no other node runs one of them: only the node
// that holds a request places it.
func TestDeathOfANodeRunsNothingAgain(t *testing.T) {
	is := is.New(t)
	h, owner := readyWithOwner()
	run := runAt(h, owner, 1)
	dead := core.MemberUpdate{Node: core.NodeInfo{ID: owner, Domain: "d1", PeerAddress: string(owner) + ":1"}, Incarnation: 1, Status: core.Dead, Sequence: 1}
	out := h.deliver(core.PeerMessage{From: "n3", Incarnation: 1, Body: core.Heartbeat{Sequence: 5, Updates: []core.MemberUpdate{dead}}})
	out = append(out, h.advance(3*time.Second)...)
	is.Equal(len(commandsOf[core.RunForward](out)), 0)
	is.Equal(endsOf(out), 0)
	out = h.deliver(core.ForwardResponseStarted{ID: 1, Send: run.Send, Engine: run.Engine}, core.ForwardResponseCompleted{ID: 1, Send: run.Send, Engine: run.Engine, Events: 5})
	is.Equal(endsOf(out), 0)
}
