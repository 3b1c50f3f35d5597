package engine

import (
	"maps"
	"slices"
	"time"

	"daisyshed.dev/standin/fault"
)

// SupportsFault reports whether engines support the kind of a fault.
func SupportsFault(f fault.Fault) bool {
	switch f.Kind {
	case fault.Delay, fault.Stall, fault.Freeze, fault.Crash, fault.LoseReplies,
		fault.EventGaps, fault.IgnoreFencing, fault.Drain:
		return true
	default:
		return false
	}
}

func (e *Engine) inject(f fault.Fault) {
	switch f.Kind {
	case fault.Delay:
		e.delay = f.Duration()
	case fault.Stall:
		e.stall(f.On)
	case fault.Freeze:
		e.freeze(f.Duration())
	case fault.Crash:
		e.crash()
	case fault.LoseReplies:
		e.loseReplies = f.Count
	case fault.EventGaps:
		e.EventGapRate = f.Rate
	case fault.IgnoreFencing:
		e.ignoreFencing = f.On
	case fault.Drain:
		e.draining = f.On
	}
}

// freeze stops the engine until d from now. A freeze in progress then
// ends at that time instead.
func (e *Engine) freeze(d time.Duration) {
	if !e.frozen {
		e.link.advance(e.now)
		e.frozen = true
		e.frozenAt = e.now
	}
	e.frozenUntil = e.now.Add(d)
}

// thaw ends a freeze: everything in progress is postponed by the length of
// the freeze, and the messages queued meanwhile are handled in order.
func (e *Engine) thaw() {
	e.frozen = false
	pause := e.frozenUntil.Sub(e.frozenAt)
	e.schedule.postpone(pause)
	e.postponePrefill(pause)
	e.link.advancedAt = e.frozenUntil
	e.now = e.frozenUntil
	backlog := e.backlog
	e.backlog = nil
	for _, m := range backlog {
		e.receive(m)
		e.startNext()
	}
}

// crash loses all allocations, the prefix cache and every operation in
// progress. The highest fencing token, the role and the model are kept.
func (e *Engine) crash() {
	e.loseScheduled()
	for _, m := range e.backlog {
		e.loseOperation(m)
	}
	for _, f := range e.link.flows {
		e.loseFlow(f)
	}
	for _, a := range e.allocations.order {
		e.lose(a.pending)
		e.lose(a.reader)
	}
	for _, ticket := range slices.Sorted(maps.Keys(e.awaitingWeights)) {
		e.lose(ticket)
	}
	e.backlog, e.schedule, e.awaitingWeights = nil, nil, nil
	e.allocations, e.usedPieces, e.activePrefill = allocationTable{}, 0, nil
	e.prefixes = prefixCache{}
	e.link = link{advancedAt: e.now, rate: e.LinkRate, stalled: e.link.stalled, generation: e.link.generation}
	e.step = step{generation: e.step.generation}
	e.frozen = false
}

// loseScheduled ends the operations that wait for a scheduled event.
func (e *Engine) loseScheduled() {
	for _, s := range e.schedule {
		switch ev := s.event.(type) {
		case delayElapsed:
			e.loseOperation(ev.message)
		case transferStarted:
			e.lose(ev.flow.ticket)
		case loadFinished:
			e.lose(ev.order.Ticket)
		default:
		}
	}
}

func (e *Engine) loseFlow(f *flow) {
	if f.outgoing {
		e.lose(f.ticket)
		return
	}
	e.emit(CancelFetch{f.ticket})
}

// lose ends an operation without a reply. It ignores the zero ticket.
func (e *Engine) lose(ticket Ticket) {
	if ticket != 0 {
		e.emit(ConnectionLost{ticket})
	}
}

func (e *Engine) loseOperation(message Message) {
	if ticket, ok := operation(message); ok {
		e.lose(ticket)
	}
}
