package core_test

import (
	"time"

	"daisyshed.dev/core"
)

// flight is one order on its way, or one that an engine carried out.
type flight struct {
	from  core.NodeID
	order core.Order
	until time.Duration
}

// fakeEngine carries out orders, and refuses old numbers if it is fenced.
type fakeEngine struct {
	fenced  bool
	fencing core.Offset
	role    core.Role
	model   core.ModelID
	flights []flight
	ran     []flight
	refused int
}

// fakeEngines are the engines of a world.
type fakeEngines struct {
	w    *world
	byID map[core.EngineID]*fakeEngine
	// lost is the chance that an order is carried out but not confirmed, and
	// slow that it is in flight for nearly as long as it may be.
	lost, slow float64
	// unseen holds the nodes that cannot poll engines.
	unseen map[core.NodeID]bool
	// late counts the orders that a process was frozen in sending. Nobody can
	// recall those.
	late  map[core.Order]int
	steps map[string]int
}

// newOrdersWorld is a world with one engine that refuses old numbers and one
// that ignores them, in pools of their own.
func newOrdersWorld(t failer, seed uint64, nodes int) (*world, *fakeEngines) {
	w := newWorld(t, seed, nodes)
	e := &fakeEngines{w: w, byID: map[core.EngineID]*fakeEngine{}, late: map[core.Order]int{}, steps: map[string]int{}}
	for _, id := range []core.EngineID{"fenced", "ignoring"} {
		e.byID[id] = &fakeEngine{fenced: id == "fenced", model: "scribe-1"}
		w.vms.Upstreams = append(w.vms.Upstreams, core.Upstream{ID: id, Pool: core.PoolID(id), Domain: "west-0", Region: "west"})
		e.publish(id, 0, core.Prefill, "scribe-1")
	}
	w.other = e.run
	w.startAll()
	w.advance(3 * time.Second)
	return w, e
}

// publish replaces the pool of an engine.
func (e *fakeEngines) publish(id core.EngineID, base core.Revision, role core.Role, model core.ModelID) {
	pool := core.Pool{ID: core.PoolID(id), Role: role, Model: model, Fenced: e.byID[id].fenced}
	e.w.log.put(core.ConfigStream, core.PoolPublished{
		Publication: core.PublicationID(string(id) + time.Duration(base).String()), Base: base, Pool: pool,
	})
}

func (e *fakeEngines) run(id core.NodeID, c core.Command) {
	h := e.w.hosts[id]
	switch c := c.(type) {
	case core.PollEngine:
		if f := e.byID[c.Engine]; !e.unseen[id] {
			e.w.reply(h, time.Millisecond, core.EngineReport{Engine: c.Engine, Role: f.role, Model: f.model, Fencing: f.fencing, Pieces: 8, FreePieces: 8})
		}
	case core.SendOrder:
		e.order(h, c.Order)
	case core.LogDecision:
		e.steps[c.Decision.Step+"/"+c.Decision.Reason.String()]++
	}
}

func (e *fakeEngines) order(h *host, o core.Order) {
	w, f := e.w, e.byID[o.Engine]
	delay := time.Millisecond + w.upTo(20*time.Millisecond)
	if w.chance(e.slow) {
		delay = 4900 * time.Millisecond
	}
	fl := flight{from: h.info.ID, order: o, until: w.now + delay}
	if e.late[o] > 0 {
		e.late[o]--
	} else {
		e.checkAlone(f, fl)
		f.flights = append(f.flights, fl)
	}
	incarnation := h.incarnation
	w.at(fl.until, func() {
		result := e.land(f, fl)
		if h.incarnation == incarnation {
			w.reply(h, time.Millisecond, result)
		}
	})
}

// checkAlone asserts that no other holder's order is in flight to an engine
// that ignores fencing.
func (e *fakeEngines) checkAlone(f *fakeEngine, fl flight) {
	for _, other := range f.flights {
		if !f.fenced && other.from != fl.from && other.until >= e.w.now {
			e.w.t.Fatalf("at %v %+v is sent while %+v is in flight", e.w.now, fl, other)
		}
	}
}

func (e *fakeEngines) land(f *fakeEngine, fl flight) core.Message {
	if f.fenced && fl.order.Fencing < f.fencing {
		f.refused++
		return core.OrderFailed{Order: fl.order, Refused: true}
	}
	f.fencing = max(f.fencing, fl.order.Fencing)
	f.ran = append(f.ran, fl)
	switch fl.order.Kind {
	case core.SetRole:
		f.role = fl.order.Role
	case core.LoadModel:
		f.model = fl.order.Model
	case core.LoadAdapter:
	}
	if e.w.chance(e.lost) {
		return core.OrderFailed{Order: fl.order, Reason: "timeout"}
	}
	return core.OrderDone{Order: fl.order}
}

// adapter has a node want an adapter on an engine.
func (e *fakeEngines) adapter(id core.NodeID, engine core.EngineID, name string) {
	e.w.send(id, core.OrderWanted{Order: core.Order{Engine: engine, Kind: core.LoadAdapter, Adapter: name}})
}

// thaw lets a process go on, and notes the orders that it was frozen in
// sending.
func (e *fakeEngines) thaw(id core.NodeID) {
	for _, c := range e.w.hosts[id].held {
		if o, ok := c.(core.SendOrder); ok {
			e.late[o.Order]++
		}
	}
	e.w.thaw(id)
}

// freezeAtOrder runs until some node is about to send an order, and freezes it
// there.
func (e *fakeEngines) freezeAtOrder() core.NodeID {
	for range 100_000 {
		for _, id := range e.w.ids {
			h := e.w.hosts[id]
			for _, c := range h.held {
				if _, ok := c.(core.SendOrder); ok {
					return id
				}
			}
			if h.frozen {
				e.w.thaw(id)
			}
			e.w.freeze(id, true)
		}
		e.w.advance(time.Millisecond)
	}
	e.w.t.Fatalf("no node sends an order")
	return ""
}
