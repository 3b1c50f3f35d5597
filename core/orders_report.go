package core

// handleReport compares an engine's report with the orders sent to it and with its
// published pool, and requests orders where they differ. An engine that holds
// allocations is left unchanged unless it is draining.
func (s *orders) handleReport(n *Node, m EngineReport) {
	if len(m.Held) > 0 && m.State != Draining {
		return
	}
	for _, key := range s.sortedOrderKeys() {
		if key.engine == m.Engine {
			s.checkSettled(n, s.tracked[key], m)
		}
	}
	s.followPool(n, m)
}

// checkSettled repeats a settled order under a new claim if the engine reports
// another state, because an order of an earlier holder arrived late. It also
// forgets an abandoned order after abandonedOrderExpiry, so that the order may be
// requested again.
func (s *orders) checkSettled(n *Node, t *trackedOrder, m EngineReport) {
	age := n.now.Sub(t.at)
	switch {
	case t.step == orderAbandoned && age > abandonedOrderExpiry:
		delete(s.tracked, t.order.key())
	case t.step == orderSettled && age > n.Settings.PollEvery && !t.order.matches(m):
		t.tries = 0
		t.setStep(n, orderOpen)
		s.ownLease(m.Engine).discard(n.now)
		s.startTailing(n)
	}
}

// matches reports whether an engine's report agrees with an order. Reports do not
// include adapters, so orders to load one always match.
func (o Order) matches(m EngineReport) bool {
	switch o.Kind {
	case SetRole:
		return m.Role == o.Role
	case LoadModel:
		return m.Model == o.Model
	case LoadAdapter:
	}
	return true
}

// followPool requests the orders that bring an engine to the role and model of its
// published pool.
func (s *orders) followPool(n *Node, m EngineReport) {
	pool, ok := s.ownedPool(n, m.Engine)
	if !ok || n.leaving || !n.config.fresh(n) {
		return
	}
	for _, kind := range []OrderKind{SetRole, LoadModel} {
		o := Order{Engine: m.Engine, Kind: kind, Role: pool.Role, Model: pool.Model}
		if !o.matches(m) && s.needsOrder(n, o) {
			s.track(n, o, true)
		}
	}
}

// needsOrder reports whether the published pool calls for a new order: no order
// with the same key is tracked, or the tracked one is from an earlier revision of
// the pool and is not in flight.
func (s *orders) needsOrder(n *Node, o Order) bool {
	t, ok := s.tracked[o.key()]
	if !ok {
		return true
	}
	pool, _ := n.config.folded.Pool(n.owner.upstreams[o.Engine].Pool)
	return t.step != orderSent && t.revision < pool.Revision
}

// ownedPool returns the published pool of an engine whose group this node owns.
func (s *orders) ownedPool(n *Node, id EngineID) (Pool, bool) {
	g, grouped := n.owner.groupByEngine[id]
	u := n.owner.upstreams[id]
	if !grouped || u.Leaving || n.groupOwner(g) != n.Self.ID {
		return Pool{}, false
	}
	return n.config.pool(u.Pool)
}
