package core

import "time"

// history is what an owner remembers of a request beyond its jobs.
type history struct {
	// newest is the latest attempt by the entry that the caller came to last.
	newest Allocation
	// completed is set once the whole answer was sent.
	completed bool
	at        Instant
}

// sameHolder reports whether two allocations belong to one start of a node.
func sameHolder(a, b Allocation) bool {
	return a.Holder == b.Holder && a.Incarnation == b.Incarnation
}

// overtaken says why a Place comes too late: its request has been answered, or
// its caller has gone to another entry since.
func (s *owner) overtaken(b Place) RefusalReason {
	h, ok := s.history[b.Allocation.Request]
	switch {
	case !ok:
		return NoReason
	case h.completed && !b.Adopt:
		return AlreadyAnswered
	case b.Retry && !sameHolder(h.newest, b.Allocation) && h.newest.Attempt >= b.Allocation.Attempt:
		return InProgress
	default:
		return NoReason
	}
}

// supersede tells other entries that still serve the request that its caller
// has come back through this one. What the same entry had queued is replaced.
func (s *owner) supersede(n *Node, g *group, b Place) {
	for _, it := range g.queue.takeOlder(b.Allocation) {
		if !sameHolder(it.place.Allocation, b.Allocation) {
			n.send(it.from, AttemptSuperseded{Allocation: it.place.Allocation})
		}
	}
	newest := b.Allocation
	if last, ok := s.byRequest[b.Allocation.Request]; ok {
		newest.Attempt = max(newest.Attempt, last.Attempt+1)
		if j, running := s.jobs[last]; running && !sameHolder(last, b.Allocation) {
			n.send(j.entry, AttemptSuperseded{Allocation: last})
		}
	}
	s.history[b.Allocation.Request] = history{newest: newest, at: n.now}
}

// noteCompleted remembers that a request had its whole answer.
func (s *owner) noteCompleted(n *Node, a Allocation) {
	h := s.history[a.Request]
	h.completed = true
	h.at = n.now
	if a.Attempt > h.newest.Attempt {
		h.newest = a
	}
	s.history[a.Request] = h
}

// superseded ends a request whose caller is served by another entry now.
func (s *entry) superseded(n *Node, b AttemptSuperseded) {
	r, ok := s.serving[b.Allocation.Request]
	if ok && s.live(b.Allocation) {
		s.yieldTo(n, r)
	}
}

// yieldTo gives a request up in favour of the entry that its caller has gone
// to. Whoever still listens here is told to look there.
func (s *entry) yieldTo(n *Node, r *serving) {
	s.end(n, r, Cancelled, "", r.emitted)
	s.giveUp(n, r, InProgress, n.spread(supersededRetryAfter))
}

// supersededRetryAfter is when a caller that was superseded may ask again.
const supersededRetryAfter = time.Second
