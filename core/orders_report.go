package core

// report compares an engine with what it was ordered to be and with what its
// published pool says, and wants an order where they differ. An engine that holds
// a caller's memory is left as it is unless it drains.
func (s *orders) report(n *Node, m EngineReport) {
	if len(m.Held) > 0 && m.State != Draining {
		return
	}
	for _, key := range s.sortedWants() {
		if key.engine == m.Engine {
			s.compare(n, s.wants[key], m)
		}
	}
	s.follow(n, m)
}

// compare has a settled order repeated under a fresh claim if the engine shows
// another state, because an earlier holder's order landed late.
func (s *orders) compare(n *Node, w *want, m EngineReport) {
	age := n.now.Sub(w.at)
	switch {
	case w.step == wantGivenUp && age > orderAgainAfter:
		delete(s.wants, w.order.key())
	case w.step == wantSettled && age > n.Settings.PollEvery && !w.order.shownBy(m):
		w.tries = 0
		w.move(n, wantOpen)
		s.ownLease(m.Engine).drop(n.now)
		s.begin(n)
	}
}

// shownBy reports whether an engine is as ordered. Reports do not show
// adapters.
func (o Order) shownBy(m EngineReport) bool {
	switch o.Kind {
	case SetRole:
		return m.Role == o.Role
	case LoadModel:
		return m.Model == o.Model
	case LoadAdapter:
	}
	return true
}

// follow wants the orders by which an engine becomes what its published pool
// says.
func (s *orders) follow(n *Node, m EngineReport) {
	pool, ok := s.ownedPool(n, m.Engine)
	if !ok || n.leaving || !n.config.fresh(n) {
		return
	}
	for _, kind := range []OrderKind{SetRole, LoadModel} {
		o := Order{Engine: m.Engine, Kind: kind, Role: pool.Role, Model: pool.Model}
		if !o.shownBy(m) && s.replaces(n, o) {
			s.want(n, o, true)
		}
	}
}

// replaces reports whether no order of the same kind is known that is as late
// as the published pool. One that is in flight is waited for.
func (s *orders) replaces(n *Node, o Order) bool {
	w, ok := s.wants[o.key()]
	if !ok {
		return true
	}
	pool, _ := n.config.folded.Pool(n.owner.upstreams[o.Engine].Pool)
	return w.step != wantSent && w.revision < pool.Revision
}

// ownedPool returns the published pool of an engine whose books this node
// owns.
func (s *orders) ownedPool(n *Node, id EngineID) (Pool, bool) {
	g, grouped := n.owner.groupOf[id]
	u := n.owner.upstreams[id]
	if !grouped || u.Leaving || n.groupOwner(g) != n.Self.ID {
		return Pool{}, false
	}
	return n.config.pool(u.Pool)
}
