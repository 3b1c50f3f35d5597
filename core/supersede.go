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
			s.tellSuperseded(n, it.from, it.place.Allocation, supersedeTries)
		}
	}
	newest := b.Allocation
	if last, ok := s.byRequest[b.Allocation.Request]; ok {
		newest.Attempt = max(newest.Attempt, last.Attempt+1)
		if j, running := s.jobs[last]; running && !sameHolder(last, b.Allocation) {
			s.tellSuperseded(n, j.entry, last, supersedeTries)
		}
	}
	s.history[b.Allocation.Request] = history{newest: newest, at: n.now}
}

// settleTwo lets one entry go on if an engine's list shows that another owner
// has placed a request which this owner's books have with another entry. The
// higher attempt is the caller's later one.
func (s *owner) settleTwo(n *Node, found *job) {
	known, ok := s.jobs[s.byRequest[found.allocation.Request]]
	if !ok || sameHolder(known.allocation, found.allocation) {
		return
	}
	loser := known
	if found.allocation.Attempt < known.allocation.Attempt {
		loser = found
	}
	if known.allocation.Attempt != found.allocation.Attempt {
		s.tellSuperseded(n, loser.entry, loser.allocation, supersedeTries)
	}
}

const (
	// supersedeTries bounds how often a holder is told that it is superseded.
	supersedeTries = 20
	// supersedeAgainAfter is the time between repetitions.
	supersedeAgainAfter = 250 * time.Millisecond
)

// tellSuperseded tells a holder that it is superseded and repeats it until the
// holder has ended the attempt.
func (s *owner) tellSuperseded(n *Node, holder NodeID, a Allocation, tries int) {
	if _, over := s.ended[a]; over || tries == 0 || !s.holderAlive(n, a) {
		return
	}
	n.send(holder, AttemptSuperseded{Allocation: a})
	n.afterFunc(supersedeAgainAfter, func(n *Node) { n.owner.tellSuperseded(n, holder, a, tries-1) })
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
func (s *entry) superseded(n *Node, from NodeID, b AttemptSuperseded) {
	r, ok := s.serving[b.Allocation.Request]
	if ok && r.covers(b.Allocation) {
		s.yieldTo(n, r)
	}
	if !s.live(b.Allocation) {
		s.report(n, from, AttemptEnded{Allocation: b.Allocation, Reason: Cancelled})
	}
}

// covers reports whether an allocation was an attempt for the caller's present
// connection to this node.
func (r *serving) covers(a Allocation) bool {
	return a.Attempt >= r.firstAttempt && a.Attempt <= r.allocation.Attempt
}

// yieldTo gives a request up in favour of the entry that its caller has gone
// to. Whoever still listens here is told to look there.
func (s *entry) yieldTo(n *Node, r *serving) {
	s.end(n, r, Cancelled, "", r.emitted)
	s.giveUp(n, r, InProgress, n.spread(supersededRetryAfter))
}

// supersededRetryAfter is when a caller that was superseded may ask again.
const supersededRetryAfter = time.Second
