package core_test

import (
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// modelCapacity is about how many streams a second the engines of streamWorld
// can decode: each engine decodes five at a time, for three and a half seconds.
const modelCapacity = 8 * 5 / 3.5

func streamWorld(without ...core.Mechanism) *hostedWorld {
	w := newHostedWorld(worldOptions{nodes: 8, prefillers: 4, decoders: 8, without: core.SetOf(without...), seed: 3})
	w.run(3 * time.Second)
	return w
}

// A burst of twice the engines' capacity for five seconds, as occurs every day.
// An ideal scheduler would fill all places at once and then each place as it
// becomes free, for as long as an answer can be on time. The requirement is
// nine tenths of that.
func TestBurstOfStreamsIsServedOnTime(t *testing.T) {
	is := is.New(t)
	w := streamWorld()
	w.load("draft", 2*modelCapacity, 5*time.Second)
	w.run(30 * time.Second)
	const places, freed = 8 * 5, modelCapacity * (5 + 0.9 - 3.5)
	t.Logf("on time %d of %.0f, served %d, rejected %d", w.onTime, places+freed, w.served, w.rejected)
	is.True(float64(w.onTime) >= 0.9*(places+freed))
	is.Equal(w.failed, 0)
}

// At one and a half times the engines' capacity for twenty seconds, placement
// by an owner must beat placement by each node alone. The owner has one queue
// for all nodes and serves new requests before those that are late already;
// nodes alone give the engines to whichever request finds room first.
func TestOwnersServeMoreOnTimeThanNodesAlone(t *testing.T) {
	is := is.New(t)
	simulate := func(without ...core.Mechanism) *hostedWorld {
		w := streamWorld(without...)
		w.load("draft", 1.5*modelCapacity, 20*time.Second)
		w.run(40 * time.Second)
		return w
	}
	joint, alone := simulate(), simulate(core.OwnedGroups)
	t.Logf("on time: owners %d, alone %d; served %d, %d", joint.onTime, alone.onTime, joint.served, alone.served)
	is.True(float64(joint.onTime) >= 1.3*float64(alone.onTime))
}

// At one and a half times the engines' capacity, with answers that differ in
// length as callers' do, serving short answers first must serve more callers on
// time. Long answers must still be served at least half as often as all.
func TestShortAnswersGoFirst(t *testing.T) {
	is := is.New(t)
	simulate := func(without ...core.Mechanism) *hostedWorld {
		w := streamWorld(without...)
		w.loadSpread("draft", 1.5*modelCapacity, 40*time.Second)
		w.run(70 * time.Second)
		return w
	}
	with, without := simulate(), simulate(core.ShortFirst)
	share := func(w *hostedWorld) float64 { return float64(w.longServed) / float64(w.long) }
	t.Logf("on time %d and %d without, of %d; long ones served %.2f and %.2f", with.onTime, without.onTime, with.callers, share(with), share(without))
	is.True(with.onTime > without.onTime)
	is.True(share(with) >= 0.5*float64(with.served)/float64(with.callers))
}

// Guards against wasted prefills in a burst. A prompt is prefilled only once
// its decode memory is leased, so no run may be rejected after its prefill.
func TestNoPrefillIsWasted(t *testing.T) {
	is := is.New(t)
	w := streamWorld()
	w.load("draft", 3*modelCapacity, 5*time.Second)
	w.run(30 * time.Second)
	is.Equal(w.wastedPrefills, 0)
}

// At half of the engines' capacity, no request may be rejected while there is
// room, and requests must not wait.
func TestStreamsBelowCapacityAreAllOnTime(t *testing.T) {
	is := is.New(t)
	w := streamWorld()
	w.load("draft", modelCapacity/2, 10*time.Second)
	w.run(30 * time.Second)
	is.Equal(w.rejected+w.failed, 0)
	is.True(float64(w.onTime) >= 0.99*float64(w.served))
}

// A plain service at 1.3 times the capacity of its slots for five seconds. A
// queue as long as the objective allows would make every answer slightly late,
// so requests that cannot be served soon are rejected at once. Nine tenths of
// what the slots can serve in that time must be on time, and more than if each
// node chooses alone.
func TestBurstOfPlainRequestsIsServedOnTime(t *testing.T) {
	is := is.New(t)
	simulate := func(without ...core.Mechanism) *hostedWorld {
		w := newHostedWorld(worldOptions{nodes: 8, plain: 3, slots: 6, without: core.SetOf(without...), seed: 5})
		w.run(3 * time.Second)
		w.load("pay", 1.3*600, 5*time.Second)
		w.run(10 * time.Second)
		return w
	}
	joint, alone := simulate(), simulate(core.OwnedGroups)
	t.Logf("on time: owners %d of %d, alone %d of %d", joint.onTime, joint.served, alone.onTime, alone.served)
	const slots, second = 3 * 6, 1 / 0.030
	is.True(float64(joint.onTime) >= 0.9*slots*second*5)
	is.True(joint.onTime > alone.onTime)
}

// Engines lose two fifths of their lease grants. A lease whose grant is lost
// blocks memory until it expires, so leases must be short; and engines that are
// avoided for their failures must be used if there are no others.
func TestLostGrantsDoNotStarveStreams(t *testing.T) {
	is := is.New(t)
	w := streamWorld()
	w.load("draft", modelCapacity/2, 4*time.Second)
	w.run(8 * time.Second)
	for _, id := range w.ids {
		w.ups[id].loses = 0.4
	}
	before := w.served
	w.load("draft", modelCapacity/2, 4*time.Second)
	w.run(20 * time.Second)
	sent := 4 * modelCapacity / 2
	t.Logf("served %d of about %.0f", w.served-before, sent)
	is.True(float64(w.served-before) >= 0.9*sent)
}

// Half of the decode engines die under load. A dead engine fails at once, and
// must not be retried as fast as it fails.
func TestDeadEnginesAreRetriedSlowly(t *testing.T) {
	is := is.New(t)
	w := streamWorld()
	w.load("draft", modelCapacity, 4*time.Second)
	w.run(2 * time.Second)
	dead := []core.EngineID{"d00", "d01", "d02", "d03"}
	for _, id := range dead {
		w.ups[id].dead = true
		w.steps[id] = 0
	}
	w.run(4 * time.Second)
	for _, id := range dead {
		// A node that knows nothing of the others may try each engine four
		// times a second; in the worst case all eight nodes do.
		is.True(w.steps[id] <= 4*4*8)
	}
}

// The owner of the engines hangs. Its entries must place requests by themselves
// after one short timeout.
func TestUnresponsiveOwnerCostsOneTimeout(t *testing.T) {
	is := is.New(t)
	w := streamWorld()
	for _, n := range w.nodes[1:] {
		n.frozen = true
	}
	entry := w.nodes[0]
	for range 20 {
		w.next++
		id := w.next
		w.requests[id] = &worldRequest{node: entry, firstArrived: w.now, output: worldOutput, kind: "draft"}
		entry.deliver(core.Forward{
			ID: id, Attempt: "a", Host: "h", Path: "/draft/x", Patience: worldTimeout,
			Generation: core.Some(core.Generation{Prompt: worldPrompt, ExpectedOutput: worldOutput}),
		})
		w.run(150 * time.Millisecond)
	}
	w.run(10 * time.Second)
	is.Equal(w.served, 20)
	is.Equal(w.onTime, 20)
}

// Steady load on engines of which half are prefill engines. Engines must change
// their role until the division fits the costs, all orders must come from one
// node with fencing tokens that do not decrease, and no engine may be ordered
// more than once.
func TestRolesFollowTheLoad(t *testing.T) {
	is := is.New(t)
	w := newHostedWorld(worldOptions{nodes: 5, prefillers: 6, decoders: 6, seed: 9})
	w.run(3 * time.Second)
	w.load("draft", 8, 40*time.Second)
	w.run(45 * time.Second)
	prefillers := 0
	for _, id := range w.ids {
		if w.ups[id].Role == core.Prefill {
			prefillers++
		}
	}
	is.True(prefillers >= 2 && prefillers <= 4)
	ordered := map[core.EngineID]int{}
	for i, o := range w.orders {
		is.Equal(o.from, w.orders[0].from)
		ordered[o.Engine]++
		is.True(ordered[o.Engine] == 1)
		if i > 0 {
			is.True(o.Fencing >= w.orders[i-1].Fencing)
		}
	}
	is.True(len(w.orders) > 0)
}

// A request whose lease an engine denied must return to its former position in
// the queue: before those that arrived later.
func TestDeniedRequestKeepsItsQueuePosition(t *testing.T) {
	is := is.New(t)
	h := newHosted("n1", core.Settings{})
	h.deliver(core.Tick{}, worldState(), core.InstancesRead{Whole: true, Offset: 1, Changed: []core.Instance{
		{ID: "p1", Service: "model", Address: "p1:1", Slots: 4, Role: core.Prefill, Born: 1},
		{ID: "d1", Service: "model", Address: "d1:1", Slots: 4, Role: core.Decode, Born: 1},
	}})
	place := func(id core.ForwardID, waited time.Duration) []core.Command {
		return h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: core.PlaceForward{
			ID: id, Group: core.DispatchGroup{Service: "model"}, Prompt: 3200, Expected: worldMemory - 100 - 3200, Waited: waited,
			OnTime: 600 * time.Millisecond, Patience: worldTimeout, Objective: worldObjective,
		}})
	}
	is.Equal(sentTo[core.ForwardPlaced](place(1, 0), "n2")[0].ID, core.ForwardID(1))
	h.advance(20 * time.Millisecond)
	place(2, 0)
	h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: core.ForwardDenied{ID: 1, Engine: "d1"}})
	place(1, 25*time.Millisecond)
	placed := sentTo[core.ForwardPlaced](h.advance(400*time.Millisecond), "n2")
	is.Equal(len(placed), 1)
	is.Equal(placed[0].ID, core.ForwardID(1))
}

