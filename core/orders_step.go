package core

import "time"

const (
	// orderTries bounds how often an order without confirmation is sent.
	orderTries = 8
	// orderAnswerWithin bounds the wait for an order's result, which may be
	// the loading of a model.
	orderAnswerWithin = 2 * time.Minute
	// orderAgainAfter is the time after which an order that was given up may
	// be wanted again.
	orderAgainAfter = time.Minute
	// renewShare is the share of a lease after which its holder renews it.
	renewShare = 0.25
)

// wantStep is how far a want has come.
type wantStep int

const (
	// wantOpen waits for a claim that holds.
	wantOpen wantStep = iota
	// wantSent waits for the engine's answer.
	wantSent
	// wantDone has the engine's answer, and waits to read from the log that no
	// other claim came between.
	wantDone
	// wantSettled was carried out under a claim that held. It is kept, so that
	// a report that shows another state has it repeated.
	wantSettled
	// wantGivenUp got no confirmation in all its tries.
	wantGivenUp
)

// want is an order that is to be given.
type want struct {
	order Order
	// published says that the order follows from a published pool.
	published bool
	// revision is that of the engine's pool when the order was wanted. A later
	// one takes the order's place.
	revision Revision
	step     wantStep
	// at is when the want reached its step.
	at    Instant
	tries int
}

func (w *want) move(n *Node, step wantStep) { w.step, w.at = step, n.now }

// step does what is due for a want. It runs only when a read has reached the
// end of the claims.
func (s *orders) step(n *Node, w *want) {
	id := w.order.Engine
	switch {
	case w.step == wantSettled, w.step == wantGivenUp:
	case s.lost(n, w), !s.intended(n, w):
		delete(s.wants, w.order.key())
	case !s.free(n, id):
		s.ownLease(id).awaited = true
	case w.step == wantDone:
		w.move(n, wantSettled)
		s.decide(n, id, "ordered", NoReason, 0)
	case s.occupied(n, w):
	default:
		if s.due(n, id) {
			s.claim(n, id)
		}
		s.act(n, w)
	}
}

// occupied reports whether an order has to wait because it would change an
// engine under the requests that it serves.
func (s *orders) occupied(n *Node, w *want) bool {
	b, ok := n.owner.books[w.order.Engine]
	if !ok || w.step != wantOpen || w.order.Kind == LoadAdapter {
		return false
	}
	return b.state != Draining && len(b.jobs) > 0
}

// lost reports whether another node has claimed the engine since this node
// gave its order.
func (s *orders) lost(n *Node, w *want) bool {
	held := s.claims[w.order.Engine]
	return w.order.Fencing > 0 && !held.mine(n) && held.offset > w.order.Fencing
}

// intended reports whether a want that follows from a published pool still
// does.
func (s *orders) intended(n *Node, w *want) bool {
	if !w.published {
		return true
	}
	pool, ok := s.ownedPool(n, w.order.Engine)
	if !ok {
		return false
	}
	return w.order.Role == pool.Role && w.order.Model == pool.Model
}

// due reports whether a claim is to be made or renewed. A node that waited for
// another's lease to run out first waits a little longer at random.
func (s *orders) due(n *Node, id EngineID) bool {
	l := s.ownLease(id)
	if l.awaited && !s.claims[id].mine(n) {
		l.notBefore = n.now.Add(time.Duration(n.rng.Float64() * float64(n.Settings.LogReadEvery)))
	}
	l.awaited = false
	left := float64(s.remaining(n, id))
	return left < float64(s.lease(n))*(1-renewShare)
}

// act gives an order if this node's claim allows it now.
func (s *orders) act(n *Node, w *want) {
	if w.step == wantSent {
		if n.now.Sub(w.at) > orderAnswerWithin {
			s.unconfirmed(n, w)
		}
		return
	}
	if s.underWay(w.order.Engine) || !s.mayOrder(n, w.order.Engine) {
		return
	}
	w.order.Fencing = s.claims[w.order.Engine].offset
	w.tries++
	w.move(n, wantSent)
	s.send(n, w.order)
}

// underWay reports whether an order to an engine waits for its answer.
func (s *orders) underWay(id EngineID) bool {
	for key, w := range s.wants {
		if key.engine == id && w.step == wantSent {
			return true
		}
	}
	return false
}

// send gives an order. The check stands under AtMostOnce, because an order that
// leaves without a claim that holds is one that two nodes may give.
func (s *orders) send(n *Node, o Order) {
	held := s.claims[o.Engine]
	ok := held.mine(n) && held.offset == o.Fencing && s.mayOrder(n, o.Engine)
	n.require(AtMostOnce, ok, "an order leaves without a claim that holds: "+string(o.Engine))
	n.do(SendOrder{Order: o})
	s.decide(n, o.Engine, "order", NoReason, 0)
}

// mayOrder reports whether this node may order an engine about now. An engine
// that ignores fencing takes an order whenever it lands, so the lease has to
// outlast the flight of an order, and the orders of earlier holders have to
// have landed.
func (s *orders) mayOrder(n *Node, id EngineID) bool {
	held := s.claims[id]
	if !held.mine(n) || !s.reader.caughtUp || s.reader.sentAt < n.resumedAt {
		return false
	}
	if s.fenced(n, id) {
		return s.remaining(n, id) > 0
	}
	flight := n.Settings.OrderFlight
	landed := s.logTime(n) >= held.othersUntil+int64(flight)
	runs := s.reader.clock.latest(n.now) < held.until-int64(flight)
	return landed && runs && s.remaining(n, id) > flight
}

// fenced reports whether an engine refuses orders with an old number.
func (s *orders) fenced(n *Node, id EngineID) bool {
	pool, ok := n.config.pool(n.owner.upstreams[id].Pool)
	return ok && pool.Fenced
}

// sent returns the want whose order is in flight.
func (s *orders) sent(o Order) (*want, bool) {
	w, ok := s.wants[o.key()]
	return w, ok && w.step == wantSent && w.order == o
}

// done takes in that an engine carried out an order.
func (s *orders) done(n *Node, m OrderDone) {
	if w, ok := s.sent(m.Order); ok {
		w.move(n, wantDone)
		s.reader.poll(n)
	}
}

// failed takes in that an order got no confirmation. A refusal of its number
// means that another holder came later.
func (s *orders) failed(n *Node, m OrderFailed) {
	w, ok := s.sent(m.Order)
	if !ok {
		return
	}
	if m.Refused {
		s.decide(n, m.Order.Engine, "order-refused", NoReason, n.now.Sub(w.at))
		delete(s.wants, w.order.key())
		s.ownLease(m.Order.Engine).drop(n.now.Add(n.jitter(s.lease(n))))
		return
	}
	s.unconfirmed(n, w)
}

// unconfirmed has an order repeated, or given up after its last try.
func (s *orders) unconfirmed(n *Node, w *want) {
	if w.tries < orderTries {
		w.move(n, wantOpen)
		return
	}
	w.move(n, wantGivenUp)
	s.decide(n, w.order.Engine, "order-refused", UpstreamFailed, 0)
}
