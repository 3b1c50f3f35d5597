package core_test

import (
	"fmt"
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

const (
	// deadlyEnds is how many upstreams a request may end before the bound counts.
	deadlyEnds = 3
	// deadlyEvery is the usual time between two attempts of a deadly request.
	deadlyEvery = 700 * time.Millisecond
)

// sendDeadly has a deadly request come again at any node, every so often for a duration of d.
func (w *hostedWorld) sendDeadly(kind core.RouteID, d, every time.Duration) {
	w.deadlyKey = "deadly key"
	for at := time.Duration(0); at < d; at += every {
		w.after(at, func() {
			w.key = w.deadlyKey
			w.sendRequest(kind, worldOutput, w.now, true, 0)
		})
	}
}

// soundAnswered returns the share of the sound requests sent in a span that were answered at
// their first attempt, and how many there were.
func (w *hostedWorld) soundAnswered(from, to core.Instant) (share float64, count int) {
	n := 0
	for _, r := range w.requests {
		if w.isDeadly(r) || r.retried || r.arrived < from || r.arrived >= to {
			continue
		}
		count++
		n += btoi(r.first != 0)
	}
	return float64(n) / float64(max(count, 1)), count
}

// lateDeadlyArrivals returns how many deadly requests reached upstreams later than contact
// after the bound counts.
func (w *hostedWorld) lateDeadlyArrivals(ends int) int {
	if len(w.crashes) < ends {
		return 0
	}
	late := 0
	for _, at := range w.deadlyArrivals {
		late += btoi(at > w.crashes[ends-1].Add(contact))
	}
	return late
}

// A whole request ends each upstream that runs it, and comes again at any node. It ended all
// three instances of a service whenever they were back.
func TestRequestThatEndsUpstreamsIsBlocked(t *testing.T) {
	for _, c := range []struct {
		nodes int
		kind  core.RouteID
		seeds uint64
		slow  bool
	}{
		{8, "read", 4, false},
		{8, "pay", 4, false},
		{8, "draft", 2, false},
		{8, "resumable", 2, false},
		{8, "read", 2, true},
		{82, "read", 2, false},
		{410, "read", 1, false},
	} {
		for seed := range c.seeds {
			t.Run(fmt.Sprintf("%s, %d nodes, slow %t, seed %d", c.kind, c.nodes, c.slow, seed), func(t *testing.T) {
				if testing.Short() && c.nodes > 8 {
					t.Skip("the race detector takes long for this size")
				}
				is := is.New(t)
				w := newHostedWorld(worldOptions{nodes: c.nodes, prefillers: 2, decoders: 3, plain: 3, slots: 6, seed: seed + 1})
				w.eventful = true
				if c.slow {
					w.slowLinks()
				}
				w.run(3 * time.Second)
				w.load("read", 10, 36*time.Second)
				w.load("pay", 20, 36*time.Second)
				w.load("resumable", 2, 36*time.Second)
				w.run(5 * time.Second)
				began := w.now
				w.sendDeadly(c.kind, 30*time.Second, deadlyEvery)
				w.run(30 * time.Second)
				late := w.lateDeadlyArrivals(deadlyEnds)
				is.True(len(w.crashes) > 0)
				span := w.crashes[min(len(w.crashes), deadlyEnds)-1].Add(2 * contact)
				during, _ := w.soundAnswered(began, span)
				before, _ := w.soundAnswered(0, began)
				after, count := w.soundAnswered(span, w.now.Add(-time.Second))
				t.Logf("%d upstreams ended, %d late arrivals; sound requests answered at the first attempt: %.3f before, %.3f until %v after the third end, %.3f of %d later",
					len(w.crashes), late, before, during, 2*contact, after, count)
				is.True(late <= toleratedArrivals)
				is.True(after >= before/2)
			})
		}
	}
}

// Three callers at a time send the request that ends upstreams. Their ends, at the same moment, counted
// as one.
func TestRequestThatCallersSendAtOnceIsBlocked(t *testing.T) {
	for _, every := range []time.Duration{2 * time.Second, 4 * time.Second} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("%v, seed %d", every, seed+1), func(t *testing.T) {
				is := is.New(t)
				w := newHostedWorld(worldOptions{nodes: 8, prefillers: 2, decoders: 3, plain: 8, slots: 6, seed: seed + 1})
				w.eventful = true
				w.run(3 * time.Second)
				w.load("read", 10, 36*time.Second)
				w.load("pay", 20, 36*time.Second)
				w.run(2 * time.Second)
				for range 3 {
					w.sendDeadly("pay", 30*time.Second, every)
				}
				w.run(30 * time.Second)
				late := w.lateDeadlyArrivals(deadlyEnds)
				t.Logf("%d upstreams ended, %d late arrivals", len(w.crashes), late)
				is.True(len(w.crashes) >= deadlyEnds)
				is.True(late <= toleratedArrivals)
			})
		}
	}
}

