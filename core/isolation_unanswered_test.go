package core_test

import (
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

func (h *hostedNode) unanswered(ids ...core.EngineID) []core.Command {
	var out []core.Command
	for _, id := range ids {
		out = append(out, h.deliver(core.ConnectionObserved{Engine: id, Outcome: core.Unanswered})...)
	}
	return out
}

func (h *hostedNode) answeredThroughRelay(id core.EngineID) []core.Command {
	return h.deliver(core.ConnectionObserved{Engine: id, Relay: "n2", Outcome: core.Answered})
}

// Guards against connections that open and carry nothing, taken for a sound path: a partition behind
// whatever accepts them.
func TestConnectionsThatOpenUnansweredIsolate(t *testing.T) {
	is := is.New(t)
	h := newPathNode()
	h.unanswered("s1", "s2")
	is.Equal(relaysFirst(h.deliver(core.ConnectionObserved{Engine: "s3", Outcome: core.Connected})), core.None[bool]())
	out := h.answeredThroughRelay("s1")
	is.Equal(relaysFirst(out), core.None[bool]())
	is.Equal(commandsOf[core.ProbeUpstream](out)[0].Engine, core.EngineID("s1"))
	h.advance(answerTimeout)
	is.Equal(relaysFirst(h.unanswered("s1")), core.Some(true))
	for _, id := range []core.EngineID{"s1", "s2", "s3"} {
		is.Equal(relaysFirst(h.deliver(core.ConnectionObserved{Engine: id, Outcome: core.Connected})), core.None[bool]())
	}
	h.deliver(core.ConnectionObserved{Engine: "s1", Outcome: core.Answered})
	is.Equal(relaysFirst(h.deliver(core.ConnectionObserved{Engine: "s2", Outcome: core.Answered})), core.Some(false))
}

// Guards against upstreams that are silent for a moment, taken for a partition of the node.
func TestSilentUpstreamsDoNotIsolate(t *testing.T) {
	is := is.New(t)
	h := newPathNode()
	out := h.unanswered("s1", "s2")
	h.advance(answerTimeout)
	out = append(out, h.answeredThroughRelay("s1")...)
	out = append(out, h.deliver(core.ConnectionObserved{Engine: "s1", Relay: "n2", Outcome: core.Connected})...)
	out = append(out, h.deliver(core.ConnectionObserved{Engine: "s1", Outcome: core.Answered})...)
	out = append(out, h.unanswered("s2", "s3")...)
	for range 3 {
		out = append(out, h.deliver(core.ConnectionObserved{Engine: "s2", Relay: "n2", Outcome: core.Unanswered})...)
		out = append(out, h.deliver(core.ConnectionObserved{Engine: "s3", Relay: "n2", Outcome: core.Unanswered})...)
	}
	out = append(out, h.unanswered("s1", "s2", "s3", "s4")...)
	out = append(out, h.advance(2*time.Second)...)
	first, _ := relaysFirst(out).Get()
	is.True(!first)
}

// Guards against several upstreams that fail together, taken for a partition of the node before the
// probes of the others are answered: its relays did not answer in time either (soak seed 427039).
func TestUpstreamsThatFailTogetherIsolateNobody(t *testing.T) {
	is := is.New(t)
	h := newPathNode()
	h.unreached("s1", "s2")
	for _, relay := range []core.NodeID{"n2", "n3", "n4"} {
		h.deliver(core.ConnectionObserved{Engine: "s1", Relay: relay, Outcome: core.RelayUnanswered})
	}
	out := h.unreached("s3", "s4")
	out = append(out, h.advance(100*time.Millisecond)...)
	out = append(out, h.deliver(core.ConnectionObserved{Engine: "s5", Outcome: core.Connected})...)
	out = append(out, h.advance(time.Second)...)
	for _, c := range commandsOf[core.UseRelays](out) {
		is.True(!c.First)
	}
}
