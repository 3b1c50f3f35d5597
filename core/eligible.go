package core

import (
	"math"
	"time"
)

// eligible holds the engines of a group that may serve a profile, and what the
// profile uses of the borrowed ones among them.
type eligible struct {
	prefill []*engineOption
	decode  []*engineOption
	// largest is the memory of the largest decode engine, in pieces.
	largest int
	// lentPrefills and lentPieces are the borrowed prefill engines and the
	// borrowed decode memory; the profile has usedPrefills and usedPieces.
	lentPrefills, usedPrefills int
	lentPieces, usedPieces     int
}

// engineOption is one engine that may serve a profile.
type engineOption struct {
	book     *book
	borrowed bool
}

const (
	// borrowedPenalty is the gain in time that the use of a borrowed engine
	// must bring.
	borrowedPenalty = 20 * time.Millisecond
	// borrowedRank puts borrowed decode engines after all others.
	borrowedRank = 1 << 16
)

// readyAt ranks prefill engines; a borrowed engine counts as somewhat later,
// so that it is used only where it helps.
func (o *engineOption) readyAt(c choice) Instant {
	at := c.start.Add(c.took)
	if o.borrowed {
		at = at.Add(borrowedPenalty)
	}
	return at
}

// rank orders decode engines: own before borrowed, then by batch.
func (o *engineOption) rank() int {
	if o.borrowed {
		return o.book.batch + borrowedRank
	}
	return o.book.batch
}

// eligible returns the engines for a request's profile, worked out once in a
// walk through the queue.
func (s *owner) eligible(n *Node, g *group, it *queued, p *plan) *eligible {
	id := it.profile.ID
	if e, ok := p.eligible[id]; ok {
		return e
	}
	e := &eligible{}
	for _, id := range g.engines {
		b, ok := s.books[id]
		if !ok {
			continue
		}
		o := &engineOption{book: b, borrowed: s.borrowed(n, b)}
		if o.borrowed {
			e.countBorrowed(b, it.profile.ID)
		}
		switch {
		case s.usable(n, b, &it.profile, Prefill):
			e.prefill = append(e.prefill, o)
		case s.usable(n, b, &it.profile, Decode):
			e.decode = append(e.decode, o)
			e.largest = max(e.largest, b.pieces)
		}
	}
	p.eligible[id] = e
	return e
}

func (s *owner) borrowed(n *Node, b *book) bool {
	pool, ok := n.config.pool(b.upstream.Pool)
	return ok && pool.Borrowed
}

// countBorrowed adds a borrowed engine and the profile's use of it. What was
// found on an engine's list, placed by another owner, counts for every profile.
func (e *eligible) countBorrowed(b *book, profile ProfileID) {
	if b.role == Prefill {
		e.lentPrefills++
		for _, j := range b.pending {
			if j.profile == profile || j.discovered {
				e.usedPrefills++
			}
		}
		return
	}
	e.lentPieces += b.pieces
	for _, j := range b.jobs {
		if (j.profile == profile || j.discovered) && j.decode == b.upstream.ID {
			e.usedPieces += j.memory.Pieces()
		}
	}
}

// prefillShareUsed reports whether the profile has its share of the borrowed
// prefill engines.
func (e *eligible) prefillShareUsed(share float64) bool {
	return float64(e.usedPrefills+1) > math.Ceil(share*float64(e.lentPrefills))
}

// fitsShare reports whether need more pieces stay within the profile's share
// of the borrowed decode memory.
func (e *eligible) fitsShare(share float64, need int) bool {
	return float64(e.usedPieces+need) <= share*float64(e.lentPieces)
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
	delete(p.freeAt, c.prefill.upstream.ID)
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
