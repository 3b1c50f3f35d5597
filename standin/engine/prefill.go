package engine

import (
	"time"

	"daisyshed.dev/core"
	wire "daisyshed.dev/wire/engine"
)

// admit reports whether the engine accepts a new operation that needs the given
// role. If not, it rejects the operation.
func (e *Engine) admit(ticket Ticket, role core.Role) bool {
	if e.draining {
		e.reject(ticket, wire.CodeDraining)
		return false
	}
	if e.Role != role {
		e.reject(ticket, wire.CodeWrongModel)
		return false
	}
	return true
}

func (e *Engine) prefill(m Prefill) {
	r := m.Request
	if e.answerDuplicatePrefill(m) || !e.admit(m.Ticket, core.Prefill) {
		return
	}
	if r.Model != e.Model {
		e.reject(m.Ticket, wire.CodeWrongModel)
		return
	}
	if (r.Tokens + r.Emitted).Pieces() > e.Pieces {
		e.reject(m.Ticket, wire.CodeFull)
		return
	}
	if !e.supersede(m.Ticket, r.Allocation) {
		return
	}
	e.allocations.add(&allocation{
		tag:      r.Allocation,
		phase:    queued,
		priority: r.Priority,
		prompt:   r.Tokens,
		emitted:  r.Emitted,
		blocks:   r.Blocks,
		text:     r.Text,
		output:   m.Output,
		uncached: max(1, r.Tokens+r.Emitted-e.prefixes.cachedTokens(r.Blocks)),
		pending:  m.Ticket,
	})
}

// answerDuplicatePrefill handles a prefill that the engine has already
// received. If the prefill has not finished, the new ticket takes the place
// of the old one. It returns false if m is not such a duplicate.
func (e *Engine) answerDuplicatePrefill(m Prefill) bool {
	a := e.allocations.get(m.Request.Allocation.Request)
	if a == nil || a.tag != m.Request.Allocation {
		return false
	}
	switch a.phase {
	case queued, computing:
		e.lose(a.pending)
		a.pending = m.Ticket
		return true
	case prefilled:
		e.answer(m.Ticket, Prefilled{m.Ticket, wire.PrefillResult{Cached: a.cacheTokens() - a.uncached}})
		return true
	default:
		return false
	}
}

// startPrefill starts the first prefill of the queue, unless one is running
// or too little memory is free.
func (e *Engine) startPrefill() {
	if e.activePrefill != nil {
		return
	}
	a := e.nextPrefill()
	if a == nil || !e.reserve(a, a.cacheTokens()) {
		return
	}
	a.phase = computing
	a.uncached = max(1, a.cacheTokens()-e.prefixes.cachedTokens(a.blocks))
	a.started = e.now
	a.done = e.now.Add(e.PrefillOverhead + seconds(float64(a.uncached)/e.PrefillRate))
	e.activePrefill = a
	e.schedule.add(a.done, prefillFinished{a})
}

// nextPrefill returns the oldest queued prefill of the highest priority.
func (e *Engine) nextPrefill() *allocation {
	var next *allocation
	for _, a := range e.allocations.order {
		if a.phase == queued && (next == nil || a.priority > next.priority) {
			next = a
		}
	}
	return next
}

func (e *Engine) prefillDone(a *allocation) {
	if e.activePrefill != a {
		return
	}
	e.activePrefill = nil
	a.phase = prefilled
	a.computed = a.uncached
	e.Counters.Prefilled += a.uncached
	e.Counters.Prefills++
	e.prefixes.store(e, a.blocks)
	e.schedule.add(e.now.Add(e.HoldFor), resultExpired{a})
	ticket := a.pending
	a.pending = 0
	if ticket != 0 {
		e.answer(ticket, Prefilled{ticket, wire.PrefillResult{Cached: a.cacheTokens() - a.uncached}})
	}
}

// abandonPrefill cancels the running prefill and counts the tokens that it
// has computed.
func (e *Engine) abandonPrefill(a *allocation) {
	e.activePrefill = nil
	total := a.done.Sub(a.started)
	if total > 0 {
		e.Counters.Prefilled += core.Tokens(float64(a.uncached) * float64(e.now.Sub(a.started)) / float64(total))
	}
}

func (e *Engine) postponePrefill(d time.Duration) {
	if e.activePrefill != nil {
		e.activePrefill.started = e.activePrefill.started.Add(d)
		e.activePrefill.done = e.activePrefill.done.Add(d)
	}
}

// evict drops the result of a prefill if no export of it has begun.
func (e *Engine) evict(a *allocation) {
	if a.phase != prefilled || a.exported || !e.allocations.contains(a) {
		return
	}
	e.Counters.Evicted++
	e.drop(a, wire.CodeNotFound)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
