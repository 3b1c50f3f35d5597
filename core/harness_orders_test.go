package core_test

import (
	"time"

	"daisyshed.dev/core"
)

// sentOrder is an order in flight, or one that an engine carried out.
type sentOrder struct {
	from      core.NodeID
	order     core.Order
	arrivesAt time.Duration
}

// fakeEngine carries out orders. If it is fenced, it rejects those with an old
// fencing token.
type fakeEngine struct {
	fenced     bool
	fencing    core.Offset
	role       core.Role
	model      core.ModelID
	received   []sentOrder
	carriedOut []sentOrder
	rejected   int
}

// fakeEngines are the engines of a simulated world.
type fakeEngines struct {
	w    *world
	byID map[core.EngineID]*fakeEngine
	// lost is the probability that an order is carried out but not confirmed, and
	// slow the probability that it is in flight for almost as long as OrderFlight
	// allows.
	lost, slow float64
	// unreachableFrom holds the nodes that cannot poll engines.
	unreachableFrom map[core.NodeID]bool
	// late counts the orders that a node was about to send when it was frozen.
	// They cannot be recalled.
	late  map[core.Order]int
	steps map[string]int
}

// newOrdersWorld returns a world with one engine that rejects old fencing tokens
// and one that ignores them, each in its own pool.
func newOrdersWorld(t failer, seed uint64, nodes int) (*world, *fakeEngines) {
	w := newWorld(t, seed, nodes)
	e := &fakeEngines{w: w, byID: map[core.EngineID]*fakeEngine{}, late: map[core.Order]int{}, steps: map[string]int{}}
	for _, id := range []core.EngineID{"fenced", "ignoring"} {
		e.byID[id] = &fakeEngine{fenced: id == "fenced", model: "scribe-1"}
		w.vms.Upstreams = append(w.vms.Upstreams, core.Upstream{ID: id, Pool: core.PoolID(id), Domain: "west-0", Region: "west"})
		e.publish(id, 0, core.Prefill, "scribe-1")
	}
	w.handleCommand = e.handle
	w.startAll()
	w.advance(3 * time.Second)
	return w, e
}

// publish replaces the published pool of an engine.
func (e *fakeEngines) publish(id core.EngineID, base core.Revision, role core.Role, model core.ModelID) {
	pool := core.Pool{ID: core.PoolID(id), Role: role, Model: model, Fenced: e.byID[id].fenced}
	e.w.log.put(core.ConfigStream, core.PoolPublished{
		Publication: core.PublicationID(string(id) + time.Duration(base).String()), Base: base, Pool: pool,
	})
}

func (e *fakeEngines) handle(id core.NodeID, c core.Command) {
	h := e.w.hosts[id]
	switch c := c.(type) {
	case core.PollEngine:
		if f := e.byID[c.Engine]; !e.unreachableFrom[id] {
			e.w.reply(h, time.Millisecond, core.EngineReport{Engine: c.Engine, Role: f.role, Model: f.model, Fencing: f.fencing, Pieces: 8, FreePieces: 8})
		}
	case core.SendOrder:
		e.receive(h, c.Order)
	case core.LogDecision:
		e.steps[c.Decision.Step+"/"+c.Decision.Reason.String()]++
	}
}

func (e *fakeEngines) receive(h *host, o core.Order) {
	w, f := e.w, e.byID[o.Engine]
	delay := time.Millisecond + w.upTo(20*time.Millisecond)
	if w.chance(e.slow) {
		delay = 4900 * time.Millisecond
	}
	sent := sentOrder{from: h.info.ID, order: o, arrivesAt: w.now + delay}
	if e.late[o] > 0 {
		e.late[o]--
	} else {
		e.checkExclusive(f, sent)
		f.received = append(f.received, sent)
	}
	incarnation := h.incarnation
	w.at(sent.arrivesAt, func() {
		result := e.deliver(f, sent)
		if h.incarnation == incarnation {
			w.reply(h, time.Millisecond, result)
		}
	})
}

// checkExclusive asserts that no other holder's order is in flight to an engine
// that ignores fencing tokens.
func (e *fakeEngines) checkExclusive(f *fakeEngine, sent sentOrder) {
	for _, other := range f.received {
		if !f.fenced && other.from != sent.from && other.arrivesAt >= e.w.now {
			e.w.t.Fatalf("at %v %+v is sent while %+v is in flight", e.w.now, sent, other)
		}
	}
}

func (e *fakeEngines) deliver(f *fakeEngine, sent sentOrder) core.Message {
	if f.fenced && sent.order.Fencing < f.fencing {
		f.rejected++
		return core.OrderFailed{Order: sent.order, StaleFencing: true}
	}
	f.fencing = max(f.fencing, sent.order.Fencing)
	f.carriedOut = append(f.carriedOut, sent)
	switch sent.order.Kind {
	case core.SetRole:
		f.role = sent.order.Role
	case core.LoadModel:
		f.model = sent.order.Model
	case core.LoadAdapter:
	}
	if e.w.chance(e.lost) {
		return core.OrderFailed{Order: sent.order, Reason: "timeout"}
	}
	return core.OrderDone{Order: sent.order}
}

// requestAdapter asks a node to load an adapter on an engine.
func (e *fakeEngines) requestAdapter(id core.NodeID, engine core.EngineID, name string) {
	e.w.send(id, core.OrderRequested{Order: core.Order{Engine: engine, Kind: core.LoadAdapter, Adapter: name}})
}

// resume continues a node's process and records the orders that it was about to send
// when it was frozen.
func (e *fakeEngines) resume(id core.NodeID) {
	for _, c := range e.w.hosts[id].heldCommands {
		if o, ok := c.(core.SendOrder); ok {
			e.late[o.Order]++
		}
	}
	e.w.resume(id)
}

// freezeAtOrder runs until some node is about to send an order, freezes that node
// and returns it.
func (e *fakeEngines) freezeAtOrder() core.NodeID {
	for range 100_000 {
		for _, id := range e.w.ids {
			h := e.w.hosts[id]
			for _, c := range h.heldCommands {
				if _, ok := c.(core.SendOrder); ok {
					return id
				}
			}
			if h.frozen {
				e.w.resume(id)
			}
			e.w.freeze(id, true)
		}
		e.w.advance(time.Millisecond)
	}
	e.w.t.Fatalf("no node tried to send an order within 100 s of simulated time")
	return ""
}
