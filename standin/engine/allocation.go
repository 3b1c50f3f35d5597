package engine

import (
	"slices"

	"daisyshed.dev/core"
	wire "daisyshed.dev/wire/engine"
)

// phase is the step that a holding is in.
type phase int

const (
	queued phase = iota
	computing
	prefilled
	importing
	ready
	decoding
	// stopped streams have been exported and emit nothing more here.
	stopped
	finished
)

// holding is one request's place on an engine, with its memory.
type holding struct {
	tag      wire.Allocation
	phase    phase
	priority int
	pieces   int
	// reserved is the number of tokens that memory is held for.
	reserved core.Tokens
	prompt   core.Tokens
	blocks   []core.BlockHash
	text     string
	output   core.Tokens
	length   core.Tokens
	emitted  core.Tokens
	// uncached is the work of the prefill here, computed the prefill work that
	// no decoding has used yet.
	uncached core.Tokens
	computed core.Tokens
	started  core.Instant
	done     core.Instant
	exported bool
	// waiting is the prefill or import to answer, reader the decode operation
	// that gets tokens, which has been sent those up to sent.
	waiting Ticket
	reader  Ticket
	sent    core.Tokens
}

// cacheTokens is the size of the KV cache.
func (h *holding) cacheTokens() core.Tokens { return h.prompt + h.emitted }

// holdings keeps at most one holding for a request, in order of arrival.
type holdings struct {
	byRequest map[core.RequestID]*holding
	order     []*holding
}

func (t *holdings) get(r core.RequestID) *holding { return t.byRequest[r] }

func (t *holdings) holds(h *holding) bool { return t.byRequest[h.tag.Request] == h }

func (t *holdings) add(h *holding) {
	if t.byRequest == nil {
		t.byRequest = map[core.RequestID]*holding{}
	}
	t.byRequest[h.tag.Request] = h
	t.order = append(t.order, h)
}

func (t *holdings) remove(h *holding) {
	delete(t.byRequest, h.tag.Request)
	t.order = slices.DeleteFunc(t.order, func(x *holding) bool { return x == h })
}

// reserve takes the memory for tokens, or none if it is not free.
func (e *Engine) reserve(h *holding, tokens core.Tokens) bool {
	more := tokens.Pieces() - h.pieces
	if more > e.FreePieces() {
		return false
	}
	if more > 0 {
		h.pieces += more
		e.used += more
	}
	h.reserved = max(h.reserved, tokens)
	return true
}

// FreePieces returns the memory that is free now, in pieces.
func (e *Engine) FreePieces() int { return e.Pieces - e.used }

// supersede makes room for a step of tag, which starts afresh. It returns
// false, and refuses the ticket, if another holder's attempt goes first.
func (e *Engine) supersede(ticket Ticket, tag wire.Allocation) bool {
	h := e.held.get(tag.Request)
	if h == nil {
		return true
	}
	if tag.Attempt <= h.tag.Attempt {
		e.refuse(ticket, wire.CodeSuperseded)
		return false
	}
	e.drop(h, wire.CodeSuperseded)
	return true
}

// drop frees a holding and ends its operations with code.
func (e *Engine) drop(h *holding, code string) {
	if h.phase == computing {
		e.abandonPrefill(h)
	}
	for _, f := range e.link.of(h) {
		e.removeFlow(f)
		if f.outgoing {
			e.refuse(f.ticket, code)
		} else {
			e.emit(CancelFetch{f.ticket})
		}
	}
	if h.waiting != 0 {
		e.refuse(h.waiting, code)
	}
	if h.reader != 0 {
		e.refuse(h.reader, code)
	}
	e.used -= h.pieces
	h.pieces = 0
	e.held.remove(h)
}

func (e *Engine) release(m Release) {
	if h := e.held.get(m.Allocation.Request); h != nil && h.tag == m.Allocation {
		e.drop(h, wire.CodeGone)
	}
	e.answer(m.Ticket, Released{m.Ticket})
}
