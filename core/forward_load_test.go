package core_test

import (
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// modelCapacity is about how many streams a second the engines of streamWorld
// can decode: five fit one engine at a time, for three and a half seconds.
const modelCapacity = 8 * 5 / 3.5

func streamWorld(without ...core.Mechanism) *hostedWorld {
	w := newHostedWorld(worldOptions{nodes: 8, readers: 4, decoders: 8, without: core.SetOf(without...), seed: 3})
	w.run(3 * time.Second)
	return w
}

// Load pattern: twice what the engines can decode, for five seconds, as in the
// bursts of every day. One who knew everything would fill all places at once and
// then each place as it becomes free, for as long as an answer can be on time.
// The brief asks for nine tenths of that.
func TestBurstOfStreamsIsServedOnTime(t *testing.T) {
	is := is.New(t)
	w := streamWorld()
	w.load("draft", 2*modelCapacity, 5*time.Second)
	w.run(30 * time.Second)
	const places, freed = 8 * 5, modelCapacity * (5 + 0.9 - 3.5)
	t.Logf("on time %d of %.0f, served %d, refused %d", w.onTime, places+freed, w.served, w.refused)
	is.True(float64(w.onTime) >= 0.9*(places+freed))
	is.Equal(w.failed, 0)
}

// Load pattern: one and a half times what the engines can decode, for twenty
// seconds. The owner of the engines has one queue for all nodes, so newcomers go
// before those that are late already; each node alone fills the engines with
// whoever finds room first.
func TestOwnersServeMoreOnTimeThanNodesAlone(t *testing.T) {
	is := is.New(t)
	play := func(without ...core.Mechanism) *hostedWorld {
		w := streamWorld(without...)
		w.load("draft", 1.5*modelCapacity, 20*time.Second)
		w.run(40 * time.Second)
		return w
	}
	joint, alone := play(), play(core.OwnedGroups)
	t.Logf("on time: owners %d, alone %d; served %d, %d", joint.onTime, alone.onTime, joint.served, alone.served)
	is.True(float64(joint.onTime) >= 1.3*float64(alone.onTime))
}

// Load pattern: one and a half times what the engines can decode, with answers
// that differ in length as callers' do. Short ones go first, so more callers are
// served on time; the long ones are still served at least half as often as all.
func TestShortAnswersGoFirst(t *testing.T) {
	is := is.New(t)
	play := func(without ...core.Mechanism) *hostedWorld {
		w := streamWorld(without...)
		w.loadSpread("draft", 1.5*modelCapacity, 40*time.Second)
		w.run(70 * time.Second)
		return w
	}
	with, without := play(), play(core.ShortFirst)
	share := func(w *hostedWorld) float64 { return float64(w.longServed) / float64(w.long) }
	t.Logf("on time %d and %d without, of %d; long ones served %.2f and %.2f", with.onTime, without.onTime, with.asks, share(with), share(without))
	is.True(with.onTime > without.onTime)
	is.True(share(with) >= 0.5*float64(with.served)/float64(with.asks))
}

// Load pattern: the same burst. A prompt is read only once its memory is leased,
// so none is read in vain.
func TestNoPromptIsReadInVain(t *testing.T) {
	is := is.New(t)
	w := streamWorld()
	w.load("draft", 3*modelCapacity, 5*time.Second)
	w.run(30 * time.Second)
	is.Equal(w.inVain, 0)
}

// Load pattern: half of what the engines can decode. Nobody is refused while
// places are free, and nobody waits.
func TestCalmStreamsAreAllOnTime(t *testing.T) {
	is := is.New(t)
	w := streamWorld()
	w.load("draft", modelCapacity/2, 10*time.Second)
	w.run(30 * time.Second)
	is.Equal(w.refused+w.failed, 0)
	is.True(float64(w.onTime) >= 0.99*float64(w.served))
}

// Load pattern: 1.3 times what the slots of a plain service can do, for five
// seconds. A queue as long as the objective allows would make every answer late
// by a hair; what cannot be served soon is refused at once instead. Nine tenths
// of what the slots can do in that time are on time, and more than where each
// node chooses alone.
func TestBurstOfPlainRequestsIsServedOnTime(t *testing.T) {
	is := is.New(t)
	play := func(without ...core.Mechanism) *hostedWorld {
		w := newHostedWorld(worldOptions{nodes: 8, plain: 3, slots: 6, without: core.SetOf(without...), seed: 5})
		w.run(3 * time.Second)
		w.load("pay", 1.3*600, 5*time.Second)
		w.run(10 * time.Second)
		return w
	}
	joint, alone := play(), play(core.OwnedGroups)
	t.Logf("on time: owners %d of %d, alone %d of %d", joint.onTime, joint.served, alone.onTime, alone.served)
	const slots, second = 3 * 6, 1 / 0.030
	is.True(float64(joint.onTime) >= 0.9*slots*second*5)
	is.True(joint.onTime > alone.onTime)
}

// Load pattern: most engines lose two fifths of their answers. A lease whose
// grant got lost blocks memory until it lapses, so leases are short; engines
// that are put aside for their failures are used when there are no others.
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
	asked := 4 * modelCapacity / 2
	t.Logf("served %d of about %.0f", w.served-before, asked)
	is.True(float64(w.served-before) >= 0.9*asked)
}

