package core

import (
	"cmp"
	"slices"
	"time"
)

const (
	// defaultDrainTime is how long streams on a leaving engine may continue if its
	// pool sets no limit.
	defaultDrainTime = 30 * time.Second
	// moveMargin is the time reserved for a move before the end of a drain.
	moveMargin = 2 * time.Second
	// moveRetryAfter is the minimum time between attempts to move one stream.
	moveRetryAfter = time.Second
)

// recordWithdrawals records since when pools have been withdrawn and engines have
// been leaving.
func (s *owner) recordWithdrawals(n *Node) {
	now := make(map[poolUse]bool)
	for _, p := range n.config.pools() {
		if p.Withdrawn {
			now[poolUse{pool: p.ID}] = true
		}
	}
	for _, p := range n.config.profiles() {
		for _, id := range p.Withdrawn {
			now[poolUse{pool: id, profile: p.ID}] = true
		}
	}
	for use := range now {
		if _, known := s.withdrawn[use]; !known {
			s.withdrawn[use] = n.now
		}
	}
	for use := range s.withdrawn {
		if !now[use] {
			delete(s.withdrawn, use)
		}
	}
	s.recordLeaving(n)
}

func (s *owner) recordLeaving(n *Node) {
	for id, u := range s.upstreams {
		_, known := s.leaving[id]
		if u.Leaving && !known {
			s.leaving[id] = n.now
		}
		if !u.Leaving && known {
			delete(s.leaving, id)
		}
	}
	for id := range s.leaving {
		if !s.inVMList(id) {
			delete(s.leaving, id)
		}
	}
}

// withdrawnFor reports whether this node has known for longer than d that an engine
// may receive no new requests of a profile.
func (s *owner) withdrawnFor(n *Node, id EngineID, profile ProfileID, d time.Duration) bool {
	pool := s.upstreams[id].Pool
	if at, ok := s.withdrawn[poolUse{pool: pool}]; ok && n.now.Sub(at) > d {
		return true
	}
	if at, ok := s.withdrawn[poolUse{pool: pool, profile: profile}]; ok && n.now.Sub(at) > d {
		return true
	}
	at, ok := s.leaving[id]
	return ok && n.now.Sub(at) > d
}

// draining reports whether an engine may receive no new requests at all.
func (s *owner) draining(n *Node, b *allocationTable) bool {
	pool, ok := n.config.pool(b.upstream.Pool)
	return b.state == Draining || b.upstream.Leaving || (ok && pool.Withdrawn)
}

// drain empties an engine that is withdrawn or leaving. Streams that would not
// finish in time are moved to other engines.
func (s *owner) drain(n *Node, b *allocationTable) {
	if !s.draining(n, b) {
		b.drainSince = None[Instant]()
		b.drained = false
		return
	}
	since, begun := b.drainSince.Get()
	if !begun {
		since = n.now
		b.drainSince = Some(since)
		n.do(LogDecision{Decision: s.engineDecision(n, b, "drain")})
	}
	if len(b.report.Held) == 0 && len(b.jobs) == 0 && !b.drained {
		b.drained = true
		n.do(LogDecision{Decision: s.engineDecision(n, b, "returned")})
	}
	s.requestMoves(n, b, since.Add(s.drainTime(n, b)))
}

func (s *owner) drainTime(n *Node, b *allocationTable) time.Duration {
	pool, _ := n.config.pool(b.upstream.Pool)
	return cmp.Or(pool.ReturnBy, defaultDrainTime)
}

// requestMoves asks the entry nodes of streams that would outlast the drain to move
// them.
func (s *owner) requestMoves(n *Node, b *allocationTable, by Instant) {
	if b.role != Decode {
		return
	}
	for _, j := range b.sortedJobs() {
		if !j.decoding || n.now.Sub(j.movedAt) < moveRetryAfter {
			continue
		}
		if n.now.Add(s.remaining(n, j)) <= by.Add(-moveMargin) {
			continue
		}
		j.movedAt = n.now
		n.send(j.entry, MoveAway{Allocation: j.allocation, By: by.Sub(n.now)})
	}
}

// placeMove places a running stream that has to leave its engine. If no engine
// has room, it retries for moveRetryAfter and then rejects the move.
func (s *owner) placeMove(n *Node, g *group, it *queued, p *plan) {
	e := s.eligible(n, g, it, p)
	b := s.chooseDecode(n, g, e, it, p, 0)
	if b == nil {
		if p.now.Sub(it.arrivedAtOwner) < moveRetryAfter {
			p.queuedPieces += memoryFor(it.place).Pieces()
			p.scheduleNextPass(p.now.Add(moveRetryAfter))
			return
		}
		s.rejectQueued(n, g, it, NoCapacity)
		return
	}
	g.queue.charge(it)
	delete(p.eligible, it.profile.ID)
	delete(p.minPerTokenTargets, b.upstream.ID)
	j := s.newJob(n, g, it)
	j.decode = b.upstream.ID
	j.prefilled = true
	j.placed.Decode = j.decode
	j.placed.Source = it.place.Source
	s.promise(n, j, it)
}

func (s *owner) engineDecision(n *Node, b *allocationTable, step string) Decision {
	return Decision{At: n.now, Node: n.Self.ID, Step: step, Decode: b.upstream.ID}
}

func (b *allocationTable) sortedJobs() []*job { return sortJobs(b.jobs) }

func (s *owner) sortedJobs() []*job { return sortJobs(s.jobs) }

func sortJobs(m map[Allocation]*job) []*job {
	jobs := make([]*job, 0, len(m))
	for _, j := range m {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(
			cmp.Compare(a.allocation.Request, b.allocation.Request),
			cmp.Compare(a.allocation.Attempt, b.allocation.Attempt),
			cmp.Compare(a.allocation.Holder, b.allocation.Holder),
			cmp.Compare(a.allocation.Incarnation, b.allocation.Incarnation),
		)
	})
	return jobs
}
