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
	return runOf(h, h.deliver(core.PeerMessage{From: owner, Incarnation: 1, Body: core.ForwardPlaced{ID: id, Decode: "d1", Prefill: "p1", Memory: 1000}}))
}

// runOf has engines grant the leases and prefills that are asked for, and returns the run that
// follows; a zero one if there is none.
func runOf(h *hostedNode, out []core.Command) core.RunForward {
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

// The store drops the entry of an engine that is slow to check in, and shows it again later. What
// runs there must go on, and must not be run elsewhere.
func TestRunGoesOnWhileTheEntryOfItsEngineIsLate(t *testing.T) {
	for _, kind := range []string{"draft", "resumable"} {
		t.Run(kind, func(t *testing.T) {
			is := is.New(t)
			list := engineInstances()
			h := readyAlone(append(list, moreEngines()[2:]...)...)
			run := runOf(h, h.deliver(streamTo(1, kind)))
			is.True(run.Engine != "")
			started := h.deliver(core.ForwardResponseStarted{ID: 1, Send: run.Send, Engine: run.Engine})
			is.Equal(endsOf(started), 0)
			out := h.deliver(core.InstancesRead{After: 1, Offset: 2, Removed: []core.EngineID{run.Engine}})
			out = append(out, h.advance(4*time.Second)...)
			for _, i := range append(list, moreEngines()...) {
				if i.ID == run.Engine {
					out = append(out, h.deliver(core.InstancesRead{After: 2, Offset: 3, Changed: []core.Instance{i}})...)
				}
			}
			out = append(out, h.advance(time.Second)...)
			out = append(out, h.deliver(core.ForwardResponseCompleted{ID: 1, Send: run.Send, Engine: run.Engine, Events: 5})...)
			is.Equal(len(commandsOf[core.RunForward](out)), 0)
			is.Equal(endsOf(out), 0)
		})
	}
}

// The node itself stands still while answers arrive. When it goes on, its timers are due before it
// has seen the answers. It must not take its upstreams for silent: their answers wait.
func TestNodeThatStoodStillRunsNothingAgain(t *testing.T) {
	for _, kind := range []string{"read", "resumable"} {
		t.Run(kind, func(t *testing.T) {
			is := is.New(t)
			h := readyAlone(append(moreEngines(), plainInstance("e1"), plainInstance("e2"))...)
			m := streamTo(1, kind)
			run := runOf(h, h.deliver(m))
			is.True(run.Engine != "")
			h.now = h.now.Add(5 * time.Second)
			out := h.deliver(core.Tick{})
			out = append(out, h.deliver(core.ForwardResponseStarted{ID: 1, Send: run.Send, Engine: run.Engine})...)
			out = append(out, h.deliver(core.ForwardResponseCompleted{ID: 1, Send: run.Send, Engine: run.Engine, Events: 5})...)
			out = append(out, h.advance(time.Second)...)
			is.Equal(len(commandsOf[core.RunForward](out)), 0)
			is.Equal(len(commandsOf[core.RequestLease](out)), 0)
		})
	}
}
