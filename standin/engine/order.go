package engine

import (
	"slices"

	"daisyshed.dev/core"
	wire "daisyshed.dev/wire/engine"
)

// order checks an order's fencing number and carries it out, after loading
// where something is to be loaded.
func (e *Engine) order(m Order) {
	if !e.passesFence(m) {
		e.refuse(m.Ticket, wire.CodeOldFencing)
		return
	}
	e.fencing = max(e.fencing, m.Request.Fencing)
	switch m.Request.Kind {
	case core.SetRole.String():
		e.carryOut(m)
	case core.LoadModel.String():
		e.load(m)
	case core.LoadAdapter.String():
		e.schedule.add(e.now.Add(e.LoadFor), loaded{m})
	default:
		e.refuse(m.Ticket, wire.CodeBadRequest)
	}
}

func (e *Engine) passesFence(m Order) bool {
	return !e.Fenced || e.ignoreFencing || m.Request.Fencing >= e.fencing
}

func (e *Engine) load(m Order) {
	if !e.WeightStore {
		e.schedule.add(e.now.Add(e.LoadFor), loaded{m})
		return
	}
	if e.loading == nil {
		e.loading = map[Ticket]Order{}
	}
	e.loading[m.Ticket] = m
	e.emit(FetchWeights{m.Ticket, m.Request.Model})
}

func (e *Engine) weightsFetched(m WeightsFetched) {
	order, ok := e.loading[m.Ticket]
	if !ok {
		return
	}
	delete(e.loading, m.Ticket)
	if m.Failed {
		e.emit(Lost{m.Ticket})
		return
	}
	e.schedule.add(e.now.Add(e.LoadFor), loaded{order})
}

// carryOut makes an order's change, unless a later order came while it was
// loading.
func (e *Engine) carryOut(m Order) {
	if !e.passesFence(m) {
		e.refuse(m.Ticket, wire.CodeOldFencing)
		return
	}
	r := m.Request
	switch r.Kind {
	case core.SetRole.String():
		role, ok := ParseRole(r.Role)
		if !ok {
			e.refuse(m.Ticket, wire.CodeBadRequest)
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

// ParseRole returns the model engine's role with a name.
func ParseRole(name string) (core.Role, bool) {
	for _, role := range []core.Role{core.Prefill, core.Decode} {
		if role.String() == name {
			return role, true
		}
	}
	return 0, false
}
