package engine

import (
	"slices"

	"daisyshed.dev/core"
	wire "daisyshed.dev/wire/engine"
)

// phase is the stage that a request has reached on an engine.
type phase int

const (
	queued phase = iota
	computing
	prefilled
	importing
	ready
	decoding
	// stopped streams have been exported and emit no more tokens here.
	stopped
	finished
)

// allocation is the memory that an engine holds for one request, with the
// state of the request's prefill, import and stream.
type allocation struct {
	// tag identifies the allocation on the wire.
	tag      wire.Allocation
	phase    phase
	priority int
	pieces   int
	// reserved is the number of tokens that memory is reserved for.
	reserved core.Tokens
	prompt   core.Tokens
	blocks   []core.BlockHash
	text     string
	// output is the length of the answer as given with the prefill, or zero.
	// length is the actual length, set by the first decode.
	output  core.Tokens
	length  core.Tokens
	emitted core.Tokens
	// uncached counts the tokens that the prefill on this engine computes.
	// computed counts the prefilled tokens that no stream has used yet.
	uncached core.Tokens
	computed core.Tokens
	// started is when the prefill began, done when it is due to finish.
	started  core.Instant
	done     core.Instant
	exported bool
	// pending is the ticket of the prefill or import that has not been
	// answered. reader is the ticket of the decode operation that receives
	// the tokens, and sent the offset of the last token sent to it.
	pending Ticket
	reader  Ticket
	sent    core.Tokens
}

// cacheTokens returns the size of the KV cache in tokens.
func (a *allocation) cacheTokens() core.Tokens { return a.prompt + a.emitted }

// allocationTable holds at most one allocation per request, in order of
// arrival.
type allocationTable struct {
	byRequest map[core.RequestID]*allocation
	order     []*allocation
}

func (t *allocationTable) get(r core.RequestID) *allocation { return t.byRequest[r] }

// contains reports whether an allocation is still in the table.
func (t *allocationTable) contains(a *allocation) bool { return t.byRequest[a.tag.Request] == a }

func (t *allocationTable) add(a *allocation) {
	if t.byRequest == nil {
		t.byRequest = map[core.RequestID]*allocation{}
	}
	t.byRequest[a.tag.Request] = a
	t.order = append(t.order, a)
}

func (t *allocationTable) remove(a *allocation) {
	delete(t.byRequest, a.tag.Request)
	t.order = slices.DeleteFunc(t.order, func(x *allocation) bool { return x == a })
}

// reserve extends an allocation's memory to the given number of tokens. It
// returns false and reserves nothing if too little memory is free.
func (e *Engine) reserve(a *allocation, tokens core.Tokens) bool {
	more := tokens.Pieces() - a.pieces
	if more > e.FreePieces() {
		return false
	}
	if more > 0 {
		a.pieces += more
		e.usedPieces += more
	}
	a.reserved = max(a.reserved, tokens)
	return true
}

// FreePieces returns the number of pieces of memory that are free now.
func (e *Engine) FreePieces() int { return e.Pieces - e.usedPieces }

// supersede drops the allocation that a lower attempt of the request has, so
// that the operation can allocate anew. If the allocation is of the same or a
// higher attempt, it rejects the operation and returns false.
func (e *Engine) supersede(ticket Ticket, tag wire.Allocation) bool {
	a := e.allocations.get(tag.Request)
	if a == nil {
		return true
	}
	if tag.Attempt <= a.tag.Attempt {
		e.reject(ticket, wire.CodeSuperseded)
		return false
	}
	e.drop(a, wire.CodeSuperseded)
	return true
}

// drop frees an allocation and ends its operations with code.
func (e *Engine) drop(a *allocation, code string) {
	if a.phase == computing {
		e.abandonPrefill(a)
	}
	for _, f := range e.link.flowsOf(a) {
		e.removeFlow(f)
		if f.outgoing {
			e.reject(f.ticket, code)
		} else {
			e.emit(CancelFetch{f.ticket})
		}
	}
	if a.pending != 0 {
		e.reject(a.pending, code)
	}
	if a.reader != 0 {
		e.reject(a.reader, code)
	}
	e.usedPieces -= a.pieces
	a.pieces = 0
	e.allocations.remove(a)
}

// release frees the allocation with exactly this tag. It succeeds also if
// there is none, so that a release can be repeated.
func (e *Engine) release(m Release) {
	if a := e.allocations.get(m.Allocation.Request); a != nil && a.tag == m.Allocation {
		e.drop(a, wire.CodeNotFound)
	}
	e.answer(m.Ticket, Released{m.Ticket})
}
