package engine

import (
	"time"

	"daisyshed.dev/core"
	wire "daisyshed.dev/wire/engine"
)

// step is the current decode step. Streams that start decoding while it runs
// join the next one.
type step struct {
	generation uint64
	running    bool
	duration   time.Duration
	batch      []*allocation
}

// decode opens or resumes a stream for a client. A higher attempt takes the
// allocation over.
func (e *Engine) decode(m Decode) {
	r := m.Request
	a := e.allocations.get(r.Allocation.Request)
	if a == nil || a.phase < ready {
		e.reject(m.Ticket, wire.CodeNotFound)
		return
	}
	if r.Allocation != a.tag && r.Allocation.Attempt <= a.tag.Attempt {
		e.reject(m.Ticket, wire.CodeSuperseded)
		return
	}
	a.tag = r.Allocation
	if a.length == 0 {
		a.length = a.answerLength(r.MaxTokens)
	}
	e.attach(a, m.Ticket, r.After)
	if a.emitted >= a.length {
		a.phase = finished
	} else {
		a.phase = decoding
	}
	e.deliver(a)
}

// answerLength returns the number of tokens of the answer: as given with the
// prefill, or else derived from the prompt's text.
func (a *allocation) answerLength(limit core.Tokens) core.Tokens {
	if a.output > 0 {
		return atMost(a.output, limit)
	}
	return AnswerLength(a.text, limit)
}

// attach makes ticket the only reader of a stream, to which deliver then sends
// the tokens with offsets above after. It breaks the connection of an earlier
// reader.
func (e *Engine) attach(a *allocation, ticket Ticket, after core.Tokens) {
	e.lose(a.reader)
	a.sent = after
	a.reader = ticket
	if e.loseReplies > 0 {
		// The reply below is lost, so the stream has no reader.
		a.reader = 0
	}
	e.answer(ticket, StreamOpened{ticket})
}

// deliver sends a stream's reader the tokens that it has not been sent yet.
func (e *Engine) deliver(a *allocation) {
	for a.reader != 0 && a.sent < a.emitted {
		a.sent++
		event := wire.TokenEvent{Text: AnswerToken(a.text, a.sent), Last: a.sent == a.length}
		e.emit(Token{a.reader, a.sent, event})
		if event.Last {
			a.reader = 0
		}
	}
	if a.reader != 0 && a.phase == finished {
		// The reader resumed at the end of the stream and may not know that
		// it is finished.
		e.emit(Token{a.reader, a.length, wire.TokenEvent{Last: true}})
		a.reader = 0
	}
}

// startStep starts a decode step, unless one is running, with all decoding
// streams whose next token fits into memory.
func (e *Engine) startStep() {
	if e.step.running {
		return
	}
	var batch []*allocation
	for _, a := range e.allocations.order {
		if a.phase == decoding && e.reserve(a, a.cacheTokens()+1) {
			batch = append(batch, a)
		}
	}
	if len(batch) == 0 {
		return
	}
	e.step.running = true
	e.step.generation++
	e.step.batch = batch
	e.step.duration = e.StepBase + time.Duration(len(batch))*e.StepPerRequest
	e.schedule.add(e.now.Add(e.step.duration), stepFinished{e.step.generation})
}

func (e *Engine) stepDone(generation uint64) {
	if !e.step.running || generation != e.step.generation {
		return
	}
	e.Counters.Steps++
	e.Counters.StepTime += e.step.duration
	e.Counters.SlowestStep = max(e.Counters.SlowestStep, e.step.duration)
	for _, a := range e.step.batch {
		if a.phase == decoding && e.allocations.contains(a) {
			e.emitToken(a)
		}
	}
	e.step.running = false
	e.step.batch = nil
}

func (e *Engine) emitToken(a *allocation) {
	a.emitted++
	e.Counters.Emitted++
	e.Counters.Used += a.computed
	a.computed = 0
	if a.emitted >= a.length {
		a.phase = finished
	}
	e.deliver(a)
}
