package core_test

import (
	"fmt"
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

const (
	// stateDelay is the time within which a desired state must take effect everywhere.
	stateDelay = 3 * time.Second
	// slowPeerDelay is the delay of messages between nodes that have a fifth of a core, and
	// slowLinkBytes how many bytes such a node receives in a second.
	slowPeerDelay = 150 * time.Millisecond
	slowLinkBytes = 1_250_000
	// largeStateBytes is the size of a desired state of thousands of routes as nodes send
	// it to each other.
	largeStateBytes = 250_000
)

// sendPeer delivers a message to another node unless it is lost.
func (n *worldNode) sendPeer(c core.SendPeer) {
	w, delay := n.w, linkDelay
	n.peerMessages++
	if _, ok := c.Body.(core.ForwardPlaced); ok {
		n.placed++
	}
	if _, ok := c.Body.(core.UsageGranted); ok {
		n.granted++
	}
	if b, ok := c.Body.(core.StreamsBegun); ok {
		n.controlMessages++
		n.controlStreams += len(b.Streams)
	}
	if w.peerDelay != nil {
		delay = w.peerDelay(c.Body)
	}
	if w.peerLoss > 0 && w.rng.Float64() < w.peerLoss {
		return
	}
	for _, to := range w.nodes {
		if to.node.Self.ID == c.To && !n.unreached && !to.unreached && n.side == to.side {
			to.deliverAfter(delay, core.PeerMessage{
				From: n.node.Self.ID, Incarnation: n.node.Incarnation, Protocol: core.LatestProtocol, Body: c.Body,
			})
		}
	}
}

// recordApplied records when the node has applied a desired state.
func (n *worldNode) recordApplied(d core.Decision) {
	if d.Step != "desired" {
		return
	}
	if n.w.applied == nil {
		n.w.applied = map[int64]map[core.NodeID]core.Instant{}
	}
	if n.w.applied[d.Version] == nil {
		n.w.applied[d.Version] = map[core.NodeID]core.Instant{}
	}
	n.w.applied[d.Version][n.node.Self.ID] = n.w.now
}

// largeState returns a version of the desired state that is large to send.
func (w *hostedWorld) largeState(version int64) core.DesiredState {
	d := worldState()
	d.Version, d.Offset, d.Encoded = version, core.Offset(version), make([]byte, largeStateBytes)
	if w.tenants != nil {
		d.HasTenants, d.Tenants = true, w.tenants(version)
	}
	if w.states == nil {
		w.states = map[core.Offset]core.DesiredState{}
	}
	w.states[d.Offset] = d
	return d
}

// slowLinks makes messages between nodes slow, those with a desired state by its size.
func (w *hostedWorld) slowLinks() {
	w.peerLoss = 0.05
	w.peerDelay = func(b core.PeerBody) time.Duration {
		if a, ok := b.(core.StateAnswer); ok {
			return slowPeerDelay + time.Duration(len(a.Record))*time.Second/slowLinkBytes
		}
		return slowPeerDelay
	}
}

// The reads of all but three nodes hang, messages between nodes are slow, and one in twenty
// is lost. A node learned of a new version by a heartbeat to one random peer every 0.5 s
// alone, so that the last one had it after the bound.
func TestStateReachesEveryNodeInTimeWhileReadsHang(t *testing.T) {
	for _, c := range []struct{ nodes, seeds int }{{82, 5}, {410, 1}} {
		for seed := range c.seeds {
			t.Run(fmt.Sprintf("%d nodes, seed %d", c.nodes, seed), func(t *testing.T) {
				if testing.Short() && c.nodes > 82 {
					t.Skip("the race detector takes a minute for this size")
				}
				is := is.New(t)
				w := newHostedWorld(worldOptions{nodes: c.nodes, plain: 1, slots: 6, seed: uint64(seed)})
				w.slowLinks()
				w.run(4 * time.Second)
				began := w.now
				for _, n := range w.nodes[:3] {
					n.deliver(w.largeState(2))
				}
				w.run(2 * stateDelay)
				late := 0
				for _, n := range w.nodes {
					at, ok := w.applied[2][n.node.Self.ID]
					late += btoi(!ok || at.Sub(began) > stateDelay)
				}
				is.Equal(late, 0)
			})
		}
	}
}

// A node that knows from a peer that it lacks the latest desired state cannot tell whether
// a route exists that it does not know. It answered 404 for a route that had been added.
func TestRouteThatALaterStateMayHaveIsNotDenied(t *testing.T) {
	is := is.New(t)
	h := newHosted("n1", core.Settings{})
	h.deliver(core.Tick{}, worldState(), core.InstancesRead{Whole: true, Offset: 1, Changed: []core.Instance{plainInstance("e1")}})
	addPeer(h, "n2")
	h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: core.Heartbeat{Sequence: 2, ConfigOffset: 2}})
	ends := commandsOf[core.EndForward](h.deliver(forwardTo(1, "added")))
	is.Equal(len(ends), 1)
	is.Equal(ends[0].Reason, core.StaleConfiguration)
	is.True(ends[0].NotRun)
	is.True(ends[0].RetryAfter > 0)
}