// crashOf reports to a node that an upstream ended under a whole request.
func (h *hostedNode) crashOf(key core.RequestKey, upstream int, ranFor time.Duration) {
	h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: core.SuspectsReported{Crashes: []core.CrashReport{{
		Service: "ledger", Request: key, RanFor: ranFor, Crash: core.EngineCrash{Engine: core.EngineID(fmt.Sprint("e", upstream)), Born: 1},
	}}}})
}

// keyed returns a request with a key, and blockedAs whether it is rejected at once as one that
// ends upstreams.
func keyed(id core.ForwardID, key core.RequestKey) core.Forward {
	m := forwardTo(id, "read")
	m.Key = key
	return m
}

func (h *hostedNode) blockedAs(id core.ForwardID, key core.RequestKey) bool {
	for _, c := range commandsOf[core.EndForward](h.deliver(keyed(id, key))) {
		if c.ID == id && c.Reason == core.CrashingRequest && c.NotRun && c.RetryAfter > 0 {
			return true
		}
	}
	return false
}

func newLedgerNode(instances ...core.EngineID) *hostedNode {
	h := newHosted("n1", core.Settings{Retries: core.RetryBudget{Ratio: 0.2, Window: 10 * time.Second, Slack: 50}})
	read := core.InstancesRead{Whole: true, Offset: 1}
	for _, id := range instances {
		read.Changed = append(read.Changed, plainInstance(id))
	}
	h.deliver(core.Tick{}, worldState(), read)
	addPeer(h, "n2")
	h.node.DisabledMechanisms = core.SetOf(core.OwnedGroups)
	return h
}

// One attempt ends two upstreams 70 ms apart, and the next one a third. The second end of the
// attempt was taken for one with the first.
func TestRunsOfOneAttemptEndUpstreamsEach(t *testing.T) {
	is := is.New(t)
	h := newLedgerNode("s1", "s2", "s3")
	h.crashOf("deadly", 1, 50*time.Millisecond)
	h.advance(70 * time.Millisecond)
	h.crashOf("deadly", 2, 68*time.Millisecond)
	h.advance(10 * time.Second)
	is.True(!h.blockedAs(1, "deadly"))
	h.crashOf("deadly", 3, 50*time.Millisecond)
	is.True(h.blockedAs(2, "deadly"))
	is.True(!h.blockedAs(3, "other"))
}

// Two callers send the request that ends upstreams at the same moment, and one of them again later.
// The two ends counted as one, so that the request ended a fourth and a fifth upstream (a replay
// of soak seed 425019).
func TestRunsAtTheSameMomentEndUpstreamsEach(t *testing.T) {
	is := is.New(t)
	h := newLedgerNode("s1", "s2", "s3")
	h.crashOf("deadly", 1, 42*time.Millisecond)
	h.crashOf("deadly", 2, 42*time.Millisecond)
	h.advance(2 * time.Second)
	is.True(!h.blockedAs(1, "deadly"))
	h.crashOf("deadly", 3, 42*time.Millisecond)
	is.True(h.blockedAs(2, "deadly"))
	is.True(!h.blockedAs(3, "other"))
}

