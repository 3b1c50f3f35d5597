package core

const (
	// relayCount is how many members are asked to send a heartbeat to one that does
	// not answer.
	relayCount = 2
	// retryDeadEvery is how many periods lie between two heartbeats to nodes that are
	// not believed to be alive. They let the sides of a network partition find each
	// other again.
	retryDeadEvery = 4
	// maxInitialHeartbeats bounds the heartbeats sent at once to new candidates.
	maxInitialHeartbeats = 4
)

// probe is a heartbeat whose answer is outstanding.
type probe struct {
	target      NodeID
	incarnation Incarnation
}

// detector detects failed members by heartbeats, as SWIM does. In each period it
// sends one heartbeat to the next member of a shuffled list, so the load does not
// grow with the number of members.
type detector struct {
	sequence uint64
	probes   map[uint64]probe
	targets  []NodeID
	periods  int
}

func (d *detector) start(n *Node) {
	d.probes = map[uint64]probe{}
	n.every(n.Settings.HeartbeatEvery, func(n *Node) { d.runPeriod(n) })
}

func (d *detector) runPeriod(n *Node) {
	d.periods++
	if id, ok := d.nextTarget(n); ok {
		d.sendProbe(n, id)
	}
	if d.periods%retryDeadEvery == 0 {
		d.retryDead(n)
	}
}

// nextTarget removes the next live member from the shuffled list, which it refills
// when it is empty.
func (d *detector) nextTarget(n *Node) (NodeID, bool) {
	for range 2 {
		for len(d.targets) > 0 {
			id := d.targets[0]
			d.targets = d.targets[1:]
			if m, ok := n.members.byID[id]; ok && m.alive() {
				return id, true
			}
		}
		d.targets = n.members.sample(n, len(n.members.byID))
		n.rng.Shuffle(len(d.targets), func(i, j int) { d.targets[i], d.targets[j] = d.targets[j], d.targets[i] })
	}
	return "", false
}

// retryDead sends a heartbeat to one node of the VM list that is not believed to be
// alive.
func (d *detector) retryDead(n *Node) {
	var ids []NodeID
	for _, id := range sortedKeys(n.members.byID) {
		if _, listed := n.members.listed[id]; listed && !n.members.byID[id].alive() {
			ids = append(ids, id)
		}
	}
	if len(ids) > 0 {
		d.sendHeartbeat(n, ids[n.rng.IntN(len(ids))])
	}
}

// sendHeartbeat sends a heartbeat and returns its sequence number.
func (d *detector) sendHeartbeat(n *Node, to NodeID) uint64 {
	d.sequence++
	n.send(to, Heartbeat{
		Sequence: d.sequence, Updates: n.members.updatesFor(n, to), ConfigOffset: n.stateOffset(), KnownOffset: n.knownStateOffset(), Proof: n.stateProof(),
		Settled: n.feed.settledRemovals(n),
	})
	return d.sequence
}

// sendProbe sends a heartbeat and schedules what follows if it is not answered:
// heartbeats through relays first, then a suspicion.
func (d *detector) sendProbe(n *Node, to NodeID) {
	sequence := d.sendHeartbeat(n, to)
	d.probes[sequence] = probe{target: to, incarnation: n.members.byID[to].incarnation}
	n.afterFunc(n.Settings.SuspectAfter/2, func(n *Node) { d.requestIndirectHeartbeats(n, sequence) })
	n.afterFunc(n.Settings.SuspectAfter, func(n *Node) { d.probeTimedOut(n, sequence) })
}

// requestIndirectHeartbeats asks other members to send a heartbeat to a member that
// has not answered: the direct connection alone may have failed.
func (d *detector) requestIndirectHeartbeats(n *Node, sequence uint64) {
	p, waiting := d.probes[sequence]
	if !waiting {
		return
	}
	asked := 0
	for _, id := range n.members.sample(n, relayCount+1) {
		if id == p.target || asked == relayCount {
			continue
		}
		asked++
		n.send(id, HeartbeatRequest{Target: p.target, Sequence: sequence})
	}
}

