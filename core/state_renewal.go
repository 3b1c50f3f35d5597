package core

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
