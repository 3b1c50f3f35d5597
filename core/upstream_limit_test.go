package core_test

import (
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

func namesLimit(id core.EngineID, rate core.RequestRate) core.UpstreamSignal {
	return core.UpstreamSignal{Engine: id, NamesLimit: true, Limit: core.Some(rate)}
}

// newLimitNode returns a node that knows another one and an upstream.
func newLimitNode() *hostedNode {
	h := newHosted("n1", core.Settings{Retries: core.RetryBudget{Ratio: 0.2, Window: 10 * time.Second, Slack: 50}})
	h.deliver(core.Tick{}, worldState(), core.InstancesRead{Whole: true, Offset: 1, Changed: []core.Instance{plainInstance("e1")}})
	addPeer(h, "n2")
	return h
}

// reported returns the limits that commands send to other nodes.
func reported(commands []core.Command) []core.NamedLimit {
	var list []core.NamedLimit
	for _, m := range sentTo[core.LimitsReported](commands, "n2") {
		list = append(list, m.Limits...)
	}
	return list
}

// A limit that an answer names is known to the owner of the group at once, and to a node that
// starts with the first message that it sends.
func TestOtherNodesLearnOfLimits(t *testing.T) {
	is := is.New(t)
	h := newLimitNode()
	want := []core.NamedLimit{{Engine: "e1", Born: 1, Limited: true, Rate: 4.2}}
	is.Equal(reported(h.deliver(namesLimit("e1", 4.2))), want)
	is.Equal(reported(h.deliver(namesLimit("e1", 4.2))), nil)
	out := h.deliver(core.PeerMessage{From: "n2", Incarnation: 2, Body: core.Heartbeat{Sequence: 9}})
	is.Equal(reported(out), want)
}

// An answer without the limit that was under way when the limit began arrives late. It must not
// end the limit; a later one does.
func TestLateAnswerDoesNotEndALimit(t *testing.T) {
	is := is.New(t)
	h := newLimitNode()
	h.deliver(namesLimit("e1", 4.2))
	h.advance(50 * time.Millisecond)
	is.Equal(reported(h.deliver(core.UpstreamSignal{Engine: "e1"})), nil)
	h.advance(time.Second)
	is.Equal(reported(h.deliver(core.UpstreamSignal{Engine: "e1"})), []core.NamedLimit{{Engine: "e1", Born: 1}})
}

// All answers are observed while there is a limit, as an answer without one ends it, and only
// then.
func TestAnswersAreObservedWhileThereIsALimit(t *testing.T) {
	is := is.New(t)
	h := newLimitNode()
	is.Equal(commandsOf[core.ObserveAnswers](h.deliver(namesLimit("e1", 4.2))), []core.ObserveAnswers{{All: true}})
	h.advance(time.Second)
	is.Equal(commandsOf[core.ObserveAnswers](h.deliver(core.UpstreamSignal{Engine: "e1"})), []core.ObserveAnswers{{All: false}})
}

// The only upstream of a service takes nothing. A request now and then shows whether that is
// still so; the others are rejected at once, with the limit in the log and a time to return.
func TestUpstreamThatTakesNothingIsAskedNowAndThen(t *testing.T) {
	is := is.New(t)
	h := newHosted("n1", core.Settings{})
	h.deliver(core.Tick{}, worldState(), core.InstancesRead{Whole: true, Offset: 1, Changed: []core.Instance{plainInstance("e1")}})
	h.deliver(namesLimit("e1", 0))
	sent, named := 0, false
	for id := range core.ForwardID(400) {
		out := h.deliver(forwardTo(id+1, "pay"))
		sent += len(commandsOf[core.RunForward](out))
		for _, c := range commandsOf[core.EndForward](out) {
			is.True(c.NotRun)
			is.True(c.RetryAfter > 0)
		}
		for _, c := range commandsOf[core.LogDecision](out) {
			named = named || c.Decision.Step == "turn-away" && c.Decision.Detail == "limits of upstreams: 0 before it, next place in 3.9s, e1 0/s, entry n1"
		}
		for _, c := range commandsOf[core.RunForward](out) {
			h.deliver(namesLimit("e1", 0), core.ForwardResponseCompleted{ID: c.ID, Send: c.Send, Engine: "e1"})
		}
		h.advance(50 * time.Millisecond)
	}
	is.True(sent >= 4 && sent <= 5)
	is.True(named)
}

// Messages of other nodes with limits that are no numbers, or of other incarnations, must
// change nothing.
func TestUnusableReportsOfLimitsChangeNothing(t *testing.T) {
	is := is.New(t)
	h := newLimitNode()
	nan := core.RequestRate(0)
	nan /= nan
	h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: core.LimitsReported{Limits: []core.NamedLimit{
		{Engine: "e1", Born: 1, Limited: true, Rate: nan},
		{Engine: "e1", Born: 1, Limited: true, Rate: -1},
		{Engine: "e1", Born: 2, Limited: true, Rate: 1},
		{Engine: "unknown", Born: 1, Limited: true, Rate: 1},
	}}})
	is.Equal(h.statusLimits(), nil)
}

// statusLimits returns the limits in the node's status.
func (h *hostedNode) statusLimits() []core.LimitStatus {
	return commandsOf[core.AnswerStatus](h.deliver(core.StatusQuery{}))[0].Status.Limits
}

// Requests that end upstreams and those that are limited share upstreams. While all upstreams
// are limited, the more urgent requests get the places.
func TestUrgentRequestsGetThePlacesOfLimitedUpstreams(t *testing.T) {
	is := is.New(t)
	w := limitedWorldOf(8, 1, func(d *core.DesiredState) {
		for i := range d.Routes {
			if d.Routes[i].ID == "read" {
				d.Routes[i].Rank = 1
			}
		}
	})
	w.run(24 * time.Second)
	served := map[core.RouteID]int{}
	sent := map[core.RouteID]int{}
	for _, r := range w.requests {
		if r.arrived > w.ups["s00"].limitBegan.Add(contact) {
			sent[r.kind]++
			served[r.kind] += btoi(r.first != 0)
		}
	}
	t.Logf("served %v of %v", served, sent)
	w.checkLimits(t)
	share := func(kind core.RouteID) float64 { return float64(served[kind]) / float64(sent[kind]) }
	is.True(share("pay") > share("read"))
}
