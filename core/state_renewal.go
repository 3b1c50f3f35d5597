package core

// scheduleRenewal has the readers renew their waiting reads, in case these hang on all
// nodes. It sets a new timer each time because StateDelay may have changed.
func (s *stateSpread) scheduleRenewal(n *Node) {
	period := fractionOf(n.Settings.StateDelay, stateReaderFraction)
	n.afterFunc(period, func(n *Node) {
		if n.forward.stateKnown && n.now.Sub(s.storeAt) >= period && n.readerRank() < feedReaders {
			n.do(RenewStateRead{})
		}
		s.scheduleRenewal(n)
	})
}

// renewHung renews the read of the store if the store has not begun to answer it since this
// node learned that there is a later version. It repeats itself while this node lacks one.
func (s *stateSpread) renewHung(n *Node, learnedAt Instant) {
	behind := n.forward.lag.behind()
	hung := s.storeAt < learnedAt
	if hung {
		n.do(RenewStateRead{Latest: behind})
	}
	if s.renewing = hung && behind; s.renewing {
		s.scheduleRenewHung(n, learnedAt)
	}
}

func (s *stateSpread) scheduleRenewHung(n *Node, learnedAt Instant) {
	n.afterFunc(fractionOf(n.Settings.StateDelay, stateRenewFraction), func(n *Node) { s.renewHung(n, learnedAt) })
}
