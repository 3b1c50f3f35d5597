package core

import (
	"math"
	"time"
)

// plan is one pass over a group's queue. It reserves the engines' time in advance,
// so that the predictions for each request include the requests before it.
type plan struct {
	now Instant
	// walk numbers the pass; a book's planned time counts only in the pass that
	// set it.
	walk uint64
	// short is the decode memory, in pieces, that requests earlier in the queue
	// wait for.
	short int
	// next is when the next pass over the queue is due, or zero if no time is set.
	next Instant
	// eligible caches the eligible engines for each profile, and tightest the
	// lowest per-token target at each decode engine.
	eligible map[ProfileID]*eligible
	tightest map[EngineID]time.Duration
}

func (s *owner) newPlan(now Instant) *plan {
	s.walks++
	return &plan{
		now:      now,
		walk:     s.walks,
		eligible: make(map[ProfileID]*eligible),
		tightest: make(map[EngineID]time.Duration),
	}
}

// freeAt returns when a prefill engine is predicted to be free, after the prefills
// sent to it and those planned in this pass.
func (p *plan) freeAt(b *book) Instant {
	if b.walk != p.walk {
		p.occupy(b, b.freeAt(p.now))
	}
	return b.planned
}

// occupy reserves an engine's time up to an instant.
func (p *plan) occupy(b *book, until Instant) {
	b.walk = p.walk
	b.planned = until
}

// lookAgain schedules the next pass for the given time at the latest.
func (p *plan) lookAgain(at Instant) {
	if p.next == 0 || at < p.next {
		p.next = at
	}
}

// tightestAt returns the lowest per-token target among the requests that an engine
// decodes.
func (p *plan) tightestAt(b *book) time.Duration {
	id := b.upstream.ID
	t, ok := p.tightest[id]
	if !ok {
		t = b.minStep(math.MaxInt64)
		p.tightest[id] = t
	}
	return t
}

// dispatched applies a placement that was made to the rest of the pass.
func (p *plan) dispatched(e *eligible, c choice, need int) {
	p.occupy(c.prefill, c.prefill.freeAt(p.now))
	for _, o := range e.prefill {
		if o.book == c.prefill && o.borrowed {
			e.usedPrefills++
		}
	}
	if c.decode == nil {
		return
	}
	delete(p.tightest, c.decode.upstream.ID)
	for _, o := range e.decode {
		if o.book == c.decode && o.borrowed {
			e.usedPieces += need
		}
	}
}
