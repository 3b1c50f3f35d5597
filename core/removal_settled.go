package core

// expiringEntry is an entry that was removed from the store during or right after an outage of
// it. Its removal was read at the position at, and it counts until the instant until.
type expiringEntry struct {
	at    feedPosition
	until Instant
}

// SettledRemovals says that the sender keeps no upstream that the store had removed up to the
// offset Through of its era Era. The zero value says nothing.
type SettledRemovals struct {
	Era     StoreEra
	Through Offset
}

// settledRemovals returns the removals that this node reports as final: it has seen no outage of the
// store within the time in which live upstreams renew their entries.
func (s *instanceFeed) settledRemovals(n *Node) SettledRemovals {
	outage := s.outageAt != 0 && n.now.Sub(s.outageAt) < renewalGrace
	if !s.loaded || outage || len(s.expiring) > 0 || s.position.era != s.latestEra || !s.steady(n) {
		return SettledRemovals{}
	}
	return SettledRemovals{Era: s.position.era, Through: s.position.offset}
}

// handleSettled drops the removed entries that a peer has dropped. Either only this node had lost the
// store, or the outage has been over for longer than this node knows.
func (s *instanceFeed) handleSettled(n *Node, m SettledRemovals) {
	s.dropExpiring(n, func(e expiringEntry) bool { return e.at.era == m.Era && e.at.offset <= m.Through })
}

// removeExpired removes entries that were not renewed in time after an outage.
func (s *instanceFeed) removeExpired(n *Node) {
	if s.storeUnreachable && !s.steady(n) {
		return
	}
	s.dropExpiring(n, func(e expiringEntry) bool { return n.now > e.until })
}

// dropExpiring drops the removed entries that are over.
func (s *instanceFeed) dropExpiring(n *Node, over func(expiringEntry) bool) {
	changed := false
	for id, e := range s.expiring {
		if over(e) {
			delete(s.expiring, id)
			s.drop(id)
			delete(s.changedAt, id)
			changed = true
		}
	}
	if changed {
		s.publish(n)
	}
}

// drop removes an entry whose removal is final.
func (s *instanceFeed) drop(id EngineID) {
	if old, ok := s.entries[id]; ok {
		s.left[id] = old.Born
		delete(s.entries, id)
	}
}
