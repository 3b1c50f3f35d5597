package core_test

import (
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// relayIsolated delivers the news that n2, which may relay, is isolated itself.
func (h *hostedNode) relayIsolated() []core.Command {
	n2 := core.NodeInfo{ID: "n2", Domain: "d1", PeerAddress: "n2:1", CallerAddress: "n2:2", Isolated: true}
	u := core.MemberUpdate{Node: n2, Incarnation: 1, Status: core.Alive, Sequence: 9}
	return h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: core.Heartbeat{Sequence: 9, Updates: []core.MemberUpdate{u}}})
}

// sendThroughRelay sends a request, and returns how it fails if it is broken off behind the relay.
func (h *hostedNode) sendThroughRelay(id core.ForwardID) core.StepFailed {
	m := forwardTo(id, "pay")
	m.Key = "sound"
	run := commandsOf[core.RunForward](h.deliver(m))[0]
	return core.StepFailed{ID: id, Send: run.Send, Engine: run.Engine, Step: core.RunStep, BrokenOff: true, Relay: "n2"}
}

// Guards against a relay that is cut off by resets: what it relayed was broken off, and counted as
// ends of the upstreams for good, at all nodes.
func TestUpstreamsBehindARelayThatIsCutOffAreNotBlamed(t *testing.T) {
	is := is.New(t)
	h := newPathNode()
	h.isolate()
	first, second := h.sendThroughRelay(1), h.sendThroughRelay(2)
	h.advance(50 * time.Millisecond)
	reported := sentTo[core.SuspectsReported](h.deliver(first), "n2")
	is.Equal(len(reported), 1)
	withdrawn := sentTo[core.SuspectsReported](h.relayIsolated(), "n2")
	is.Equal(len(withdrawn), 1)
	is.Equal(withdrawn[0].Answered, []core.EngineCrash{reported[0].Crashes[0].Crash})
	is.Equal(len(sentTo[core.SuspectsReported](h.deliver(second), "n2")), 0)
}

// The end of an upstream behind a sound relay stays reported when this node finds itself isolated.
func TestIsolationWithdrawsNoEndsBehindARelay(t *testing.T) {
	is := is.New(t)
	h := newPathNode()
	failed := h.sendThroughRelay(1)
	h.advance(50 * time.Millisecond)
	is.Equal(len(sentTo[core.SuspectsReported](h.deliver(failed), "n2")), 1)
	h.unreached("s1", "s2")
	out := h.deliver(core.ConnectionObserved{Engine: "s1", Relay: "n2", Outcome: core.Connected})
	is.Equal(relaysFirst(out), core.Some(true))
	is.Equal(len(sentTo[core.SuspectsReported](out, "n2")), 0)
}

// A relay that is cut off by resets must find that out, also while it sends nothing itself and new
// connections open.
func TestRelayProbesUpstreamsThatBreakRelayedConnections(t *testing.T) {
	is := is.New(t)
	h := newPathNode()
	h.deliver(core.RelayRequested{ID: 1, From: "n2", Engine: "s1"}, core.RelayRequested{ID: 2, From: "n2", Engine: "s2"})
	is.Equal(len(commandsOf[core.ProbeUpstream](h.deliver(core.RelayEnded{ID: 1, Opened: true}))), 0)
	probed := commandsOf[core.ProbeUpstream](h.deliver(core.RelayEnded{ID: 2, Opened: true, BrokenOff: true}))
	is.Equal(probed[0].Engine, core.EngineID("s2"))
}
