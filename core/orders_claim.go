package core

import "time"

// engineClaim is the current claim on an engine. It depends only on log timestamps,
// so that every reader computes the same claim.
type engineClaim struct {
	holder      NodeID
	incarnation Incarnation
	offset      Offset
	// expiresAt is the log time at which the lease expires.
	expiresAt int64
	// otherExpiresAt is the log time at which the lease of the last other holder
	// expires.
	otherExpiresAt int64
}

// isOwn reports whether this incarnation of this node made the claim.
func (c engineClaim) isOwn(n *Node) bool {
	return c.offset > 0 && c.holder == n.Self.ID && c.incarnation == n.Incarnation
}

// ownLease is the state of this node's claims on one engine.
type ownLease struct {
	ticket    Ticket
	appending bool
	// sent holds the send times of the appends that have not been read back yet.
	// Each of them may be in the log already or arrive there later. The oldest is
	// used for the next claim that is read back: when the log accepted this node's
	// k-th claim, at least k appends had been sent, so the lease never seems to
	// start later than it did.
	sent []Instant
	// startedAt is when the append of the current claim was sent, if known.
	startedAt Option[Instant]
	// offset is the offset of the claim that startedAt belongs to.
	offset Offset
	// notBefore is the earliest time of the next append.
	notBefore Instant
	// waitedForOther is set while another node's lease has to expire first.
	waitedForOther bool
}

// leaseDuration returns the duration of a lease. It is long enough for an order to
// be in flight.
func (s *orders) leaseDuration(n *Node) time.Duration {
	return max(n.Settings.ClaimLease, 2*n.Settings.OrderFlight)
}

func (s *orders) ownLease(id EngineID) *ownLease { return getOrCreate(s.leases, id) }

// fold applies a claim from the log. A claim made during another holder's lease is
// void.
func (s *orders) fold(n *Node, r LogRecord, c EngineClaim) {
	held := s.claims[c.Engine]
	same := held.holder == c.Holder && held.incarnation == c.Incarnation
	next := engineClaim{
		holder: c.Holder, incarnation: c.Incarnation, offset: r.Offset,
		expiresAt: r.At + int64(c.Lease), otherExpiresAt: held.otherExpiresAt,
	}
	if !same {
		next.otherExpiresAt = held.expiresAt
	}
	valid := same || r.At >= held.expiresAt
	if next.isOwn(n) {
		s.ownLease(c.Engine).readBack(r.Offset, valid)
	}
	if valid {
		s.claims[c.Engine] = next
	}
}

// readBack records that one of this node's claims has been read from the log. valid
// says whether the claim is valid.
func (l *ownLease) readBack(offset Offset, valid bool) {
	startedAt := None[Instant]()
	if len(l.sent) > 0 {
		startedAt = Some(l.sent[0])
		l.sent = l.sent[1:]
	}
	if valid {
		l.startedAt, l.offset = startedAt, offset
	}
}

// discard invalidates the lease, so that the next order needs a new claim, which is
// appended no earlier than the given time.
func (l *ownLease) discard(after Instant) {
	l.startedAt = None[Instant]()
	l.notBefore = max(l.notBefore, after)
}

// claim appends a claim on an engine, unless an append is in flight or not allowed
// yet.
func (s *orders) claim(n *Node, id EngineID) {
	l := s.ownLease(id)
	if l.appending || n.now < l.notBefore {
		return
	}
	l.appending = true
	l.ticket = n.nextTicket()
	l.sent = append(l.sent, n.now)
	n.do(AppendLog{Ticket: l.ticket, Stream: ClaimStream, Records: []Record{EngineClaim{
		Engine: id, Holder: n.Self.ID, Incarnation: n.Incarnation, Lease: s.leaseDuration(n),
	}}})
	s.logStep(n, id, "claim", NoReason, 0)
}

// leaseAppending returns the lease whose append has the given ticket.
func (s *orders) leaseAppending(ticket Ticket) (*ownLease, bool) {
	for _, l := range s.leases {
		if l.appending && l.ticket == ticket {
			return l, true
		}
	}
	return nil, false
}

func (s *orders) appended(n *Node, m LogAppended) {
	l, ok := s.leaseAppending(m.Ticket)
	if !ok {
		return
	}
	l.appending = false
	s.reader.poll(n)
}

// appendFailed handles an append without confirmation. The claim may be in the log
// unless the log is known not to have it.
func (s *orders) appendFailed(n *Node, m LogAppendFailed) {
	l, ok := s.leaseAppending(m.Ticket)
	if !ok {
		return
	}
	l.appending = false
	l.notBefore = n.now.Add(n.jitter(appendRetryAfter))
	if m.NotAppended && len(l.sent) > 0 {
		l.sent = l.sent[:len(l.sent)-1]
	}
	s.reader.poll(n)
}

// remaining returns a lower bound, by this node's clock, of the time left on its
// lease of an engine. The lease is counted from when the append was sent, which was
// before the log's timestamp of the claim.
func (s *orders) remaining(n *Node, id EngineID) time.Duration {
	l := s.ownLease(id)
	startedAt, known := l.startedAt.Get()
	held := s.claims[id]
	if !known || !held.isOwn(n) || l.offset != held.offset {
		return 0
	}
	certain := time.Duration(float64(s.leaseDuration(n)) * (1 - maxClockDrift))
	return startedAt.Add(certain).Sub(n.now)
}

// earliestLogTime returns a lower bound of the log's current time.
func (s *orders) earliestLogTime(n *Node) int64 {
	c := s.reader.clock
	return c.reading + int64(float64(n.now.Sub(c.answeredAt))*(1-maxClockDrift))
}

// claimable reports whether every other node's lease of an engine has expired.
func (s *orders) claimable(n *Node, id EngineID) bool {
	held := s.claims[id]
	return held.offset == 0 || held.isOwn(n) || s.earliestLogTime(n) >= held.expiresAt
}
