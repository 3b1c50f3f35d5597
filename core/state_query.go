package core

import "time"

// query asks a peer for the latest version, unless this node has it, receives it from the
// store or waits for an answer. It repeats itself until this node has the version.
func (s *stateSpread) query(n *Node) {
	if !n.forward.lag.behind() {
		s.querying = false
		return
	}
	patience := fractionOf(n.Settings.StateDelay, stateTransferFraction)
	receiving := s.receiving && n.now.Sub(s.storeAt) < patience
	waiting := s.queriedAt != 0 && !s.answered && n.now.Sub(s.queriedAt) < s.answerPatience(patience)
	if !receiving && !waiting {
		s.sendQuery(n, s.holder, StateQuery{})
	}
	n.afterFunc(max(patience/2, stateQueryGrace), func(n *Node) { s.query(n) })
}

// answerPatience returns how long this node waits for an answer: half as long once another
// peer is known to have the version.
func (s *stateSpread) answerPatience(patience time.Duration) time.Duration {
	if s.holderHasIt && s.holder != s.queried {
		return patience / 2
	}
	return patience
}

func (s *stateSpread) sendQuery(n *Node, to NodeID, q StateQuery) {
	s.queriedAt, s.queried, s.answered = n.now, to, false
	n.send(to, q)
}

// park keeps a query until this node has the version that it lacks, and reports whether it
// does. A query for the list of upstreams is answered at once.
func (s *stateSpread) park(n *Node, from NodeID, q StateQuery) bool {
	if q.Upstreams || !n.forward.lag.behind() {
		return false
	}
	if s.parked == nil {
		s.parked = Set[NodeID]{}
	}
	s.parked.Add(from)
	return true
}

// answerParked answers the parked queries with a version that has just been applied.
func (s *stateSpread) answerParked(n *Node) {
	for _, id := range sortedKeys(s.parked) {
		n.forward.answerStateQuery(n, id, StateQuery{})
	}
	clear(s.parked)
}
