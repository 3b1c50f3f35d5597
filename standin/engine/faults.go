package engine

import (
	"maps"
	"slices"
	"time"

	"daisyshed.dev/standin/fault"
)

// Injects reports whether an engine knows the kind of a fault.
func Injects(f fault.Fault) bool {
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

// freeze stops the engine for d from now on, also if it is frozen already.
func (e *Engine) freeze(d time.Duration) {
	if !e.frozen {
		e.link.advance(e.now)
		e.frozen = true
		e.frozenAt = e.now
	}
	e.frozenUntil = e.now.Add(d)
}

// thaw resumes after a freeze: all that was under way is late by its length,
// and the messages that waited are taken in order.
func (e *Engine) thaw() {
	e.frozen = false
	pause := e.frozenUntil.Sub(e.frozenAt)
	e.schedule.postpone(pause)
	e.postponePrefill(pause)
	e.link.at = e.frozenUntil
	e.now = e.frozenUntil
	backlog := e.backlog
	e.backlog = nil
	for _, m := range backlog {
		e.receive(m)
		e.startWork()
	}
}

// crash loses everything in memory. The highest fencing number, the role and
// the model are kept.
func (e *Engine) crash() {
	e.loseScheduled()
	for _, m := range e.backlog {
		e.loseOperation(m)
	}
	for _, f := range e.link.flows {
		e.loseFlow(f)
	}
	for _, h := range e.held.order {
		e.lose(h.waiting)
		e.lose(h.reader)
	}
	for _, ticket := range slices.Sorted(maps.Keys(e.loading)) {
		e.lose(ticket)
	}
	e.backlog, e.schedule, e.loading = nil, nil, nil
	e.held, e.used, e.current = holdings{}, 0, nil
	e.prefixes = prefixCache{}
	e.link = link{at: e.now, rate: e.LinkRate, stalled: e.link.stalled, generation: e.link.generation}
	e.step = step{generation: e.step.generation}
	e.frozen = false
}

func (e *Engine) loseScheduled() {
	for _, s := range e.schedule {
		switch ev := s.event.(type) {
		case arrived:
			e.loseOperation(ev.message)
		case transferStarted:
			e.lose(ev.flow.ticket)
		case loaded:
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

func (e *Engine) lose(ticket Ticket) {
	if ticket != 0 {
		e.emit(Lost{ticket})
	}
}

func (e *Engine) loseOperation(message Message) {
	if ticket, ok := operation(message); ok {
		e.lose(ticket)
	}
}
