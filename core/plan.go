package core

import (
	"math"
	"time"
)

// plan is one pass over a group's queue. It reserves the engines' time in
// advance, so that the predictions for each request include the requests before
// it.
type plan struct {
	now Instant
	// pass numbers the pass; an allocation table's planned time counts only in the
	// pass that set it.
	pass uint64
	// queuedPieces is the decode memory, in pieces, that requests earlier in the queue
	// wait for.
	queuedPieces int
	// nextPass is when the next pass over the queue is due, or zero if no time is
	// set.
	nextPass Instant
	// eligible caches the eligible engines for each profile, and
	// minPerTokenTargets the lowest per-token target at each decode engine.
	eligible           map[ProfileID]*eligible
	minPerTokenTargets map[EngineID]time.Duration
}

func (s *owner) newPlan(now Instant) *plan {
	s.passes++
	return &plan{
		now:                now,
		pass:               s.passes,
		eligible:           make(map[ProfileID]*eligible),
		minPerTokenTargets: make(map[EngineID]time.Duration),
	}
}

// freeAt returns when a prefill engine is predicted to be free, after the prefills
// sent to it and those planned in this pass.
func (p *plan) freeAt(b *allocationTable) Instant {
	if b.plannedInPass != p.pass {
		p.reserveUntil(b, b.freeAt(p.now))
	}
	return b.plannedUntil
}

// reserveUntil reserves an engine's time up to an instant.
func (p *plan) reserveUntil(b *allocationTable, until Instant) {
	b.plannedInPass = p.pass
	b.plannedUntil = until
}

// scheduleNextPass sets the next pass to the given time, unless it is due earlier.
func (p *plan) scheduleNextPass(at Instant) {
	if p.nextPass == 0 || at < p.nextPass {
		p.nextPass = at
	}
}

// minPerTokenTargetAt returns the lowest per-token target among the requests that
// an engine decodes.
func (p *plan) minPerTokenTargetAt(b *allocationTable) time.Duration {
	id := b.upstream.ID
	t, ok := p.minPerTokenTargets[id]
	if !ok {
		t = b.minPerTokenTarget(math.MaxInt64)
		p.minPerTokenTargets[id] = t
	}
	return t
}

// applyDispatch updates the plan and the eligible engines after a request was
// dispatched, for the rest of the pass.
func (p *plan) applyDispatch(e *eligible, c placementChoice, need int) {
	p.reserveUntil(c.prefill, c.prefill.freeAt(p.now))
	for _, o := range e.prefill {
		if o.table == c.prefill && o.borrowed {
			e.usedPrefills++
		}
	}
	if c.decode == nil {
		return
	}
	delete(p.minPerTokenTargets, c.decode.upstream.ID)
	for _, o := range e.decode {
		if o.table == c.decode && o.borrowed {
			e.usedPieces += need
		}
	}
}