// More streams than an engine has slots, with memory for all of them. Those
// beyond the slots must wait at the owner, where urgent ones go first, and not
// be sent to the engine to be denied repeatedly.
func TestSlotsBoundStreams(t *testing.T) {
	is := is.New(t)
	h := newHosted("n1", core.Settings{})
	h.deliver(core.Tick{}, worldState(), core.InstancesRead{Whole: true, Offset: 1, Changed: []core.Instance{
		{ID: "d1", Service: "model", Address: "d1:1", Slots: 2, Role: core.Decode, Born: 1},
	}})
	deliver := func(body core.PeerBody) []core.Command {
		return h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: body})
	}
	placed := 0
	for id := range core.ForwardID(3) {
		placed += len(sentTo[core.ForwardPlaced](deliver(core.PlaceForward{
			ID: id, Group: core.DispatchGroup{Service: "model"}, Prompt: 100, Expected: 100,
			OnTime: time.Second, Patience: worldTimeout, Objective: worldObjective,
		}), "n2"))
	}
	is.Equal(placed, 2)
	out := deliver(core.ForwardReleased{ID: 0, Outcome: core.RunSucceeded, Output: 100})
	is.Equal(sentTo[core.ForwardPlaced](out, "n2")[0].ID, core.ForwardID(2))
}

