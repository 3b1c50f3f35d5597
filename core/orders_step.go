package core

import "time"

const (
	// maxOrderTries is how many times an order without confirmation is sent.
	maxOrderTries = 8
	// orderAnswerTimeout bounds the wait for the result of an order, which may
	// have to load a model.
	orderAnswerTimeout = 2 * time.Minute
	// abandonedOrderExpiry is the time after which an abandoned order may be
	// requested again.
	abandonedOrderExpiry = time.Minute
	// leaseRenewShare is the share of a lease after which its holder renews it.
	leaseRenewShare = 0.25
)

// orderStep is the progress of a tracked order.
type orderStep int

const (
	// orderOpen orders wait for a valid claim.
	orderOpen orderStep = iota
	// orderSent orders wait for the engine's reply.
	orderSent
	// orderConfirmed orders have the engine's reply and wait for a log read that
	// shows that no other node has claimed the engine meanwhile.
	orderConfirmed
	// orderSettled orders were carried out under a valid claim. They are kept, so
	// that they can be repeated if a report shows another state.
	orderSettled
	// orderAbandoned orders got no confirmation in any of their tries.
	orderAbandoned
)

// trackedOrder is an order that this node was asked to send, with its progress.
type trackedOrder struct {
	order Order
	// published is set if the order follows from a published pool.
	published bool
	// revision is the revision of the engine's pool when the order was requested.
	// An order for a later revision replaces this one.
	revision Revision
	step     orderStep
	// at is when the order reached its current step.
	at    Instant
	tries int
}

func (t *trackedOrder) setStep(n *Node, step orderStep) { t.step, t.at = step, n.now }

// advance performs the next step of an order. It is called only after a read that
// reached the end of the claims.
func (s *orders) advance(n *Node, t *trackedOrder) {
	id := t.order.Engine
	switch {
	case t.step == orderSettled, t.step == orderAbandoned:
	case s.claimLost(n, t), !s.stillIntended(n, t):
		delete(s.tracked, t.order.key())
	case !s.claimable(n, id):
		s.ownLease(id).waitedForOther = true
	case t.step == orderConfirmed:
		t.setStep(n, orderSettled)
		s.logStep(n, id, "ordered", NoReason, 0)
	case s.engineBusy(n, t):
	default:
		if s.claimDue(n, id) {
			s.claim(n, id)
		}
		s.sendIfAllowed(n, t)
	}
}

// engineBusy reports whether an order has to wait because it would change an engine
// that is serving requests.
func (s *orders) engineBusy(n *Node, t *trackedOrder) bool {
	b, ok := n.owner.allocationTables[t.order.Engine]
	if !ok || t.step != orderOpen || t.order.Kind == LoadAdapter {
		return false
	}
	return b.state != Draining && len(b.jobs) > 0
}

// claimLost reports whether another node has claimed the engine since this node
// sent its order.
func (s *orders) claimLost(n *Node, t *trackedOrder) bool {
	held := s.claims[t.order.Engine]
	return t.order.Fencing > 0 && !held.isOwn(n) && held.offset > t.order.Fencing
}

// stillIntended reports whether an order that follows from a published pool still
// agrees with that pool.
func (s *orders) stillIntended(n *Node, t *trackedOrder) bool {
	if !t.published {
		return true
	}
	pool, ok := s.ownedPool(n, t.order.Engine)
	if !ok {
		return false
	}
	return t.order.Role == pool.Role && t.order.Model == pool.Model
}

// claimDue reports whether a claim has to be made or renewed. A node that waited
// for another node's lease to expire delays its claim by a random jitter.
func (s *orders) claimDue(n *Node, id EngineID) bool {
	l := s.ownLease(id)
	if l.waitedForOther && !s.claims[id].isOwn(n) {
		l.notBefore = n.now.Add(time.Duration(n.rng.Float64() * float64(n.Settings.LogReadEvery)))
	}
	l.waitedForOther = false
	left := float64(s.remaining(n, id))
	return left < float64(s.leaseDuration(n))*(1-leaseRenewShare)
}

