package core_test

import (
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// Engines of a service of which one reads prompts and the others decode.
func engineInstances() []core.Instance {
	engine := func(id core.EngineID, role core.Role) core.Instance {
		return core.Instance{ID: id, Service: "model", Domain: "d1", Address: string(id) + ":1", Slots: 16, Role: role, Born: 1}
	}
	return []core.Instance{engine("p1", core.Prefill), engine("d1", core.Decode), engine("d2", core.Decode)}
}

func streamTo(id core.ForwardID, route string) core.Forward {
	f := forwardTo(id, route)
	f.Patience = worldTimeout
	f.Generation = core.Some(core.Generation{Prompt: worldPrompt, MaxOutput: 2 * worldOutput, ExpectedOutput: worldOutput})
	return f
}

// An upstream that says in a response that it is leaving must get no further request,
// although the list still shows it as ready, its entry lapses and returns, and the store
// writes the entry again. Its next incarnation is used.
func TestLeavingUpstreamGetsNoRequests(t *testing.T) {
	is := is.New(t)
	h := readyAlone(plainInstance("e1"))
	h.deliver(core.UpstreamSignal{Engine: "e1", Leaving: true})
	refused := func(id core.ForwardID) bool {
		out := h.deliver(forwardTo(id, "pay"))
		return len(commandsOf[core.RunForward](out)) == 0 && len(commandsOf[core.EndForward](out)) == 1
	}
	is.True(refused(1))
	h.deliver(core.InstancesRead{After: 1, Offset: 2, Removed: []core.EngineID{"e1"}})
	h.deliver(core.InstancesRead{After: 2, Offset: 3, Changed: []core.Instance{plainInstance("e1")}})
	is.True(refused(2))
	restarted := plainInstance("e1")
	restarted.Born = 2
	h.deliver(core.InstancesRead{After: 3, Offset: 4, Changed: []core.Instance{restarted}})
	is.Equal(len(commandsOf[core.RunForward](h.deliver(forwardTo(3, "pay")))), 1)
}

// A request that waits for its prefill must not be run at a decode engine that has said
// meanwhile, in the response to another request, that it is leaving.
func TestStreamIsNotRunAtEngineThatLeaves(t *testing.T) {
	is := is.New(t)
	h := readyAlone(engineInstances()...)
	lease := commandsOf[core.RequestLease](h.deliver(streamTo(1, "draft")))[0]
	prefill := commandsOf[core.RunPrefill](h.deliver(core.LeaseGranted{ID: 1, Send: lease.Send, Engine: lease.Engine, Lease: "l"}))
	is.Equal(len(prefill), 1)
	h.deliver(core.UpstreamSignal{Engine: lease.Engine, Leaving: true})
	out := h.deliver(core.PrefillFinished{ID: 1, Send: prefill[0].Send, Engine: "p1", Handle: "k", Tokens: worldPrompt})
	is.Equal(len(commandsOf[core.RunForward](out)), 0)
	again := commandsOf[core.RequestLease](out)
	is.Equal(len(again), 1)
	is.True(again[0].Engine != lease.Engine)
}

// arrivals counts the commands that send something to an upstream.
func arrivals(commands []core.Command, id core.EngineID) int {
	count := 0
	for _, c := range commands {
		switch c := c.(type) {
		case core.RequestLease:
			count += btoi(c.Engine == id)
		case core.RunPrefill:
			count += btoi(c.Engine == id)
		case core.RunForward:
			count += btoi(c.Engine == id)
		case core.ReleaseLease:
			count += btoi(c.Engine == id)
		case core.ReleaseHandle:
			count += btoi(c.Engine == id)
		case core.SendOrder:
			count += btoi(c.Order.Engine == id)
		}
	}
	return count
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Load pattern: a plain upstream is overloaded, rejects, and asks for quiet. The others
// take its load. Once all have asked for quiet, callers are rejected at once, with the
// time until the first accepts requests again.
func TestOverloadedUpstreamIsLeftAlone(t *testing.T) {
	is := is.New(t)
	h := readyAlone(plainInstance("e1"), plainInstance("e2"))
	h.deliver(core.UpstreamSignal{Engine: "e1", QuietFor: 3 * time.Second})
	id := core.ForwardID(0)
	for range 20 {
		id++
		out := h.deliver(forwardTo(id, "read"))
		is.Equal(arrivals(out, "e1"), 0)
		is.Equal(arrivals(out, "e2"), 1)
		run := commandsOf[core.RunForward](out)[0]
		h.deliver(core.ForwardResponseCompleted{ID: id, Send: run.Send, Engine: "e2"})
		h.advance(50 * time.Millisecond)
	}
	h.deliver(core.UpstreamSignal{Engine: "e2", QuietFor: 5 * time.Second})
	out := h.deliver(forwardTo(100, "pay"))
	ends := commandsOf[core.EndForward](out)
	is.Equal(len(ends), 1)
	is.True(ends[0].NotRun)
	is.Equal(ends[0].RetryAfter, 2*time.Second)
	h.advance(2 * time.Second)
	is.Equal(arrivals(h.deliver(forwardTo(101, "pay")), "e1"), 1)
}

// A request that was rejected by an upstream which asked for quiet goes to another one.
func TestRejectedRequestAvoidsTheOverloadedUpstream(t *testing.T) {
	is := is.New(t)
	h := readyAlone(plainInstance("e1"), plainInstance("e2"))
	first := commandsOf[core.RunForward](h.deliver(forwardTo(1, "pay")))[0]
	h.deliver(core.UpstreamSignal{Engine: first.Engine, QuietFor: time.Second})
	again := commandsOf[core.RunForward](h.deliver(core.StepRefused{ID: 1, Send: first.Send, Engine: first.Engine, Step: core.RunStep}))
	is.Equal(len(again), 1)
	is.True(again[0].Engine != first.Engine)
}

// Many streams hold memory at a decode engine and have their prompts read when it asks
// for quiet. At most two may still be sent to it, and neither leases nor KV caches may be
// released there; the others are placed elsewhere.
func TestFewPlacedStreamsReachAQuietEngine(t *testing.T) {
	is := is.New(t)
	h := readyAlone(engineInstances()[:2]...)
	const streams = 5
	var prefills []core.RunPrefill
	for id := range core.ForwardID(streams) {
		lease := commandsOf[core.RequestLease](h.deliver(streamTo(id+1, "draft")))[0]
		out := h.deliver(core.LeaseGranted{ID: id + 1, Send: lease.Send, Engine: "d1", Lease: core.LeaseID(rune('a' + id))})
		prefills = append(prefills, commandsOf[core.RunPrefill](out)...)
	}
	h.deliver(core.InstancesRead{After: 1, Offset: 2, Changed: engineInstances()})
	h.deliver(core.UpstreamSignal{Engine: "d1", QuietFor: 5 * time.Second})
	sent, elsewhere := 0, 0
	for id := range core.ForwardID(streams) {
		out := h.deliver(core.PrefillFinished{ID: id + 1, Send: prefills[id].Send, Engine: "p1", Handle: "k", Tokens: worldPrompt})
		sent += arrivals(out, "d1")
		elsewhere += arrivals(out, "d2")
	}
	is.Equal(sent, 2)
	is.Equal(elsewhere, streams-2)
	is.Equal(arrivals(h.advance(4*time.Second), "d1"), 0)
}

// An owner places no request of a node at an engine that asked that node for quiet, or
// that told it that it is leaving: the node names these engines when it asks.
func TestOwnerIsToldOfUnwantedEngines(t *testing.T) {
	is := is.New(t)
	h := newHosted("n1", core.Settings{})
	h.deliver(core.Tick{}, worldState(), core.InstancesRead{Whole: true, Offset: 1, Changed: engineInstances()})
	addPeer(h, "n2")
	h.deliver(core.UpstreamSignal{Engine: "d1", QuietFor: 5 * time.Second}, core.UpstreamSignal{Engine: "p1", Leaving: true})
	for id := range core.ForwardID(8) {
		for _, m := range sentTo[core.PlaceForward](h.deliver(streamTo(id+1, "draft")), "n2") {
			is.Equal(m.Avoid, []core.EngineID{"d1", "p1"})
		}
	}
}

// An upstream whose entry does not name its incarnation asks for quiet. It must be used
// again once that time is over, and not be taken for one that is leaving.
func TestQuietUpstreamWithoutIncarnationIsUsedAgain(t *testing.T) {
	is := is.New(t)
	unnamed := plainInstance("e1")
	unnamed.Born = 0
	h := readyAlone(unnamed)
	h.deliver(core.UpstreamSignal{Engine: "e1", QuietFor: time.Second})
	h.advance(2 * time.Second)
	is.Equal(arrivals(h.deliver(forwardTo(1, "pay")), "e1"), 1)
}
