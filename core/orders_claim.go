package core

import "time"

// engineClaim is the claim that holds an engine, by the log's times alone, so
// that every reader comes to the same.
type engineClaim struct {
	holder      NodeID
	incarnation Incarnation
	offset      Offset
	// until is the log's time at which the lease runs out.
	until int64
	// othersUntil is when the lease of the last other holder ran out.
	othersUntil int64
}

// mine reports whether this start of this node made the claim.
func (c engineClaim) mine(n *Node) bool {
	return c.offset > 0 && c.holder == n.Self.ID && c.incarnation == n.Incarnation
}

// ownLease is this node's claiming of one engine.
type ownLease struct {
	ticket    Ticket
	appending bool
	// sent holds when the appends that are not read back yet were sent. Any of
	// them may be in the log, or come there later. The oldest is taken for the
	// next claim read back: as many appends were sent before it as claims were
	// read back, so the lease is never counted from too late.
	sent []Instant
	// from is when the append of the claim that holds was sent, if known.
	from Option[Instant]
	// offset is the claim that from belongs to.
	offset Offset
	// notBefore is the earliest time of the next append.
	notBefore Instant
	// awaited is set while another's lease has to run out first.
	awaited bool
}

// lease returns the length of a lease. It leaves room for an order in flight.
func (s *orders) lease(n *Node) time.Duration {
	return max(n.Settings.ClaimLease, 2*n.Settings.OrderFlight)
}

func (s *orders) ownLease(id EngineID) *ownLease { return made(s.leases, id) }

// fold takes in a claim. A claim made while another's lease runs is void.
func (s *orders) fold(n *Node, r LogRecord, c EngineClaim) {
	held := s.claims[c.Engine]
	same := held.holder == c.Holder && held.incarnation == c.Incarnation
	next := engineClaim{
		holder: c.Holder, incarnation: c.Incarnation, offset: r.Offset,
		until: r.At + int64(c.Lease), othersUntil: held.othersUntil,
	}
	if !same {
		next.othersUntil = held.until
	}
	holds := same || r.At >= held.until
	if next.mine(n) {
		s.ownLease(c.Engine).readBack(r.Offset, holds)
	}
	if holds {
		s.claims[c.Engine] = next
	}
}

// readBack takes in that one of this node's claims is in the log.
func (l *ownLease) readBack(offset Offset, holds bool) {
	from := None[Instant]()
	if len(l.sent) > 0 {
		from = Some(l.sent[0])
		l.sent = l.sent[1:]
	}
	if holds {
		l.from, l.offset = from, offset
	}
}

// drop has the next order wait for a claim made after an instant.
func (l *ownLease) drop(after Instant) {
	l.from = None[Instant]()
	l.notBefore = max(l.notBefore, after)
}

// claim appends a claim of an engine, unless an append is in flight.
func (s *orders) claim(n *Node, id EngineID) {
	l := s.ownLease(id)
	if l.appending || n.now < l.notBefore {
		return
	}
	l.appending = true
	l.ticket = n.nextTicket()
	l.sent = append(l.sent, n.now)
	n.do(AppendLog{Ticket: l.ticket, Stream: ClaimStream, Records: []Record{EngineClaim{
		Engine: id, Holder: n.Self.ID, Incarnation: n.Incarnation, Lease: s.lease(n),
	}}})
	s.decide(n, id, "claim", NoReason, 0)
}

// appending returns the lease whose append has a ticket.
func (s *orders) appending(ticket Ticket) (*ownLease, bool) {
	for _, l := range s.leases {
		if l.appending && l.ticket == ticket {
			return l, true
		}
	}
	return nil, false
}

func (s *orders) appended(n *Node, m LogAppended) {
	l, ok := s.appending(m.Ticket)
	if !ok {
		return
	}
	l.appending = false
	s.reader.poll(n)
}

// appendFailed takes in that an append got no confirmation. It counts as
// appended unless the log is known not to have it.
func (s *orders) appendFailed(n *Node, m LogAppendFailed) {
	l, ok := s.appending(m.Ticket)
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

// remaining returns how long this node's lease of an engine surely still runs
// by its own clock. It counts from when the append was sent, which was before
// the log's time of the claim.
func (s *orders) remaining(n *Node, id EngineID) time.Duration {
	l := s.ownLease(id)
	from, known := l.from.Get()
	held := s.claims[id]
	if !known || !held.mine(n) || l.offset != held.offset {
		return 0
	}
	sure := time.Duration(float64(s.lease(n)) * (1 - clockMargin))
	return from.Add(sure).Sub(n.now)
}

// logTime returns a time that the log's clock has surely passed.
func (s *orders) logTime(n *Node) int64 {
	c := s.reader.clock
	return c.read + int64(float64(n.now.Sub(c.answeredAt))*(1-clockMargin))
}

// free reports whether no other node's lease of an engine can still run.
func (s *orders) free(n *Node, id EngineID) bool {
	held := s.claims[id]
	return held.offset == 0 || held.mine(n) || s.logTime(n) >= held.until
}
