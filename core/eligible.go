package core

import (
	"math"
	"time"
)

// eligible is the engines of a group that may serve a profile, and the profile's
// use of borrowed engines.
type eligible struct {
	prefill []engineOption
	decode  []engineOption
	// largest is the memory of the largest eligible decode engine, in pieces.
	largest int
	// borrowedPrefills is the number of borrowed prefill engines, and
	// borrowedPieces the memory of the borrowed decode engines; usedPrefills and
	// usedPieces are what the profile uses of them.
	borrowedPrefills, usedPrefills int
	borrowedPieces, usedPieces     int
}

// engineOption is one engine that may serve a profile.
type engineOption struct {
	table    *allocationTable
	borrowed bool
}

const (
	// borrowedPenalty is how much earlier a borrowed prefill engine must be ready
	// to be preferred.
	borrowedPenalty = 20 * time.Millisecond
	// borrowedRank is added to the rank of borrowed decode engines, to order them
	// after all others.
	borrowedRank = 1 << 16
)

// readyAt returns when a prefill engine should have finished the prompt, for
// ranking. A borrowed engine gets borrowedPenalty added, so that it is used only
// where it is clearly faster.
func (o engineOption) readyAt(c placementChoice) Instant {
	at := c.start.Add(c.prefillDuration)
	if o.borrowed {
		at = at.Add(borrowedPenalty)
	}
	return at
}

// rank returns the order of a decode engine: own engines before borrowed ones, then
// smaller batches first.
func (o engineOption) rank() int {
	if o.borrowed {
		return o.table.batch + borrowedRank
	}
	return o.table.batch
}

// eligible returns the engines for a request's profile, computed once in each pass
// over the queue.
func (s *owner) eligible(n *Node, g *group, it *queued, p *plan) *eligible {
	id := it.profile.ID
	if e, ok := p.eligible[id]; ok {
		return e
	}
	e := s.eligibleFor(n, g, &it.profile)
	p.eligible[id] = e
	return e
}

func (s *owner) eligibleFor(n *Node, g *group, profile *Profile) *eligible {
	e := &eligible{}
	var pool Pool
	for _, id := range g.engines {
		b, ok := s.allocationTables[id]
		if !ok {
			continue
		}
		if pool.ID != b.upstream.Pool {
			pool, _ = n.config.pool(b.upstream.Pool)
		}
		if pool.Borrowed {
			e.countBorrowed(b, profile.ID)
		}
		e.add(engineOption{table: b, borrowed: pool.Borrowed}, len(g.engines), s.usable(n, b, pool, profile))
	}
	return e
}

// add adds a usable engine to those of its role; capacity is that of a new list.
func (e *eligible) add(o engineOption, capacity int, usable bool) {
	switch {
	case !usable:
	case o.table.role == Prefill:
		if e.prefill == nil {
			e.prefill = make([]engineOption, 0, capacity)
		}
		e.prefill = append(e.prefill, o)
	case o.table.role == Decode:
		if e.decode == nil {
			e.decode = make([]engineOption, 0, capacity)
		}
		e.decode = append(e.decode, o)
		e.largest = max(e.largest, o.table.pieces)
	}
}

// countBorrowed adds a borrowed engine and the profile's use of it. A discovered
// job counts for every profile, because its own profile is not known.
func (e *eligible) countBorrowed(b *allocationTable, profile ProfileID) {
	if b.role == Prefill {
		e.borrowedPrefills++
		for _, j := range b.pending {
			if j.profile == profile || j.discovered {
				e.usedPrefills++
			}
		}
		return
	}
	e.borrowedPieces += b.pieces
	for _, j := range b.jobs {
		if (j.profile == profile || j.discovered) && j.decode == b.upstream.ID {
			e.usedPieces += j.memory.Pieces()
		}
	}
}

// prefillShareUsed reports whether one more prefill would exceed the profile's
// share of the borrowed prefill engines, rounded up.
func (e *eligible) prefillShareUsed(share float64) bool {
	return float64(e.usedPrefills+1) > math.Ceil(share*float64(e.borrowedPrefills))
}

// fitsShare reports whether need more pieces of memory stay within the profile's
// share of the borrowed decode memory.
func (e *eligible) fitsShare(share float64, need int) bool {
	return float64(e.usedPieces+need) <= share*float64(e.borrowedPieces)
}
