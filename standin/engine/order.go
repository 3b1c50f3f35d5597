package engine

import (
	"slices"

	"daisyshed.dev/core"
	wire "daisyshed.dev/wire/engine"
)

// handleOrder checks an order's fencing token and then applies the order:
// SetRole at once, the others when the model or adapter has been loaded.
func (e *Engine) handleOrder(m Order) {
	if !e.hasCurrentFencing(m) {
		e.reject(m.Ticket, wire.CodeStaleFencing)
		return
	}
	e.highestFencing = max(e.highestFencing, m.Request.Fencing)
	switch m.Request.Kind {
	case core.SetRole.String():
		e.applyOrder(m)
	case core.LoadModel.String():
		e.loadModel(m)
	case core.LoadAdapter.String():
		e.schedule.add(e.now.Add(e.LoadFor), loadFinished{m})
	default:
		e.reject(m.Ticket, wire.CodeBadRequest)
	}
}

// hasCurrentFencing reports whether the engine accepts an order's fencing
// token.
func (e *Engine) hasCurrentFencing(m Order) bool {
	return !e.Fenced || e.ignoreFencing || m.Request.Fencing >= e.highestFencing
}

// loadModel schedules the end of a model's loading, or requests the weights
// first if there is a weight store.
func (e *Engine) loadModel(m Order) {
	if !e.WeightStore {
		e.schedule.add(e.now.Add(e.LoadFor), loadFinished{m})
		return
	}
	if e.awaitingWeights == nil {
		e.awaitingWeights = map[Ticket]Order{}
	}
	e.awaitingWeights[m.Ticket] = m
	e.emit(FetchWeights{m.Ticket, m.Request.Model})
}

func (e *Engine) weightsFetched(m WeightsFetched) {
	order, ok := e.awaitingWeights[m.Ticket]
	if !ok {
		return
	}
	delete(e.awaitingWeights, m.Ticket)
	if m.Failed {
		e.emit(ConnectionLost{m.Ticket})
		return
	}
	e.schedule.add(e.now.Add(e.LoadFor), loadFinished{order})
}

// applyOrder applies an order, unless a newer order was accepted while its
// model or adapter was loading.
func (e *Engine) applyOrder(m Order) {
	if !e.hasCurrentFencing(m) {
		e.reject(m.Ticket, wire.CodeStaleFencing)
		return
	}
	r := m.Request
	switch r.Kind {
	case core.SetRole.String():
		role, ok := ParseRole(r.Role)
		if !ok {
			e.reject(m.Ticket, wire.CodeBadRequest)
			return
		}
		e.Role = role
	case core.LoadModel.String():
		e.Model = r.Model
		e.adapters = nil
	case core.LoadAdapter.String():
		if !slices.Contains(e.adapters, r.Adapter) {
			e.adapters = append(e.adapters, r.Adapter)
		}
	}
	e.answer(m.Ticket, Ordered{m.Ticket})
}

// ParseRole returns the model engine's role with the given name, or false if
// there is none.
func ParseRole(name string) (core.Role, bool) {
	for _, role := range []core.Role{core.Prefill, core.Decode} {
		if role.String() == name {
			return role, true
		}
	}
	return 0, false
}
