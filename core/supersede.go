package core

import "time"

// requestHistory is what an owner remembers of a request besides its jobs.
type requestHistory struct {
	// newest is the latest attempt made through the entry node that the caller
	// used last.
	newest Allocation
	// completed is set once the whole answer was sent.
	completed bool
	at        Instant
}

// sameHolder reports whether two allocations belong to the same incarnation of a
// node.
func sameHolder(a, b Allocation) bool {
	return a.Holder == b.Holder && a.Incarnation == b.Incarnation
}

// staleReason returns why a Place message is out of date: its request has been
// answered, or its caller has since reconnected through another entry node. It
// returns NoReason if the message is current.
func (s *owner) staleReason(b Place) RejectionReason {
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

// supersede records that the caller of a request has connected through the entry
// node that sent b, and notifies the entry nodes that still serve an earlier attempt.
// A queued attempt of the same entry node is replaced without notice.
func (s *owner) supersede(n *Node, g *group, b Place) {
	for _, it := range g.queue.removeRequest(b.Allocation) {
		if !sameHolder(it.place.Allocation, b.Allocation) {
			s.notifySuperseded(n, it.from, it.place.Allocation, maxSupersedeTries)
		}
	}
	newest := b.Allocation
	if last, ok := s.byRequest[b.Allocation.Request]; ok {
		newest.Attempt = max(newest.Attempt, last.Attempt+1)
		if j, running := s.jobs[last]; running && !sameHolder(last, b.Allocation) {
			s.notifySuperseded(n, j.entry, last, maxSupersedeTries)
		}
	}
	s.history[b.Allocation.Request] = requestHistory{newest: newest, at: n.now}
}

// resolveDuplicate resolves a request that two entry nodes serve at once: an
// engine's list shows an attempt that another owner placed, while this owner's
// allocation table has the request with another entry node. The higher attempt is
// the caller's later one, so the lower one is superseded.
func (s *owner) resolveDuplicate(n *Node, found *job) {
	known, ok := s.jobs[s.byRequest[found.allocation.Request]]
	if !ok || sameHolder(known.allocation, found.allocation) {
		return
	}
	loser := known
	if found.allocation.Attempt < known.allocation.Attempt {
		loser = found
	}
	if known.allocation.Attempt != found.allocation.Attempt {
		s.notifySuperseded(n, loser.entry, loser.allocation, maxSupersedeTries)
	}
}

const (
	// maxSupersedeTries is how many times a holder is notified that it is
	// superseded.
	maxSupersedeTries = 20
	// supersedeRetryEvery is the time between two such notifications.
	supersedeRetryEvery = 250 * time.Millisecond
)

// notifySuperseded notifies a holder that it is superseded, and retries until the
// holder has ended the attempt.
func (s *owner) notifySuperseded(n *Node, holder NodeID, a Allocation, tries int) {
	if _, over := s.ended[a]; over || tries == 0 || !s.holderAlive(n, a) {
		return
	}
	n.send(holder, AttemptSuperseded{Allocation: a})
	n.afterFunc(supersedeRetryEvery, func(n *Node) { n.owner.notifySuperseded(n, holder, a, tries-1) })
}

// recordCompleted records that the whole answer of a request was sent.
func (s *owner) recordCompleted(n *Node, a Allocation) {
	h := s.history[a.Request]
	h.completed = true
	h.at = n.now
	if a.Attempt > h.newest.Attempt {
		h.newest = a
	}
	s.history[a.Request] = h
}

// handleSuperseded ends a request whose caller is now served by another entry node.
func (s *entry) handleSuperseded(n *Node, from NodeID, b AttemptSuperseded) {
	r, ok := s.requests[b.Allocation.Request]
	if ok && r.isCurrentAttempt(b.Allocation) {
		s.yield(n, r)
	}
	if !s.live(b.Allocation) {
		s.reportEnded(n, from, AttemptEnded{Allocation: b.Allocation, Reason: Cancelled})
	}
}

// isCurrentAttempt reports whether an allocation is an attempt for the caller's current
// connection to this node.
func (r *servedRequest) isCurrentAttempt(a Allocation) bool {
	return a.Attempt >= r.firstAttempt && a.Attempt <= r.allocation.Attempt
}

// yield gives up a request in favour of the entry node that its caller now uses.
// A caller that is still connected here is rejected with InProgress and a time to
// retry.
func (s *entry) yield(n *Node, r *servedRequest) {
	s.endAttempt(n, r, Cancelled, "", r.emitted)
	s.rejectServed(n, r, InProgress, n.jitteredDelay(supersededRetryAfter))
}

// supersededRetryAfter is the retry delay for a caller whose request was
// superseded.
const supersededRetryAfter = time.Second