// Connections break off at the same moment under a request, and all but one of their upstreams answer
// after that. Two more ends are needed.
func TestUpstreamsThatAnswerAfterAMomentDoNotCount(t *testing.T) {
	is := is.New(t)
	h := newLedgerNode("s1", "s2", "s3")
	for i := range 4 {
		h.crashOf("deadly", i, 50*time.Millisecond)
	}
	var answered []core.EngineCrash
	for i := range 3 {
		answered = append(answered, core.EngineCrash{Engine: core.EngineID(fmt.Sprint("e", i)), Born: 1})
	}
	h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: core.SuspectsReported{Answered: answered}})
	h.advance(2 * time.Second)
	h.crashOf("deadly", 5, 50*time.Millisecond)
	is.True(!h.blockedAs(1, "deadly"))
	h.advance(2 * time.Second)
	h.crashOf("deadly", 6, 50*time.Millisecond)
	is.True(h.blockedAs(2, "deadly"))
}

// Three connections break off at the same moment under attempts of one request, as when the
// connections of a node are reset. The request is not the cause.
func TestUpstreamsThatEndTogetherBlockNoRequest(t *testing.T) {
	is := is.New(t)
	h := newLedgerNode("s1", "s2", "s3")
	for i := range 5 {
		h.crashOf("sound", i, time.Second)
	}
	h.advance(10 * time.Second)
	is.True(!h.blockedAs(1, "sound"))
}

// Connections are reset under a request again and again, and the upstreams answer others right
// after that. They have not ended, and the request must not be blocked for it.
func TestResetConnectionsBlockNoRequest(t *testing.T) {
	is := is.New(t)
	h := newLedgerNode("s1")
	for id := core.ForwardID(1); id < 20; id += 2 {
		runs := commandsOf[core.RunForward](h.deliver(keyed(id, "sound")))
		is.Equal(len(runs), 1)
		h.advance(20 * time.Millisecond)
		h.deliver(core.StepFailed{ID: id, Send: runs[0].Send, Engine: "s1", Step: core.RunStep, BrokenOff: true})
		h.advance(20 * time.Millisecond)
		other := commandsOf[core.RunForward](h.deliver(keyed(id+1, core.RequestKey(fmt.Sprint("other", id)))))
		is.Equal(len(other), 1)
		h.deliver(core.ForwardResponseCompleted{ID: id + 1, Send: other[0].Send, Engine: "s1"})
		h.advance(200 * time.Millisecond)
	}
	is.True(!h.blockedAs(100, "sound"))
}

// A sound answer clears a request that was on two ends by chance.
func TestSoundAnswerClearsARequest(t *testing.T) {
	is := is.New(t)
	h := newLedgerNode("s1", "s2", "s3")
	for i := range 8 {
		h.crashOf("chance", 2*i, 50*time.Millisecond)
		h.advance(6 * time.Second)
		h.crashOf("chance", 2*i+1, 50*time.Millisecond)
		h.advance(6 * time.Second)
		id := core.ForwardID(i + 1)
		runs := commandsOf[core.RunForward](h.deliver(keyed(id, "chance")))
		is.Equal(len(runs), 1)
		h.deliver(core.ForwardResponseCompleted{ID: id, Send: runs[0].Send, Engine: runs[0].Engine})
	}
}