// sendIfAllowed sends an order if this node's claim allows it now, and handles the
// timeout of an order in flight.
func (s *orders) sendIfAllowed(n *Node, t *trackedOrder) {
	if t.step == orderSent {
		if n.now.Sub(t.at) > orderAnswerTimeout {
			s.unconfirmed(n, t)
		}
		return
	}
	if s.inFlight(t.order.Engine) || !s.mayOrder(n, t.order.Engine) {
		return
	}
	t.order.Fencing = s.claims[t.order.Engine].offset
	t.tries++
	t.setStep(n, orderSent)
	s.send(n, t.order)
}

// inFlight reports whether any order to an engine is waiting for its reply.
func (s *orders) inFlight(id EngineID) bool {
	for key, t := range s.tracked {
		if key.engine == id && t.step == orderSent {
			return true
		}
	}
	return false
}

// send sends an order. It checks the AtMostOnce invariant, because an order sent
// without a valid claim may be sent by two nodes.
func (s *orders) send(n *Node, o Order) {
	held := s.claims[o.Engine]
	ok := held.isOwn(n) && held.offset == o.Fencing && s.mayOrder(n, o.Engine)
	n.checkInvariant(AtMostOnce, ok, "order sent without a valid claim: "+string(o.Engine))
	n.do(SendOrder{Order: o})
	s.logStep(n, o.Engine, "order", NoReason, 0)
}

// mayOrder reports whether this node may send orders to an engine now. An engine
// that ignores fencing tokens carries out an order whenever it arrives. For such an
// engine the lease has to outlast the flight time of the order, and the orders of
// earlier holders must have arrived.
func (s *orders) mayOrder(n *Node, id EngineID) bool {
	held := s.claims[id]
	if !held.isOwn(n) || !s.reader.caughtUp || s.reader.sentAt < n.resumedAt {
		return false
	}
	if s.enforcesFencing(n, id) {
		return s.remaining(n, id) > 0
	}
	flight := n.Settings.OrderFlight
	earlierArrived := s.earliestLogTime(n) >= held.otherExpiresAt+int64(flight)
	leaseRuns := s.reader.clock.latest(n.now) < held.expiresAt-int64(flight)
	return earlierArrived && leaseRuns && s.remaining(n, id) > flight
}

// enforcesFencing reports whether an engine rejects orders with an old fencing
// token.
func (s *orders) enforcesFencing(n *Node, id EngineID) bool {
	pool, ok := n.config.pool(n.owner.upstreams[id].Pool)
	return ok && pool.Fenced
}

// inFlightOrder returns the tracked order that is in flight and equals o.
func (s *orders) inFlightOrder(o Order) (*trackedOrder, bool) {
	t, ok := s.tracked[o.key()]
	return t, ok && t.step == orderSent && t.order == o
}

// handleOrderDone handles an engine's confirmation of an order.
func (s *orders) handleOrderDone(n *Node, m OrderDone) {
	if t, ok := s.inFlightOrder(m.Order); ok {
		t.setStep(n, orderConfirmed)
		s.reader.poll(n)
	}
}

// handleOrderFailed handles an order that the engine did not confirm. If the engine
// rejected its fencing token, another node has claimed the engine since.
func (s *orders) handleOrderFailed(n *Node, m OrderFailed) {
	t, ok := s.inFlightOrder(m.Order)
	if !ok {
		return
	}
	if m.StaleFencing {
		s.logStep(n, m.Order.Engine, "order-refused", NoReason, n.now.Sub(t.at))
		delete(s.tracked, t.order.key())
		s.ownLease(m.Order.Engine).discard(n.now.Add(n.jitter(s.leaseDuration(n))))
		return
	}
	s.unconfirmed(n, t)
}

// unconfirmed lets an order be sent again, or abandons it after its last try.
func (s *orders) unconfirmed(n *Node, t *trackedOrder) {
	if t.tries < maxOrderTries {
		t.setStep(n, orderOpen)
		return
	}
	t.setStep(n, orderAbandoned)
	s.logStep(n, t.order.Engine, "order-refused", UpstreamFailed, 0)
}
