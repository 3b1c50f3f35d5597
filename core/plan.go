package core

import (
	"math"
	"time"
)

// plan is a walk through a group's queue: it hands out the engines' time in
// advance, so that each request sees what those before it will take.
type plan struct {
	now Instant
	// walk numbers the walk, so that books know whose plan they hold.
	walk uint64
	// short is the decode memory, in pieces, that requests earlier in the
	// queue wait for.
	short int
	// next is when the queue has to be looked at again.
	next Instant
	// eligible remembers the engines for each profile, and tightest the
	// tightest target per token at each decode engine.
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

// freeAt returns when an engine is free after what the plan has given it.
func (p *plan) freeAt(b *book) Instant {
	if b.walk != p.walk {
		p.occupy(b, b.freeAt(p.now))
	}
	return b.planned
}

// occupy plans an engine's time up to an instant.
func (p *plan) occupy(b *book, until Instant) {
	b.walk = p.walk
	b.planned = until
}

func (p *plan) lookAgain(at Instant) {
	if p.next == 0 || at < p.next {
		p.next = at
	}
}

// tightestAt returns the tightest target per token among the requests that an
// engine decodes.
func (p *plan) tightestAt(b *book) time.Duration {
	id := b.upstream.ID
	t, ok := p.tightest[id]
	if !ok {
		t = b.minStep(math.MaxInt64)
		p.tightest[id] = t
	}
	return t
}

// dispatched takes a placement into account for the rest of the walk.
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
