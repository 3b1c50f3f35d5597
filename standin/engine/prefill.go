package engine

import (
	"time"

	"daisyshed.dev/core"
	wire "daisyshed.dev/wire/engine"
)

// admits refuses a ticket for new work that the engine does not take.
func (e *Engine) admits(ticket Ticket, role core.Role) bool {
	if e.draining {
		e.refuse(ticket, wire.CodeDraining)
		return false
	}
	if e.Role != role {
		e.refuse(ticket, wire.CodeWrongModel)
		return false
	}
	return true
}

func (e *Engine) prefill(m Prefill) {
	r := m.Request
	if e.repeatPrefill(m) || !e.admits(m.Ticket, core.Prefill) {
		return
	}
	if r.Model != e.Model {
		e.refuse(m.Ticket, wire.CodeWrongModel)
		return
	}
	if (r.Tokens + r.Emitted).Pieces() > e.Pieces {
		e.refuse(m.Ticket, wire.CodeFull)
		return
	}
	if !e.supersede(m.Ticket, r.Allocation) {
		return
	}
	e.held.add(&holding{
		tag:      r.Allocation,
		phase:    queued,
		priority: r.Priority,
		prompt:   r.Tokens,
		emitted:  r.Emitted,
		blocks:   r.Blocks,
		text:     r.Text,
		output:   m.Output,
		uncached: max(1, r.Tokens+r.Emitted-e.prefixes.cached(r.Blocks)),
		waiting:  m.Ticket,
	})
}

// repeatPrefill answers a prefill that was sent twice.
func (e *Engine) repeatPrefill(m Prefill) bool {
	h := e.held.get(m.Request.Allocation.Request)
	if h == nil || h.tag != m.Request.Allocation {
		return false
	}
	switch h.phase {
	case queued, computing:
		e.lose(h.waiting)
		h.waiting = m.Ticket
		return true
	case prefilled:
		e.answer(m.Ticket, Prefilled{m.Ticket, wire.PrefillResult{Cached: h.cacheTokens() - h.uncached}})
		return true
	default:
		return false
	}
}

// startPrefill computes the first of the queue, if its memory is free.
func (e *Engine) startPrefill() {
	if e.current != nil {
		return
	}
	h := e.nextPrefill()
	if h == nil || !e.reserve(h, h.cacheTokens()) {
		return
	}
	h.phase = computing
	h.uncached = max(1, h.cacheTokens()-e.prefixes.cached(h.blocks))
	h.started = e.now
	h.done = e.now.Add(e.PrefillOverhead + seconds(float64(h.uncached)/e.PrefillRate))
	e.current = h
	e.schedule.add(h.done, computed{h})
}

// nextPrefill returns the oldest queued prefill of the highest priority.
func (e *Engine) nextPrefill() *holding {
	var next *holding
	for _, h := range e.held.order {
		if h.phase == queued && (next == nil || h.priority > next.priority) {
			next = h
		}
	}
	return next
}

func (e *Engine) prefillDone(h *holding) {
	if e.current != h {
		return
	}
	e.current = nil
	h.phase = prefilled
	h.computed = h.uncached
	e.Counters.Prefilled += h.uncached
	e.Counters.Prefills++
	e.prefixes.store(e, h.blocks)
	e.schedule.add(e.now.Add(e.HoldFor), evicted{h})
	ticket := h.waiting
	h.waiting = 0
	if ticket != 0 {
		e.answer(ticket, Prefilled{ticket, wire.PrefillResult{Cached: h.cacheTokens() - h.uncached}})
	}
}

// abandonPrefill counts the work of a prefill that is cancelled under way.
func (e *Engine) abandonPrefill(h *holding) {
	e.current = nil
	total := h.done.Sub(h.started)
	if total > 0 {
		e.Counters.Prefilled += core.Tokens(float64(h.uncached) * float64(e.now.Sub(h.started)) / float64(total))
	}
}

func (e *Engine) postponePrefill(d time.Duration) {
	if e.current != nil {
		e.current.started = e.current.started.Add(d)
		e.current.done = e.current.done.Add(d)
	}
}

func (e *Engine) evict(h *holding) {
	if h.phase != prefilled || h.exported || !e.held.holds(h) {
		return
	}
	e.Counters.Evicted++
	e.drop(h, wire.CodeGone)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