// probeTimedOut marks a member that has not answered a heartbeat as suspect.
func (d *detector) probeTimedOut(n *Node, sequence uint64) {
	p, waiting := d.probes[sequence]
	if !waiting {
		return
	}
	delete(d.probes, sequence)
	m, ok := n.members.byID[p.target]
	if !ok || m.incarnation != p.incarnation || !m.alive() || m.status == Suspect {
		return
	}
	n.members.setStatus(n, m, Suspect)
}

// expireSuspicion marks a suspect member as dead unless it refutes the suspicion
// within DeadAfter.
func (s *members) expireSuspicion(n *Node, m *member) {
	incarnation, sequence, since := m.incarnation, m.sequence, m.changedAt
	n.afterFunc(n.Settings.DeadAfter, func(n *Node) {
		same := m.incarnation == incarnation && m.sequence == sequence && m.changedAt == since
		if same && m.status == Suspect {
			s.setStatus(n, m, Dead)
		}
	})
}

func (s *members) handleHeartbeat(n *Node, from NodeID, m Heartbeat) {
	s.applyUpdates(n, m.Updates)
	n.handleStateOffset(from, m.ConfigOffset, m.KnownOffset, m.Proof)
	n.feed.handleSettled(n, m.Settled)
	s.recordConfigOffset(from, m.ConfigOffset)
	n.send(from, HeartbeatAck{
		Sequence: m.Sequence, OnBehalfOf: m.OnBehalfOf, Updates: s.updatesFor(n, from),
		ConfigOffset: n.stateOffset(), KnownOffset: n.knownStateOffset(), Proof: n.stateProof(), Spare: n.spare(),
		Settled: n.feed.settledRemovals(n),
	})
}

// handleAck handles the answer to a heartbeat and passes it on if the heartbeat was
// sent on behalf of another node.
func (s *members) handleAck(n *Node, from NodeID, m HeartbeatAck) {
	s.applyUpdates(n, m.Updates)
	if m.OnBehalfOf != "" && m.OnBehalfOf != n.Self.ID {
		n.send(m.OnBehalfOf, m)
		return
	}
	n.forward.proof.handleAck(m.Sequence)
	n.handleStateOffset(from, m.ConfigOffset, m.KnownOffset, m.Proof)
	n.feed.handleSettled(n, m.Settled)
	s.recordAck(from, m)
}

// recordAck records what a member's answer says about the member itself. An answer
// that came through a relay describes the target of the heartbeat, not the relay.
func (s *members) recordAck(from NodeID, m HeartbeatAck) {
	s.poll.handleAck(m.Sequence)
	p, waiting := s.detector.probes[m.Sequence]
	if waiting {
		delete(s.detector.probes, m.Sequence)
		from = p.target
	}
	if waiting || m.OnBehalfOf == "" {
		s.recordConfigOffset(from, m.ConfigOffset)
		s.recordSpare(from, m.Spare)
	}
}

func (s *members) recordConfigOffset(id NodeID, offset Offset) {
	if m, ok := s.byID[id]; ok {
		m.configOffset = offset
	}
}

func (s *members) recordSpare(id NodeID, spare float64) {
	if m, ok := s.byID[id]; ok {
		m.spareCapacity = spare
	}
}

// handleHeartbeatRequest sends a heartbeat to a member on behalf of another node.
func (s *members) handleHeartbeatRequest(n *Node, from NodeID, m HeartbeatRequest) {
	n.send(m.Target, Heartbeat{
		Sequence: m.Sequence, OnBehalfOf: from,
		Updates: s.updatesFor(n, m.Target), ConfigOffset: n.stateOffset(), KnownOffset: n.knownStateOffset(), Proof: n.stateProof(),
		Settled: n.feed.settledRemovals(n),
	})
}

// applyUpdates applies the updates of a message, whose number it bounds.
func (s *members) applyUpdates(n *Node, updates []MemberUpdate) {
	for _, u := range updates[:min(len(updates), 2*maxUpdatesPerMessage)] {
		s.applyUpdate(n, u)
	}
}
