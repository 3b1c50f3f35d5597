package engine

import (
	"slices"

	"daisyshed.dev/core"
	wire "daisyshed.dev/wire/engine"
)

// startImport reserves memory and asks the runtime to fetch the KV cache. The
// import is done once both the source's link and this engine's have had the
// time to move it.
func (e *Engine) startImport(m Import) {
	r := m.Request
	if e.repeatImport(m) || !e.admits(m.Ticket, core.Decode) || !e.supersede(m.Ticket, r.Allocation) {
		return
	}
	h := &holding{tag: r.Allocation, phase: importing, waiting: m.Ticket}
	if !e.reserve(h, r.Tokens) {
		e.refuse(m.Ticket, wire.CodeFull)
		return
	}
	e.held.add(h)
	e.startFlow(&flow{holding: h, ticket: m.Ticket})
	e.emit(Fetch{m.Ticket, r.FromAddress, r.Allocation})
}

// repeatImport answers an import that was sent twice.
func (e *Engine) repeatImport(m Import) bool {
	h := e.held.get(m.Request.Allocation.Request)
	if h == nil || h.tag != m.Request.Allocation || h.phase < importing {
		return false
	}
	if h.phase == importing {
		e.lose(h.waiting)
		h.waiting = m.Ticket
		return true
	}
	e.answer(m.Ticket, Imported{m.Ticket})
	return true
}

func (e *Engine) fetched(m Fetched) {
	f := e.link.find(m.Ticket)
	if f == nil || f.outgoing {
		return
	}
	e.link.advance(e.now)
	f.cache = m.Cache
	f.size = core.Some(float64(m.Cache.Tokens) * e.TokenBytes)
	e.linkChanged()
}

func (e *Engine) fetchFailed(m FetchFailed) {
	if f := e.link.find(m.Ticket); f != nil && !f.outgoing {
		e.drop(f.holding, m.Code)
	}
}

// export sends a KV cache. A running stream stops emitting here, so that it
// goes on in one place only.
func (e *Engine) export(m Export) {
	h := e.held.get(m.Allocation.Request)
	if h == nil || h.phase < prefilled || h.phase == importing {
		e.refuse(m.Ticket, wire.CodeGone)
		return
	}
	if m.Allocation.Attempt < h.tag.Attempt {
		e.refuse(m.Ticket, wire.CodeSuperseded)
		return
	}
	h.exported = true
	if h.phase == decoding || h.phase == ready {
		h.phase = stopped
	}
	f := &flow{holding: h, ticket: m.Ticket, outgoing: true, cache: h.cache()}
	f.size = core.Some(float64(f.cache.Tokens) * e.TokenBytes)
	e.schedule.add(e.now.Add(e.TransferLatency), transferStarted{f})
}

func (h *holding) cache() Cache {
	return Cache{
		ExportResult: wire.ExportResult{
			Tokens:  h.cacheTokens(),
			Blocks:  h.blocks,
			Text:    h.text,
			Emitted: h.emitted,
		},
		Output:   h.output,
		Computed: h.computed,
	}
}

func (e *Engine) startFlow(f *flow) {
	if !e.held.holds(f.holding) {
		e.refuse(f.ticket, wire.CodeGone)
		return
	}
	e.link.rate = e.LinkRate
	e.link.advance(e.now)
	e.link.flows = append(e.link.flows, f)
	e.linkChanged()
}

func (e *Engine) removeFlow(f *flow) {
	e.link.advance(e.now)
	e.link.flows = slices.DeleteFunc(e.link.flows, func(x *flow) bool { return x == f })
	e.linkChanged()
}

// linkChanged plans the next look at the link after its shares changed.
func (e *Engine) linkChanged() {
	e.link.generation++
	if at, ok := e.link.next(); ok {
		e.schedule.add(at, linkDue{e.link.generation})
	}
}

// checkLink ends the flows that are done.
func (e *Engine) checkLink(generation uint64) {
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
	e.linkChanged()
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
	h := f.holding
	h.phase = ready
	h.prompt = f.cache.Tokens - f.cache.Emitted
	h.blocks, h.text = f.cache.Blocks, f.cache.Text
	h.emitted, h.output, h.computed = f.cache.Emitted, f.cache.Output, f.cache.Computed
	ticket := h.waiting
	h.waiting = 0
	e.answer(ticket, Imported{ticket})
}

func (e *Engine) stall(on bool) {
	e.link.advance(e.now)
	e.link.stalled = on
	e.linkChanged()
}

// disconnect forgets an operation's client.
func (e *Engine) disconnect(ticket Ticket) {
	for _, h := range e.held.order {
		if h.reader == ticket {
			h.reader = 0
		}
	}
	if f := e.link.find(ticket); f != nil && f.outgoing {
		e.removeFlow(f)
	}
}
