package core

const (
	// silentPeersFraction is the part of StateDelay without a message of any peer after which a node
	// counts as partitioned from all of them. Peers send some four messages a second.
	silentPeersFraction = 0.5
	// pollFraction is the age of the proof, as a fraction of StateDelay, at which a node polls others:
	// a node that the store or a peer reaches has renewed it before. pollEveryFraction is the time
	// between two polls.
	pollFraction      = 0.7
	pollEveryFraction = 1.0
	// maxPolled bounds the members that are polled. A sample of 32 of 72 nodes tells a third that is
	// partitioned from a majority in 199 of 200 cases.
	maxPolled = 32
)

// keysOutdated reports whether keys may have been removed by a version that this node has had no
// chance to learn of. While the store is away for all, nobody has a recent proof, and rejecting all
// requests would serve nobody: a node that is in contact with most nodes relies on them to know of a
// later version. A node that is not may be among the few that do not know of it.
func (s *forwards) keysOutdated(n *Node) bool {
	if !n.uses(ProvenKeys) || !s.proof.olderThan(n, overdueProofFraction) {
		return false
	}
	return s.lag.behind() || n.members.inMinority(n)
}

// inMinority reports whether this node seems to be in contact with half of the nodes or fewer,
// including itself. A node that has never known another one is in contact with all.
func (s *members) inMinority(n *Node) bool {
	alive, known := 0, 1
	for _, m := range s.byID {
		if m.confirmed {
			known++
		}
		if m.alive() {
			alive++
		}
	}
	if known == 1 {
		return false
	}
	silent := n.now.Sub(s.heardAt) > fractionOf(n.Settings.StateDelay, silentPeersFraction)
	reached := 1 + float64(alive)*s.pollShare(n)
	return silent || 2*reached <= float64(known)
}

// contactPoll asks a sample of the members for a sign of life. Heartbeats find the members that a
// partition hides only one after the other, which takes longer than StateDelay.
type contactPoll struct {
	sentAt Instant
	// waiting are the members that have not answered, by the heartbeats sent to them, and answered
	// counts the others.
	waiting  map[uint64]NodeID
	answered int
	// earlier is the share that answered the poll before this one.
	earlier float64
}

// pollIfDue polls members while the proof of the keys is about to become overdue or is.
func (s *members) pollIfDue(n *Node) {
	p := &s.poll
	due := p.sentAt == 0 || p.sentAt < n.resumedAt || n.now.Sub(p.sentAt) >= fractionOf(n.Settings.StateDelay, pollEveryFraction)
	if !due || !n.forward.state.HasTenants || !n.uses(ProvenKeys) || !n.forward.proof.olderThan(n, pollFraction) {
		return
	}
	*p = contactPoll{sentAt: n.now, waiting: map[uint64]NodeID{}, earlier: s.pollShare(n)}
	for _, id := range s.sample(n, maxPolled) {
		if s.byID[id].alive() {
			p.waiting[s.detector.sendHeartbeat(n, id)] = id
		}
	}
}

// handleAck records the answer to a heartbeat, which may belong to the poll.
func (p *contactPoll) handleAck(sequence uint64) {
	if _, ok := p.waiting[sequence]; ok {
		delete(p.waiting, sequence)
		p.answered++
	}
}

// pollShare returns the share of the members believed to be alive that have answered the latest poll,
// or the one before while members have time to answer. No poll since this process was started, or
// paused, counts as one without answers.
func (s *members) pollShare(n *Node) float64 {
	p := &s.poll
	if p.sentAt == 0 || p.sentAt < n.resumedAt {
		return 0
	}
	if n.now.Sub(p.sentAt) < n.Settings.SuspectAfter {
		return p.earlier
	}
	missing := 0
	for _, id := range p.waiting {
		if m, ok := s.byID[id]; ok && m.alive() {
			missing++
		}
	}
	return float64(p.answered) / float64(max(p.answered+missing, 1))
}
