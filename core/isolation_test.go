package core_test

import (
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// newPathNode returns a node with some upstreams and a peer that may relay.
func newPathNode() *hostedNode { return newLedgerNode("s1", "s2", "s3", "s4", "s5") }

func (h *hostedNode) unreached(ids ...core.EngineID) []core.Command {
	var out []core.Command
	for _, id := range ids {
		out = append(out, h.deliver(core.ConnectionObserved{Engine: id, Outcome: core.ConnectTimedOut})...)
	}
	return out
}

func (h *hostedNode) isolate() {
	h.unreached("s1", "s2")
	h.deliver(core.ConnectionObserved{Engine: "s1", Relay: "n2", Outcome: core.Connected})
}

// relaysFirst reports whether the latest UseRelays among commands has First set; None without
// one.
func relaysFirst(commands []core.Command) core.Option[bool] {
	first := core.None[bool]()
	for _, c := range commandsOf[core.UseRelays](commands) {
		first = core.Some(c.First)
	}
	return first
}

// Guards against a node that takes dead upstreams for a partition of its own: relays cannot
// reach them either, and others can be reached.
func TestDeadUpstreamsDoNotIsolate(t *testing.T) {
	is := is.New(t)
	h := newPathNode()
	out := h.unreached("s1", "s2")
	for _, id := range []core.EngineID{"s1", "s2"} {
		out = append(out, h.deliver(core.ConnectionObserved{Engine: id, Relay: "n2", Outcome: core.RelayFailed})...)
	}
	is.True(len(commandsOf[core.ProbeUpstream](out)) > 0)
	out = append(out, h.deliver(core.ConnectionObserved{Engine: "s3", Outcome: core.Connected})...)
	out = append(out, h.deliver(core.ConnectionObserved{Engine: "s1", Relay: "n2", Outcome: core.Connected})...)
	first, _ := relaysFirst(out).Get()
	is.True(!first)
}

// A relay may open its connection before the direct one times out.
func TestRelayThatAnswersFirstIsolates(t *testing.T) {
	is := is.New(t)
	h := newPathNode()
	h.deliver(core.ConnectionObserved{Engine: "s2", Relay: "n2", Outcome: core.Connected})
	is.Equal(relaysFirst(h.unreached("s1", "s2")), core.Some(true))
}

// One connection after a partition may be chance; two upstreams must be reached.
func TestIsolationEndsWhenTwoUpstreamsAreReached(t *testing.T) {
	is := is.New(t)
	h := newPathNode()
	h.isolate()
	for _, id := range []core.EngineID{"s1", "s1"} {
		is.Equal(relaysFirst(h.deliver(core.ConnectionObserved{Engine: id, Outcome: core.Connected})), core.None[bool]())
	}
	h.unreached("s2")
	is.Equal(relaysFirst(h.deliver(core.ConnectionObserved{Engine: "s2", Outcome: core.Connected})), core.None[bool]())
	is.Equal(relaysFirst(h.deliver(core.ConnectionObserved{Engine: "s3", Outcome: core.Connected})), core.Some(false))
}

// Guards against connections through two relays, and against two nodes that relay for each
// other: an isolated node relays nothing.
func TestIsolatedNodeRelaysNothing(t *testing.T) {
	is := is.New(t)
	h := newPathNode()
	is.Equal(len(commandsOf[core.OpenRelay](h.deliver(core.RelayRequested{ID: 1, From: "n2", Engine: "s1"}))), 1)
	h.isolate()
	rejected := commandsOf[core.RejectRelay](h.deliver(core.RelayRequested{ID: 2, From: "n2", Engine: "s1"}))
	is.Equal(rejected, []core.RejectRelay{{ID: 2, Reason: core.RelayIsolated}})
}

// Guards against steps of a partitioned node that make sound upstreams avoided: the upstream
// gets the request again through the relay, and no budget is used.
func TestUnsentStepIsPlacedAgainAtTheSameUpstream(t *testing.T) {
	is := is.New(t)
	h := newLedgerNode("s1", "s2")
	h.isolate()
	runs := commandsOf[core.RunForward](h.deliver(forwardTo(1, "pay")))
	for range 5 {
		is.Equal(len(runs), 1)
		out := h.deliver(core.StepFailed{ID: 1, Send: runs[0].Send, Engine: runs[0].Engine, Step: core.RunStep, Unsent: true})
		h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: core.Heartbeat{Sequence: 2}})
		runs = commandsOf[core.RunForward](append(out, h.advance(250*time.Millisecond)...))
	}
}

// A node without any path rejects at once, and may be retried soon.
func TestNodeWithoutAnyPathRejectsAtOnce(t *testing.T) {
	is := is.New(t)
	h := newPathNode()
	h.isolate()
	h.deliver(core.ConnectionObserved{Engine: "s1", Relay: "n2", Outcome: core.RelayUnanswered})
	ends := commandsOf[core.EndForward](h.deliver(forwardTo(1, "pay")))
	is.Equal(len(ends), 1)
	is.True(ends[0].NotRun && ends[0].RetryAfter > 0 && ends[0].RetryAfter < time.Second)
}

// Guards against orders from two machines: an isolated node, whose orders would need a relay,
// gives none under a claim from before.
func TestIsolatedNodeSendsNoOrders(t *testing.T) {
	is := is.New(t)
	h := newHosted("n1", core.Settings{})
	h.deliver(core.Tick{}, worldState(), core.InstancesRead{Whole: true, Offset: 1, Changed: engineInstances()})
	addPeer(h, "n2")
	wanted := core.RolesWanted{Orders: []core.Order{{Engine: "d1", Kind: core.SetRole, Role: core.Prefill}}}
	h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: wanted})
	claims := commandsOf[core.ClaimOrders](h.advance(time.Second))
	is.Equal(len(claims), 1)
	h.unreached("d1", "d2")
	h.deliver(core.ConnectionObserved{Engine: "d1", Relay: "n2", Outcome: core.Connected})
	is.Equal(len(commandsOf[core.SendOrder](h.deliver(core.OrdersClaimed{Ticket: claims[0].Ticket}))), 0)
	h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: wanted})
	is.Equal(len(commandsOf[core.ClaimOrders](h.advance(time.Second))), 0)
}

// Requests end four upstreams, and the relays that cannot reach these either are left out for that.
// The node took itself for isolated then, and withdrew its reports of the ends.
func TestUpstreamsThatRelaysCannotReachIsolateNobody(t *testing.T) {
	is := is.New(t)
	h := newPathNode()
	var out []core.Command
	for _, id := range []core.EngineID{"s1", "s2", "s3", "s4"} {
		out = append(out, h.unreached(id)...)
		for _, relay := range []core.NodeID{"n2", "n3", "n4"} {
			out = append(out, h.deliver(core.ConnectionObserved{Engine: id, Relay: relay, Outcome: core.RelayFailed})...)
		}
	}
	out = append(out, h.unreached("s1", "s2", "s3", "s4")...)
	for _, c := range commandsOf[core.UseRelays](out) {
		is.True(!c.First)
	}
}
