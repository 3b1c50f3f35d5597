package engine

import (
	"slices"

	"daisyshed.dev/core"
	wire "daisyshed.dev/wire/engine"
)

// startImport reserves memory and has the runtime fetch the KV cache. The
// import is done once the source's link and this engine's link have each had
// the time to transfer it.
func (e *Engine) startImport(m Import) {
	r := m.Request
	if e.answerDuplicateImport(m) || !e.admit(m.Ticket, core.Decode) || !e.supersede(m.Ticket, r.Allocation) {
		return
	}
	a := &allocation{tag: r.Allocation, phase: importing, pending: m.Ticket}
	if !e.reserve(a, r.Tokens) {
		e.reject(m.Ticket, wire.CodeFull)
		return
	}
	e.allocations.add(a)
	e.startFlow(&flow{allocation: a, ticket: m.Ticket})
	e.emit(FetchCache{m.Ticket, r.FromAddress, r.Allocation})
}

// answerDuplicateImport handles an import that the engine has already
// received. If the import has not finished, the new ticket takes the place of
// the old one. It returns false if m is not such a duplicate.
func (e *Engine) answerDuplicateImport(m Import) bool {
	a := e.allocations.get(m.Request.Allocation.Request)
	if a == nil || a.tag != m.Request.Allocation || a.phase < importing {
		return false
	}
	if a.phase == importing {
		e.lose(a.pending)
		a.pending = m.Ticket
		return true
	}
	e.answer(m.Ticket, Imported{m.Ticket})
	return true
}

func (e *Engine) fetched(m CacheFetched) {
	f := e.link.find(m.Ticket)
	if f == nil || f.outgoing {
		return
	}
	e.link.advance(e.now)
	f.cache = m.Cache
	f.size = core.Some(float64(m.Cache.Tokens) * e.TokenBytes)
	e.scheduleTransferDue()
}

func (e *Engine) fetchFailed(m CacheFetchFailed) {
	if f := e.link.find(m.Ticket); f != nil && !f.outgoing {
		e.drop(f.allocation, m.Code)
	}
}

// export starts to send a KV cache. A running stream stops emitting tokens
// here, so that only one engine continues it.
func (e *Engine) export(m Export) {
	a := e.allocations.get(m.Allocation.Request)
	if a == nil || a.phase < prefilled || a.phase == importing {
		e.reject(m.Ticket, wire.CodeNotFound)
		return
	}
	if m.Allocation.Attempt < a.tag.Attempt {
		e.reject(m.Ticket, wire.CodeSuperseded)
		return
	}
	a.exported = true
	if a.phase == decoding || a.phase == ready {
		a.phase = stopped
	}
	f := &flow{allocation: a, ticket: m.Ticket, outgoing: true, cache: a.cache()}
	f.size = core.Some(float64(f.cache.Tokens) * e.TokenBytes)
	e.schedule.add(e.now.Add(e.TransferLatency), transferStarted{f})
}

func (a *allocation) cache() Cache {
	return Cache{
		ExportResult: wire.ExportResult{
			Tokens:  a.cacheTokens(),
			Blocks:  a.blocks,
			Text:    a.text,
			Emitted: a.emitted,
		},
		Output:   a.output,
		Computed: a.computed,
	}
}

// startFlow adds a flow to the link. It rejects the flow's operation if the
// allocation has been dropped meanwhile.
func (e *Engine) startFlow(f *flow) {
	if !e.allocations.contains(f.allocation) {
		e.reject(f.ticket, wire.CodeNotFound)
		return
	}
	e.link.rate = e.LinkRate
	e.link.advance(e.now)
	e.link.flows = append(e.link.flows, f)
	e.scheduleTransferDue()
}

func (e *Engine) removeFlow(f *flow) {
	e.link.advance(e.now)
	e.link.flows = slices.DeleteFunc(e.link.flows, func(x *flow) bool { return x == f })
	e.scheduleTransferDue()
}

// scheduleTransferDue schedules the next check for finished transfers, after
// the flows or their rate have changed. Checks scheduled earlier become
// stale.
func (e *Engine) scheduleTransferDue() {
	e.link.generation++
	if at, ok := e.link.next(); ok {
		e.schedule.add(at, transferDue{e.link.generation})
	}
}

// finishTransfers ends the flows that are done, unless the event is stale.
func (e *Engine) finishTransfers(generation uint64) {
	if generation != e.link.generation {
		return
	}
	e.link.advance(e.now)
	var running, done []*flow
	for _, f := range e.link.flows {
		if f.done() {
			done = append(done, f)
		} else {
			running = append(running, f)
		}
	}
	e.link.flows = running
	e.scheduleTransferDue()
	for _, f := range done {
		e.flowDone(f)
	}
}

func (e *Engine) flowDone(f *flow) {
	size, _ := f.size.Get()
	if f.outgoing {
		e.Counters.SentBytes += size
		e.answer(f.ticket, Exported{f.ticket, f.cache})
		return
	}
	a := f.allocation
	a.phase = ready
	a.prompt = f.cache.Tokens - f.cache.Emitted
	a.blocks, a.text = f.cache.Blocks, f.cache.Text
	a.emitted, a.output, a.computed = f.cache.Emitted, f.cache.Output, f.cache.Computed
	ticket := a.pending
	a.pending = 0
	e.answer(ticket, Imported{ticket})
}

func (e *Engine) stall(on bool) {
	e.link.advance(e.now)
	e.link.stalled = on
	e.scheduleTransferDue()
}

// disconnect removes the reader of a stream or stops an export, as its client
// no longer waits.
func (e *Engine) disconnect(ticket Ticket) {
	for _, a := range e.allocations.order {
		if a.reader == ticket {
			a.reader = 0
		}
	}
	if f := e.link.find(ticket); f != nil && f.outgoing {
		e.removeFlow(f)
	}
}
