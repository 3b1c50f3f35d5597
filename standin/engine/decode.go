package engine

import (
	"time"

	"daisyshed.dev/core"
	wire "daisyshed.dev/wire/engine"
)

// step is the decode step under way. Streams that join later wait for the
// next one.
type step struct {
	generation uint64
	running    bool
	took       time.Duration
	batch      []*holding
}

// decode attaches a reader to a stream and sets the stream going. A higher
// attempt takes the allocation over.
func (e *Engine) decode(m Decode) {
	r := m.Request
	h := e.held.get(r.Allocation.Request)
	if h == nil || h.phase < ready {
		e.refuse(m.Ticket, wire.CodeGone)
		return
	}
	if r.Allocation != h.tag && r.Allocation.Attempt <= h.tag.Attempt {
		e.refuse(m.Ticket, wire.CodeSuperseded)
		return
	}
	h.tag = r.Allocation
	if h.length == 0 {
		h.length = h.answerLength(r.MaxTokens)
	}
	e.attach(h, m.Ticket, r.After)
	if h.emitted >= h.length {
		h.phase = finished
	} else {
		h.phase = decoding
	}
	e.deliver(h)
}

func (h *holding) answerLength(limit core.Tokens) core.Tokens {
	if h.output > 0 {
		return atMost(h.output, limit)
	}
	return AnswerLength(h.text, limit)
}

// attach makes ticket the only reader of a stream.
func (e *Engine) attach(h *holding, ticket Ticket, after core.Tokens) {
	e.lose(h.reader)
	h.sent = after
	h.reader = ticket
	if e.loseReplies > 0 {
		h.reader = 0
	}
	e.answer(ticket, Opened{ticket})
}

// deliver sends a stream's reader what it lacks.
func (e *Engine) deliver(h *holding) {
	for h.reader != 0 && h.sent < h.emitted {
		h.sent++
		event := wire.TokenEvent{Text: AnswerToken(h.text, h.sent), Last: h.sent == h.length}
		e.emit(Token{h.reader, h.sent, event})
		if event.Last {
			h.reader = 0
		}
	}
	if h.reader != 0 && h.phase == finished {
		// The reader already has every token but may not know it.
		e.emit(Token{h.reader, h.length, wire.TokenEvent{Last: true}})
		h.reader = 0
	}
}

// startStep begins a step with all streams that have memory for their next
// token.
func (e *Engine) startStep() {
	if e.step.running {
		return
	}
	var batch []*holding
	for _, h := range e.held.order {
		if h.phase == decoding && e.reserve(h, h.cacheTokens()+1) {
			batch = append(batch, h)
		}
	}
	if len(batch) == 0 {
		return
	}
	e.step.running = true
	e.step.generation++
	e.step.batch = batch
	e.step.took = e.StepBase + time.Duration(len(batch))*e.StepPerRequest
	e.schedule.add(e.now.Add(e.step.took), stepped{e.step.generation})
}

func (e *Engine) stepDone(generation uint64) {
	if !e.step.running || generation != e.step.generation {
		return
	}
	e.Counters.Steps++
	e.Counters.StepTime += e.step.took
	e.Counters.SlowestStep = max(e.Counters.SlowestStep, e.step.took)
	for _, h := range e.step.batch {
		if h.phase == decoding && e.held.holds(h) {
			e.emitToken(h)
		}
	}
	e.step.running = false
	e.step.batch = nil
}

func (e *Engine) emitToken(h *holding) {
	h.emitted++
	e.Counters.Emitted++
	e.Counters.Used += h.computed
	h.computed = 0
	if h.emitted >= h.length {
		h.phase = finished
	}
	e.deliver(h)
}