// A request under which an upstream has ended is not sent to the last sound one: its service
// would have none. It may run again once others are back.
func TestSuspectedRequestIsKeptFromTheLastUpstream(t *testing.T) {
	is := is.New(t)
	h := newLedgerNode("s1", "s2", "s3")
	sent := core.Set[core.EngineID]{}
	runs := commandsOf[core.RunForward](h.deliver(keyed(1, "deadly")))
	for len(runs) > 0 {
		sent.Add(runs[0].Engine)
		h.advance(50 * time.Millisecond)
		runs = commandsOf[core.RunForward](h.deliver(core.StepFailed{
			ID: 1, Send: runs[0].Send, Engine: runs[0].Engine, Step: core.RunStep, BrokenOff: true,
		}))
	}
	is.Equal(len(sent), 2)
	is.True(h.blockedAs(2, "deadly"))
	is.Equal(len(commandsOf[core.RunForward](h.deliver(keyed(3, "sound")))), 1)
	back := core.InstancesRead{After: 1, Offset: 2}
	for _, id := range sent.Sorted() {
		i := plainInstance(id)
		i.Born = 2
		back.Changed = append(back.Changed, i)
	}
	h.advance(3 * time.Second)
	h.deliver(back)
	is.True(!h.blockedAs(4, "deadly"))
}

// The only upstream of a service ends a connection. The caller's next attempt is not kept from
// it: there is no other one to save it for.
func TestOnlyUpstreamIsUsedAfterItEndsAConnection(t *testing.T) {
	is := is.New(t)
	h := newLedgerNode("s1")
	runs := commandsOf[core.RunForward](h.deliver(keyed(1, "sound")))
	h.deliver(core.StepFailed{ID: 1, Send: runs[0].Send, Engine: "s1", Step: core.RunStep, BrokenOff: true})
	is.Equal(len(commandsOf[core.RunForward](h.deliver(keyed(2, "sound")))), 1)
}

// A node that starts after a request was blocked gets the block with the first message that it
// sends, also when the block is due for a trial.
func TestStartingNodeLearnsOfBlockedRequests(t *testing.T) {
	is := is.New(t)
	h := newLedgerNode("s1", "s2", "s3")
	for i := range 3 {
		h.crashOf("deadly", i, 50*time.Millisecond)
		h.advance(time.Second)
	}
	out := h.deliver(core.PeerMessage{From: "n2", Incarnation: 2, Body: core.Heartbeat{Sequence: 9}})
	reports := sentTo[core.SuspectsReported](out, "n2")
	is.Equal(len(reports), 1)
	other := newLedgerNode("s1", "s2", "s3")
	other.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: reports[0]})
	is.True(other.blockedAs(1, "deadly"))
}

// A deadly request comes again for a day. Two trials find that out; the rule allows three.
func TestDeadlyRequestIsTriedTwiceADay(t *testing.T) {
	is := is.New(t)
	h := newHosted("n1", core.Settings{})
	read := core.InstancesRead{Whole: true, Offset: 1}
	for _, id := range []core.EngineID{"s1", "s2", "s3"} {
		read.Changed = append(read.Changed, plainInstance(id))
	}
	h.deliver(core.Tick{}, worldState(), read)
	for i := range 3 {
		h.crashOf("deadly", i, 50*time.Millisecond)
		h.advance(10 * time.Second)
	}
	tried := 0
	for id := range core.ForwardID(23 * 60) {
		h.advance(time.Minute)
		for _, run := range commandsOf[core.RunForward](h.deliver(keyed(id+1, "deadly"))) {
			tried++
			h.deliver(core.StepFailed{ID: id + 1, Send: run.Send, Engine: run.Engine, Step: core.RunStep, BrokenOff: true})
		}
	}
	is.Equal(tried, 2)
}

// A sound request was on three upstreams that ended by chance. It is blocked for two minutes and
// no longer: then one attempt is let through, and its answer ends the block.
func TestBlockOfARequestByChanceEndsInTwoMinutes(t *testing.T) {
	is := is.New(t)
	h := newHosted("n1", core.Settings{})
	h.deliver(core.Tick{}, worldState(), core.InstancesRead{Whole: true, Offset: 1, Changed: []core.Instance{plainInstance("s1")}})
	for i := range 3 {
		h.crashOf("chance", i, 50*time.Millisecond)
		h.advance(time.Second)
	}
	is.True(h.blockedAs(1, "chance"))
	h.advance(2 * time.Minute)
	for id := core.ForwardID(2); id < 5; id++ {
		runs := commandsOf[core.RunForward](h.deliver(keyed(id, "chance")))
		is.Equal(len(runs), 1)
		h.deliver(core.ForwardResponseStarted{ID: id, Send: runs[0].Send, Engine: runs[0].Engine}, core.ForwardResponseCompleted{ID: id, Send: runs[0].Send, Engine: runs[0].Engine})
	}
}