// All nodes have just started when many requests arrive at once, as after an
// outage. The owner knows no costs yet, and must not reject requests that the
// slots can serve.
func TestColdStartRefusesNobody(t *testing.T) {
	is := is.New(t)
	w := newHostedWorld(worldOptions{nodes: 4, plain: 3, slots: 6, seed: 5})
	w.run(time.Second)
	for range 60 {
		w.sendRequest("pay", 0, w.now, true, 0)
	}
	w.run(5 * time.Second)
	is.Equal(w.rejected, 0)
	is.Equal(w.served, 60)
}

// All nodes have just started when many streams arrive at once, as after an
// outage, and the owner does not know yet how fast engines prefill. Prompts
// must wait at the owner and not at the engines, where they would hold memory
// meanwhile: a prompt may wait there for at most 150 ms before its prefill.
func TestColdOwnerReadsNoFurtherAhead(t *testing.T) {
	is := is.New(t)
	w := newHostedWorld(worldOptions{nodes: 4, prefillers: 2, decoders: 8, seed: 5})
	w.run(time.Second)
	w.load("draft", 60, 500*time.Millisecond)
	w.run(10 * time.Second)
	is.True(w.longestPrefill <= 150*time.Millisecond+promptTime)
}

// Orders get no answer and are carried out many seconds later. Meanwhile an
// engine that was ordered to decode still prefills. If requests were run there,
// they would be rejected after their prompts were prefilled for nothing.
func TestEnginesWithPendingOrdersGetNoRequests(t *testing.T) {
	is := is.New(t)
	w := newHostedWorld(worldOptions{nodes: 5, prefillers: 6, decoders: 6, seed: 9})
	w.orderDelay = 12 * time.Second
	w.run(3 * time.Second)
	w.load("draft", 12, 20*time.Second)
	w.run(30 * time.Second)
	is.True(len(w.orders) > 0)
	is.Equal(w.wastedPrefills, 0)
}
