package core_test

import (
	"fmt"
	"testing"
	"time"

	"daisyshed.dev/core"
	"pgregory.net/rapid"
)

// ordersMachine is a state machine test in which several nodes send orders to two
// engines under random faults. The fake engines check for each order that no two
// holders have one in flight to the engine that ignores fencing.
type ordersMachine struct {
	w *world
	e *fakeEngines
	// published holds the latest published pool of each engine, and revisions the
	// number of its publications.
	published map[core.EngineID]core.Pool
	revisions map[core.EngineID]core.Revision
}

func (m *ordersMachine) node(t *rapid.T) core.NodeID {
	return rapid.SampledFrom(m.w.ids).Draw(t, "node")
}

func (m *ordersMachine) engine(t *rapid.T) core.EngineID {
	return rapid.SampledFrom([]core.EngineID{"fenced", "ignoring"}).Draw(t, "engine")
}

func (m *ordersMachine) advance(t *rapid.T) {
	ms := rapid.SampledFrom([]int{1, 5, 30, 400, 3000, 12000}).Draw(t, "ms")
	m.w.advance(time.Duration(ms) * time.Millisecond)
}

func (m *ordersMachine) publish(t *rapid.T) {
	id := m.engine(t)
	role := rapid.SampledFrom([]core.Role{core.Prefill, core.Decode}).Draw(t, "role")
	model := core.ModelID(fmt.Sprintf("scribe-%d", rapid.IntRange(1, 4).Draw(t, "model")))
	m.revisions[id]++
	m.e.publish(id, m.revisions[id], role, model)
	m.published[id] = core.Pool{Role: role, Model: model}
}

func (m *ordersMachine) requestAdapter(t *rapid.T) {
	if id := m.node(t); m.w.hosts[id].up {
		m.e.requestAdapter(id, m.engine(t), fmt.Sprintf("adapter-%d", rapid.IntRange(1, 4).Draw(t, "adapter")))
	}
}

func (m *ordersMachine) setLogFaults(t *rapid.T) {
	m.w.log.fault = logFault{
		down:       rapid.IntRange(0, 5).Draw(t, "down") == 0,
		lostReply:  rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "lostReply"),
		lateAppend: rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "late"),
		slow:       rapid.SampledFrom([]time.Duration{0, 0, 2 * time.Second}).Draw(t, "slow"),
		cut:        map[core.NodeID]bool{m.node(t): rapid.Bool().Draw(t, "cut")},
	}
}

func (m *ordersMachine) setEngineFaults(t *rapid.T) {
	m.e.lost = rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "lost")
	m.e.slow = rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "slow")
	m.e.unreachableFrom = map[core.NodeID]bool{m.node(t): rapid.Bool().Draw(t, "unseen")}
}

// partition cuts the links between a node and either the first node or all nodes.
func (m *ordersMachine) partition(t *rapid.T) {
	id, all := m.node(t), rapid.Bool().Draw(t, "all")
	for _, other := range m.w.ids {
		if all || other == m.w.ids[0] {
			m.w.link(id, other).cut, m.w.link(other, id).cut = true, true
		}
	}
}

func (m *ordersMachine) stop(t *rapid.T) {
	id := m.node(t)
	switch rapid.IntRange(0, 4).Draw(t, "how") {
	case 0, 1:
		m.w.freeze(id, false)
	case 2:
		m.w.freeze(id, true)
	case 3:
		m.w.kill(id)
	case 4:
		m.w.restart(id)
	}
}

func (m *ordersMachine) resume(t *rapid.T) {
	if id := m.node(t); m.w.hosts[id].up {
		m.e.resume(id)
	} else {
		m.w.restart(id)
	}
}

func (m *ordersMachine) heal(*rapid.T) {
	for _, id := range m.w.ids {
		if m.w.hosts[id].up {
			m.e.resume(id)
		}
	}
	m.e.lost, m.e.slow, m.e.unreachableFrom = 0, 0, nil
	m.w.heal()
}

// check asserts that the fenced engine carried out no order with a lower fencing
// token than one before it.
func (m *ordersMachine) check(t *rapid.T) {
	ran := m.e.byID["fenced"].carriedOut
	for i := 1; i < len(ran); i++ {
		if ran[i].order.Fencing < ran[i-1].order.Fencing {
			t.Fatalf("engine carried out %+v after %+v, which has a higher fencing token", ran[i], ran[i-1])
		}
	}
}

// finish ends all faults and asserts that each engine reaches the state of its pool
// and keeps it. Two minutes cover the expiry of an abandoned order and the leases
// of the claims that were in progress.
func (m *ordersMachine) finish(t *rapid.T) {
	m.heal(t)
	m.w.advance(2 * time.Minute)
	for range 10 {
		for _, id := range []core.EngineID{"fenced", "ignoring"} {
			f, want := m.e.byID[id], m.published[id]
			if f.role != want.Role || f.model != want.Model {
				t.Fatalf("engine %s has role %v and model %s, but its pool specifies %v and %s", id, f.role, f.model, want.Role, want.Model)
			}
		}
		m.w.advance(3 * time.Second)
	}
}

func TestOrdersUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &ordersMachine{revisions: map[core.EngineID]core.Revision{}, published: map[core.EngineID]core.Pool{}}
		for _, id := range []core.EngineID{"fenced", "ignoring"} {
			m.published[id] = core.Pool{Role: core.Prefill, Model: "scribe-1"}
		}
		m.w, m.e = newOrdersWorld(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 4).Draw(t, "nodes"))
		t.Repeat(map[string]func(*rapid.T){
			"advance": m.advance, "advanceAgain": m.advance, "advanceMore": m.advance,
			"publish": m.publish, "publishAgain": m.publish, "adapter": m.requestAdapter, "adapterAgain": m.requestAdapter,
			"log": m.setLogFaults, "engines": m.setEngineFaults, "part": m.partition,
			"stop": m.stop, "resume": m.resume, "resumeAgain": m.resume, "heal": m.heal,
			"": m.check,
		})
		m.finish(t)
	})
}
