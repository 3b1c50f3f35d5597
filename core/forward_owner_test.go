package core_test

import (
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// moreEngines are two prefill engines and four decode engines.
func moreEngines() []core.Instance {
	list := engineInstances()
	p2, d3, d4 := list[0], list[1], list[1]
	p2.ID, p2.Address = "p2", "p2:1"
	d3.ID, d3.Address = "d3", "d3:1"
	d4.ID, d4.Address = "d4", "d4:1"
	return append(list, p2, d3, d4)
}

// readyWithOwner returns a node with peers, and the one that places its streams.
func readyWithOwner() (*hostedNode, core.NodeID) {
	h := newHosted("n1", core.Settings{Retries: core.RetryBudget{Ratio: 0.2, Window: 10 * time.Second, Slack: 50}})
	h.deliver(core.Tick{}, worldState(), core.InstancesRead{Whole: true, Offset: 1, Changed: moreEngines()})
	for _, peer := range []core.NodeID{"n2", "n3", "n4", "n5"} {
		addPeer(h, peer)
	}
	asks := commandsOf[core.SendPeer](h.deliver(streamTo(1000, "draft")))
	h.deliver(core.ForwardCallerDisconnected{ID: 1000})
	return h, asks[0].To
}

// leaves has a peer report that it leaves.
func leaves(h *hostedNode, peer core.NodeID) []core.Command {
	node := core.NodeInfo{ID: peer, Domain: "d1", PeerAddress: string(peer) + ":1", CallerAddress: string(peer) + ":2", Leaving: true}
	return h.deliver(core.PeerMessage{From: peer, Incarnation: 1, Body: core.Heartbeat{Sequence: 2, Updates: []core.MemberUpdate{
		{Node: node, Incarnation: 1, Status: core.Left, Sequence: 100},
	}}})
}

// endsOf returns how many of the commands end a request.
func endsOf(out []core.Command) int {
	return len(commandsOf[core.EndForward](out)) + len(commandsOf[core.RelayFailure](out))
}

// The engines ask for quiet while a request waits for its owner's placement and another
// one in this node's own queue. Then the owner leaves. The end of the first request also
// ends the second one.
func TestOwnerChangeWhileAllEnginesAreQuietEndsAllRequests(t *testing.T) {
	is := is.New(t)
	h, owner := readyWithOwner()
	h.deliver(streamTo(1, "draft"))
	h.deliver(core.PeerMessage{From: owner, Incarnation: 1, Body: core.ForwardQueued{ID: 1}})
	h.deliver(streamTo(2, "draft"))
	out := h.advance(100 * time.Millisecond)
	for leases := commandsOf[core.RequestLease](out); len(leases) > 0; leases = commandsOf[core.RequestLease](out) {
		c := leases[0]
		out = h.deliver(core.StepRefused{ID: c.ID, Send: c.Send, Engine: c.Engine, Step: core.LeaseStep})
	}
	for _, id := range []core.EngineID{"d1", "d2", "d3", "d4"} {
		h.deliver(core.UpstreamSignal{Engine: id, QuietFor: time.Second})
	}
	is.Equal(endsOf(leaves(h, owner)), 2)
}