// A node that has just started gets an older desired state from the first peer that
// answers, though another has named a later version. It served by the older one.
func TestStartingNodeWithAnOlderStateIsNotReady(t *testing.T) {
	is := is.New(t)
	h := newHosted("n1", core.Settings{})
	h.deliver(core.Tick{}, core.InstancesRead{Whole: true, Offset: 1, Changed: []core.Instance{plainInstance("e1")}})
	addPeer(h, "n2")
	h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: core.Heartbeat{Sequence: 2, ConfigOffset: 3}})
	d := worldState()
	is.Equal(len(commandsOf[core.NodeReady](h.deliver(d))), 0)
	d.Version = 3
	is.Equal(len(commandsOf[core.NodeReady](h.deliver(d))), 1)
}

// A node cannot get a version that most of its peers have. It served routes by the older one
// for as long as it lived.
func TestNodeThatStaysBehindMostPeersStopsServing(t *testing.T) {
	is := is.New(t)
	h := newHosted("n1", core.Settings{StateDelay: stateDelay})
	h.deliver(core.Tick{}, worldState(), core.InstancesRead{Whole: true, Offset: 1, Changed: []core.Instance{plainInstance("e1")}})
	addPeer(h, "n2")
	beat := func(version core.Offset) []core.Command {
		return h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: core.Heartbeat{Sequence: 2, ConfigOffset: version}})
	}
	beat(2)
	out := h.advance(stateDelay)
	is.Equal(len(commandsOf[core.NodeNotReady](out)), 1)
	ends := commandsOf[core.EndForward](h.deliver(forwardTo(1, "pay")))
	is.Equal(len(ends), 1)
	is.Equal(ends[0].Reason, core.StaleConfiguration)
	d := worldState()
	d.Version = 2
	is.Equal(len(commandsOf[core.NodeReady](h.deliver(d))), 1)
	is.Equal(len(commandsOf[core.EndForward](h.deliver(forwardTo(2, "pay")))), 0)
}

// A version that hardly any peer has cannot be had, as when the store fails right after a
// change. Nodes go on by the version that most have.
func TestNodesServeWhileMostLackTheLatestState(t *testing.T) {
	is := is.New(t)
	h := newHosted("n1", core.Settings{StateDelay: stateDelay})
	h.deliver(core.Tick{}, worldState(), core.InstancesRead{Whole: true, Offset: 1, Changed: []core.Instance{plainInstance("e1")}})
	addPeer(h, "n2")
	for _, version := range []core.Offset{2, 1, 1} {
		h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: core.Heartbeat{Sequence: 2, ConfigOffset: version}})
	}
	is.Equal(len(commandsOf[core.NodeNotReady](h.advance(2*stateDelay))), 0)
	is.Equal(len(commandsOf[core.EndForward](h.deliver(forwardTo(1, "pay")))), 0)
}

// A node hears of a version from a peer that does not have it yet. Its query waits there, and
// is answered with the version, not with the older one.
func TestQueryWaitsForTheVersionThatThePeerLacks(t *testing.T) {
	is := is.New(t)
	h := newHosted("n1", core.Settings{StateDelay: stateDelay})
	h.deliver(core.Tick{}, worldState())
	addPeer(h, "n2")
	h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: core.Heartbeat{Sequence: 2, ConfigOffset: 2}})
	out := h.deliver(core.PeerMessage{From: "n3", Incarnation: 1, Body: core.StateQuery{}})
	is.Equal(len(sentTo[core.StateAnswer](out, "n3")), 0)
	d := worldState()
	d.Version, d.Offset = 2, 7
	answers := sentTo[core.StateAnswer](h.deliver(d), "n3")
	is.Equal(len(answers), 1)
	is.Equal(answers[0].Offset, core.Offset(7))
}

// The read of the store hangs: a version came from a peer, and the store has sent nothing
// since. The read is renewed within a fraction of the bound, and again while a version is
// lacking.
func TestHungReadOfTheStateIsRenewed(t *testing.T) {
	is := is.New(t)
	h := newHosted("n1", core.Settings{StateDelay: stateDelay})
	h.deliver(core.Tick{}, worldState())
	addPeer(h, "n2")
	h.advance(4 * stateDelay)
	h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: core.Heartbeat{Sequence: 2, ConfigOffset: 2}})
	renewals := commandsOf[core.RenewStateRead](h.advance(stateDelay / 2))
	is.True(len(renewals) >= 2)
	is.True(renewals[0].Latest)
}