// Callers invent requests during whose runs connections break off. The one that has ended two
// upstreams must not be forgotten for them.
func TestInventedRequestsDoNotDisplaceDeadlyOnes(t *testing.T) {
	is := is.New(t)
	h := newLedgerNode("s1", "s2", "s3")
	for i := range 2 {
		h.crashOf("deadly", i, 50*time.Millisecond)
		h.advance(time.Second)
	}
	for i := range 10_000 {
		h.crashOf(core.RequestKey(fmt.Sprint("invented", i)), 9, 0)
	}
	h.crashOf("deadly", 3, 50*time.Millisecond)
	is.True(h.blockedAs(1, "deadly"))
}

// crashIn reports to a node that an upstream of a service ended under a whole request.
func (h *hostedNode) crashIn(service core.ServiceID, key core.RequestKey, upstream string) {
	h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: core.SuspectsReported{Crashes: []core.CrashReport{{
		Service: service, Request: key, RanFor: 50 * time.Millisecond, Crash: core.EngineCrash{Engine: core.EngineID(upstream), Born: 1},
	}}}})
}

// A route is split between two services, or moved to another one. The request ends upstreams
// of both, and was blocked after three of each.
func TestRequestThatEndsUpstreamsOfTwoServicesIsBlocked(t *testing.T) {
	is := is.New(t)
	h := newLedgerNode("s1", "s2", "s3")
	for i, service := range []core.ServiceID{"ledger", "canary", "canary"} {
		is.True(!h.blockedAs(core.ForwardID(i+1), "deadly"))
		h.crashIn(service, "deadly", fmt.Sprint("e", i))
		h.advance(10 * time.Second)
	}
	is.True(h.blockedAs(10, "deadly"))
}

// Of the two services of a route, one ends under a request and the other answers it. It is
// blocked at the one, and not at the other.
func TestAnswersOfOneServiceDoNotClearARequestAtAnother(t *testing.T) {
	is := is.New(t)
	h := newLedgerNode("s1", "s2", "s3")
	for i := range 3 {
		h.crashIn("canary", "deadly", fmt.Sprint("e", i))
		h.advance(10 * time.Second)
		if i == 2 {
			break
		}
		runs := commandsOf[core.RunForward](h.deliver(keyed(core.ForwardID(i+1), "deadly")))
		is.Equal(len(runs), 1)
		h.deliver(core.ForwardResponseCompleted{ID: core.ForwardID(i + 1), Send: runs[0].Send, Engine: runs[0].Engine})
	}
	is.True(!h.blockedAs(10, "deadly"))
	blocked := false
	for _, c := range commandsOf[core.LogDecision](h.commands) {
		blocked = blocked || c.Decision.Step == "part-blocked" && c.Decision.Profile == "canary"
	}
	is.True(blocked)
}

// Many callers send the same request to a service of two upstreams, and one of them loses a
// connection. The request was kept from the other upstream for seconds.
func TestOneLostConnectionDoesNotHoldBackARequest(t *testing.T) {
	is := is.New(t)
	h := newLedgerNode("s1", "s2")
	runs := commandsOf[core.RunForward](h.deliver(keyed(1, "popular")))
	again := commandsOf[core.RunForward](h.deliver(core.StepFailed{
		ID: 1, Send: runs[0].Send, Engine: runs[0].Engine, Step: core.RunStep, BrokenOff: true,
	}))
	is.Equal(len(again), 1)
	is.Equal(len(commandsOf[core.RunForward](h.deliver(keyed(2, "popular")))), 1)
}