// Load pattern: half of the engines die under load. A dead engine refuses at
// once, and must not be tried as fast as it refuses.
func TestDeadEnginesAreNotHammered(t *testing.T) {
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
		// Four tries a second for each engine, from each of the eight nodes at
		// worst, is what one who knows nothing of the others may do.
		is.True(w.steps[id] <= 4*4*8)
	}
}

// Load pattern: the owner of the engines stands still. Its entries place by
// themselves after one short wait.
func TestSilentOwnerCostsOneShortWait(t *testing.T) {
	is := is.New(t)
	w := streamWorld()
	for _, n := range w.nodes[1:] {
		n.frozen = true
	}
	entry := w.nodes[0]
	for range 20 {
		w.next++
		id := w.next
		w.asked[id] = &worldRequest{node: entry, began: w.now, output: worldOutput, kind: "draft"}
		entry.tell(core.Forward{
			ID: id, Attempt: "a", Host: "h", Path: "/draft/x", Patience: worldTimeout,
			Generation: core.Some(core.Generation{Prompt: worldPrompt, ExpectedOutput: worldOutput}),
		})
		w.run(150 * time.Millisecond)
	}
	w.run(10 * time.Second)
	is.Equal(w.served, 20)
	is.Equal(w.onTime, 20)
}

// Load pattern: steady streams on engines of which half read prompts. Engines
// change their role until the division fits the costs, all orders come from one
// node with rising fencing numbers, and no engine is ordered to and fro.
func TestRolesFollowTheLoad(t *testing.T) {
	is := is.New(t)
	w := newHostedWorld(worldOptions{nodes: 5, readers: 6, decoders: 6, seed: 9})
	w.run(3 * time.Second)
	w.load("draft", 8, 40*time.Second)
	w.run(45 * time.Second)
	readers := 0
	for _, id := range w.ids {
		if w.ups[id].Role == core.Prefill {
			readers++
		}
	}
	is.True(readers >= 2 && readers <= 4)
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

// A request that an engine denied a lease goes back to where it was in the
// queue: before those that came later.
func TestDeniedRequestKeepsItsPlace(t *testing.T) {
	is := is.New(t)
	h := newHosted("n1", core.Settings{})
	h.tell(core.Tick{}, worldState(), core.InstancesRead{Whole: true, Offset: 1, Changed: []core.Instance{
		{ID: "p1", Service: "model", Address: "p1:1", Slots: 4, Role: core.Prefill, Born: 1},
		{ID: "d1", Service: "model", Address: "d1:1", Slots: 4, Role: core.Decode, Born: 1},
	}})
	ask := func(id core.ForwardID, waited time.Duration) []core.Command {
		return h.tell(core.Peer{From: "n2", Incarnation: 1, Body: core.PlaceForward{
			ID: id, Group: core.DispatchGroup{Service: "model"}, Prompt: 3200, Expected: worldMemory - 100 - 3200, Waited: waited,
			OnTime: 600 * time.Millisecond, Patience: worldTimeout, Objective: worldObject,
		}})
	}
	is.Equal(sentTo[core.ForwardPlaced](ask(1, 0), "n2")[0].ID, core.ForwardID(1))
	h.pass(20 * time.Millisecond)
	ask(2, 0)
	h.tell(core.Peer{From: "n2", Incarnation: 1, Body: core.ForwardDenied{ID: 1, Engine: "d1"}})
	ask(1, 25*time.Millisecond)
	placed := sentTo[core.ForwardPlaced](h.pass(400*time.Millisecond), "n2")
	is.Equal(len(placed), 1)
	is.Equal(placed[0].ID, core.ForwardID(1))
}

// Load pattern: more streams than an engine has slots, with memory for all. Those
// beyond the slots wait with the owner, where the urgent ones go first, and are
// not sent to be denied again and again.
func TestSlotsBoundStreamsToo(t *testing.T) {
	is := is.New(t)
	h := newHosted("n1", core.Settings{})
	h.tell(core.Tick{}, worldState(), core.InstancesRead{Whole: true, Offset: 1, Changed: []core.Instance{
		{ID: "d1", Service: "model", Address: "d1:1", Slots: 2, Role: core.Decode, Born: 1},
	}})
	tell := func(body core.PeerBody) []core.Command {
		return h.tell(core.Peer{From: "n2", Incarnation: 1, Body: body})
	}
	placed := 0
	for id := range core.ForwardID(3) {
		placed += len(sentTo[core.ForwardPlaced](tell(core.PlaceForward{
			ID: id, Group: core.DispatchGroup{Service: "model"}, Prompt: 100, Expected: 100,
			OnTime: time.Second, Patience: worldTimeout, Objective: worldObject,
		}), "n2"))
	}
	is.Equal(placed, 2)
	out := tell(core.ForwardReleased{ID: 0, Outcome: core.RunSucceeded, Output: 100})
	is.Equal(sentTo[core.ForwardPlaced](out, "n2")[0].ID, core.ForwardID(2))
}

// Load pattern: all nodes have just started, and everybody comes at once, as
// after an outage. The owner knows no cost yet; the slots can take all.
func TestColdStartRefusesNobody(t *testing.T) {
	is := is.New(t)
	w := newHostedWorld(worldOptions{nodes: 4, plain: 3, slots: 6, seed: 5})
	w.run(time.Second)
	for range 60 {
		w.ask("pay", 0, w.now, true, 0)
	}
	w.run(5 * time.Second)
	is.Equal(w.refused, 0)
	is.Equal(w.served, 60)
}

// Load pattern: all nodes have just started and streams come at once, as after
// an outage. The owner does not know yet how fast engines read. Prompts wait
// with it and not at the engines, where they would hold memory meanwhile: one
// waits there for no more than 150 ms before it is read.
func TestColdOwnerReadsNoFurtherAhead(t *testing.T) {
	is := is.New(t)
	w := newHostedWorld(worldOptions{nodes: 4, readers: 2, decoders: 8, seed: 5})
	w.run(time.Second)
	w.load("draft", 60, 500*time.Millisecond)
	w.run(10 * time.Second)
	is.True(w.longestRead <= 150*time.Millisecond+promptTime)
}

// Load pattern: orders get no answer and are carried out many seconds later. An
// engine that was ordered to decode still reads prompts meanwhile; requests that
// are run there are refused, and their prompts were read in vain.
func TestEnginesWithOpenOrdersGetNothing(t *testing.T) {
	is := is.New(t)
	w := newHostedWorld(worldOptions{nodes: 5, readers: 6, decoders: 6, seed: 9})
	w.lateOrders = 12 * time.Second
	w.run(3 * time.Second)
	w.load("draft", 12, 20*time.Second)
	w.run(30 * time.Second)
	is.True(len(w.orders) > 0)
	is.Equal(w.inVain, 0)
}
