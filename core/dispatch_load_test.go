package core_test

import (
	"math"
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// crests returns a world after two crests of five seconds, each at more than one and a
// half times the capacity of the engines, with arrivals at nineteen twentieths of it in between.
func crests(seed uint64, without ...core.Mechanism) *hostedWorld {
	const capacity = 24 * 6 / 3.6
	w := newHostedWorld(worldOptions{nodes: 8, prefillers: 8, decoders: 24, without: core.SetOf(without...), seed: seed})
	w.run(3 * time.Second)
	w.load("draft", 0.95*capacity, 40*time.Second)
	w.run(5 * time.Second)
	w.load("draft", 0.8*capacity, 5*time.Second)
	w.run(15 * time.Second)
	w.load("draft", 0.8*capacity, 5*time.Second)
	w.run(50 * time.Second)
	return w
}

// Load pattern: crests whose rejected callers would return together. Told to return as
// they can be served, fewer of them are rejected again.
func TestRejectedCallersReturnAsTheyCanBeServed(t *testing.T) {
	is := is.New(t)
	with, without := 0, 0
	for seed := range uint64(4) {
		with += crests(seed).rejected
		without += crests(seed, core.ReturnSchedule).rejected
	}
	t.Logf("rejected twice %d and %d without", with, without)
	is.True(with < without)
}

// Load pattern: crests whose rejected callers return while arrivals alone nearly fill the
// engines. Late requests must leave room for those that can be on time, and still be
// served nearly as often as without that.
func TestReturnsAfterACrestDoNotMakeNewRequestsLate(t *testing.T) {
	is := is.New(t)
	var onTime, served [2]int
	for seed := range uint64(4) {
		for i, w := range []*hostedWorld{crests(seed), crests(seed, core.LateReserve)} {
			onTime[i] += w.onTime
			served[i] += w.served
		}
	}
	t.Logf("on time %d and %d without, served %d and %d", onTime[0], onTime[1], served[0], served[1])
	is.True(onTime[0] > onTime[1])
	is.True(float64(served[0]) >= 0.97*float64(served[1]))
}

// Load pattern: a crest of four times the mean load for one and a half seconds, which
// begins while three quarters of the decode memory are free. There are as many prefill
// engines as the mean load needs. Decode engines must prefill what these cannot in time,
// but not so often that their streams are slowed by more than a fifth.
func TestDecodeEnginesHelpWithPromptsOfACrest(t *testing.T) {
	is := is.New(t)
	simulate := func(without ...core.Mechanism) *hostedWorld {
		w := newHostedWorld(worldOptions{nodes: 8, prefillers: 3, decoders: 24, without: core.SetOf(append(without, core.RoleChanges)...), seed: 3})
		w.run(3 * time.Second)
		w.load("draft", 18, 6*time.Second)
		w.run(4 * time.Second)
		w.load("draft", 54, 1500*time.Millisecond)
		w.run(20 * time.Second)
		return w
	}
	with, without := simulate(), simulate(core.DecodePrefill)
	t.Logf("on time %d and %d without, of %d; %d prefilled by decode engines", with.onTime, without.onTime, with.callers, with.prefilledAtDecode)
	is.True(with.onTime > without.onTime)
	is.Equal(without.prefilledAtDecode, 0)
	const engines, seconds, each = 24, 8, 0.194 / 0.2
	is.True(float64(with.prefilledAtDecode) <= engines*seconds/each)
}

// Load pattern: engines filled to the last token, with answers that callers estimate
// badly. Some answers outgrow what was reserved for them, and the engine preempts a
// stream. A reserve on each engine must prevent most of that.
func TestEnginesKeepRoomForLongerAnswers(t *testing.T) {
	is := is.New(t)
	simulate := func(without ...core.Mechanism) *hostedWorld {
		w := streamWorld(without...)
		w.estimate = func(output core.Tokens) core.Tokens {
			return core.Tokens(float64(output) * math.Exp(0.5*w.rng.NormFloat64()))
		}
		w.loadSpread("draft", 1.3*modelCapacity, 60*time.Second)
		w.run(90 * time.Second)
		return w
	}
	with, without := simulate(), simulate(core.OverrunReserve)
	t.Logf("preempted %d and %d without, on time %d and %d", with.preempted, without.preempted, with.onTime, without.onTime)
	is.True(with.preempted <= without.preempted/2)
}

// Load pattern: a fifth of the engines are dead and still listed. A dead engine holds
// nothing, so
// that it is the first choice of an owner that does not learn why its leases fail.
// Requests must not go from one dead engine to the next.
func TestOwnerAvoidsDeadEngines(t *testing.T) {
	is := is.New(t)
	w := newHostedWorld(worldOptions{nodes: 8, prefillers: 4, decoders: 20, seed: 3})
	w.run(3 * time.Second)
	for _, id := range []core.EngineID{"d00", "d01", "d02", "d03"} {
		w.ups[id].dead = true
	}
	w.load("draft", 20, 10*time.Second)
	w.run(4 * time.Second)
	tries := w.steps["d00"] + w.steps["d01"] + w.steps["d02"] + w.steps["d03"]
	// An engine that fails is tried again after half a second, then after one and two.
	const triesEach = 2 + 4
	t.Logf("%d tries at four dead engines", tries)
	is.True(tries <= 4*triesEach)
}

// Load pattern: one of three prefill engines goes silent under a load that the other two
// can serve. Prompts sent to it must time out soon enough to be prefilled elsewhere on
// time, except those in flight when it fails. It must get only as many as the detection of
// the failure takes.
func TestSilentPrefillEngineIsFoundOut(t *testing.T) {
	is := is.New(t)
	w := newHostedWorld(worldOptions{nodes: 8, prefillers: 3, decoders: 20, without: core.SetOf(core.RoleChanges, core.DecodePrefill), seed: 3})
	w.run(3 * time.Second)
	w.load("draft", 12, 20*time.Second)
	w.run(5 * time.Second)
	w.ups["p00"].dark = true
	w.steps["p00"] = 0
	w.run(25 * time.Second)
	t.Logf("%d prompts sent to the silent engine; on time %d of %d, failed %d", w.steps["p00"], w.onTime, w.callers, w.failed)
	// It is tried after half a second, one, and then every two seconds, and one prompt is
	// on its way when it goes silent.
	is.True(w.steps["p00"] <= 2+2+15/2+1)
	const onTheirWay = 2
	is.True(w.onTime >= w.callers-onTheirWay)
}

// Load pattern: engines of two groups of unequal size. Requests must be divided by the
// groups' sizes, and a caller who retries must come to the owner that knows its prompt.
func TestGroupsGetRequestsByTheirSize(t *testing.T) {
	is := is.New(t)
	h := newHosted("n1", core.Settings{})
	list := core.InstancesRead{Whole: true, Offset: 1}
	for i := range 200 {
		id := core.EngineID("e" + string(rune('a'+i/26)) + string(rune('a'+i%26)))
		list.Changed = append(list.Changed, core.Instance{ID: id, Service: "model", Address: string(id) + ":1", Slots: 16, Role: core.Decode, Born: 1})
	}
	h.deliver(core.Tick{}, worldState(), list)
	for i := range 12 {
		addPeer(h, core.NodeID("m"+string(rune('a'+i))))
	}
	groups := map[int]int{}
	groupOf := func(id core.ForwardID, key core.PromptKey) int {
		f := streamTo(id, "draft")
		g, _ := f.Generation.Get()
		g.PromptKey = key
		f.Generation = core.Some(g)
		for _, c := range commandsOf[core.SendPeer](h.deliver(f)) {
			if p, ok := c.Body.(core.PlaceForward); ok {
				return p.Group.Index
			}
		}
		return -1
	}
	const requests = 600
	for i := range core.ForwardID(requests) {
		first := groupOf(2*i+1, core.PromptKey(i+1)*7919)
		is.Equal(groupOf(2*i+2, core.PromptKey(i+1)*7919), first)
		groups[first]++
	}
	t.Logf("requests by group: %v", groups)
	is.Equal(len(groups)-btoi(groups[-1] > 0), 2-btoi(groups[-1] > 0))
}

// Load pattern: a steady load far below capacity, from entries in two failure domains.
// Streams must stay in the domain of their entry, because traffic between domains is
// expensive.
func TestStreamsStayInTheDomainOfTheirEntry(t *testing.T) {
	is := is.New(t)
	h := newHosted("n1", core.Settings{})
	list := core.InstancesRead{Whole: true, Offset: 1}
	for i := range 8 {
		domain := core.DomainID("d1")
		if i%2 == 1 {
			domain = "d2"
		}
		id := core.EngineID("e" + string(rune('a'+i)))
		list.Changed = append(list.Changed, core.Instance{ID: id, Service: "model", Domain: domain, Address: string(id) + ":1", Slots: 16, Role: core.Decode, Born: 1})
	}
	h.deliver(core.Tick{}, worldState(), list)
	h.deliver(core.VMList{Nodes: []core.NodeInfo{{ID: "n2", Domain: "d2", PeerAddress: "n2:1", CallerAddress: "n2:2"}}})
	h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: core.Heartbeat{Sequence: 1}})
	place := func(id core.ForwardID) core.EngineID {
		out := h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: core.PlaceForward{
			ID: id, Group: core.DispatchGroup{Service: "model"}, Prompt: worldPrompt, Expected: worldOutput,
			OnTime: time.Second, Patience: worldTimeout, Objective: worldObjective,
		}})
		return sentTo[core.ForwardPlaced](out, "n2")[0].Decode
	}
	for id := range core.ForwardID(4) {
		is.True((place(id)[1]-'a')%2 == 1)
	}
	// Once the engines of the domain hold much more than others, those are used.
	elsewhere := 0
	for id := range core.ForwardID(16) {
		elsewhere += btoi((place(10 + id)[1]-'a')%2 == 0)
	}
	is.True(elsewhere >= 4)
}
