package core

const (
	// relays is how many members are asked to try one that does not answer.
	relays = 2
	// retryDeadEvery is how many periods lie between two heartbeats to nodes
	// that are not believed to live, so that parted nodes find each other.
	retryDeadEvery = 4
	// firstHeartbeats bounds the heartbeats sent at once to new candidates.
	firstHeartbeats = 4
)

// probe is a heartbeat that waits for its answer.
type probe struct {
	target      NodeID
	incarnation Incarnation
}

// detector finds failed members by heartbeats. Each period it sends one to the
// next member of a shuffled list, whatever the number of members.
type detector struct {
	sequence uint64
	probes   map[uint64]probe
	round    []NodeID
	periods  int
}

func (d *detector) start(n *Node) {
	d.probes = map[uint64]probe{}
	n.every(n.Settings.HeartbeatEvery, func(n *Node) { d.period(n) })
}

func (d *detector) period(n *Node) {
	d.periods++
	if id, ok := d.nextTarget(n); ok {
		d.probe(n, id)
	}
	if d.periods%retryDeadEvery == 0 {
		d.retryDead(n)
	}
}

// nextTarget takes the next live member of the round.
func (d *detector) nextTarget(n *Node) (NodeID, bool) {
	for range 2 {
		for len(d.round) > 0 {
			id := d.round[0]
			d.round = d.round[1:]
			if m, ok := n.members.byID[id]; ok && m.alive() {
				return id, true
			}
		}
		d.round = n.members.sample(n, len(n.members.byID))
		n.rng.Shuffle(len(d.round), func(i, j int) { d.round[i], d.round[j] = d.round[j], d.round[i] })
	}
	return "", false
}

// retryDead sends a heartbeat to one candidate that is not believed to live.
func (d *detector) retryDead(n *Node) {
	var ids []NodeID
	for _, id := range sortedKeys(n.members.byID) {
		if _, known := n.members.known[id]; known && !n.members.byID[id].alive() {
			ids = append(ids, id)
		}
	}
	if len(ids) > 0 {
		d.send(n, ids[n.rng.IntN(len(ids))])
	}
}

// send sends a heartbeat and returns its sequence number.
func (d *detector) send(n *Node, to NodeID) uint64 {
	d.sequence++
	n.send(to, Heartbeat{
		Sequence: d.sequence, Updates: n.members.updates(n, to), ConfigOffset: n.stateOffset(),
	})
	return d.sequence
}

// probe sends a heartbeat and follows up if it stays unanswered.
func (d *detector) probe(n *Node, to NodeID) {
	sequence := d.send(n, to)
	d.probes[sequence] = probe{target: to, incarnation: n.members.byID[to].incarnation}
	n.afterFunc(n.Settings.SuspectAfter/2, func(n *Node) { d.askRelays(n, sequence) })
	n.afterFunc(n.Settings.SuspectAfter, func(n *Node) { d.missed(n, sequence) })
}

func (d *detector) askRelays(n *Node, sequence uint64) {
	p, waiting := d.probes[sequence]
	if !waiting {
		return
	}
	asked := 0
	for _, id := range n.members.sample(n, relays+1) {
		if id == p.target || asked == relays {
			continue
		}
		asked++
		n.send(id, HeartbeatRequest{Target: p.target, Sequence: sequence})
	}
}

func (d *detector) missed(n *Node, sequence uint64) {
	p, waiting := d.probes[sequence]
	if !waiting {
		return
	}
	delete(d.probes, sequence)
	m, ok := n.members.byID[p.target]
	if !ok || m.incarnation != p.incarnation || !m.alive() || m.status == Suspect {
		return
	}
	n.members.set(n, m, Suspect)
}

// expireSuspicion marks a suspect member as dead unless it refutes in time.
func (s *members) expireSuspicion(n *Node, m *member) {
	incarnation, sequence, since := m.incarnation, m.sequence, m.changedAt
	n.afterFunc(n.Settings.DeadAfter, func(n *Node) {
		same := m.incarnation == incarnation && m.sequence == sequence && m.changedAt == since
		if same && m.status == Suspect {
			s.set(n, m, Dead)
		}
	})
}

func (s *members) heartbeat(n *Node, from NodeID, m Heartbeat) {
	s.take(n, m.Updates)
	n.hearState(from, m.ConfigOffset)
	s.noteOffset(from, m.ConfigOffset)
	n.send(from, HeartbeatAck{
		Sequence: m.Sequence, OnBehalfOf: m.OnBehalfOf, Updates: s.updates(n, from),
		ConfigOffset: n.stateOffset(), Spare: n.spare(),
	})
}

func (s *members) ack(n *Node, from NodeID, m HeartbeatAck) {
	s.take(n, m.Updates)
	if m.OnBehalfOf != "" && m.OnBehalfOf != n.Self.ID {
		n.send(m.OnBehalfOf, m)
		return
	}
	n.hearState(from, m.ConfigOffset)
	s.answered(from, m)
}

// answered notes what a member's answer says of itself. An answer that came
// through a relay speaks for the member that the heartbeat was meant for.
func (s *members) answered(from NodeID, m HeartbeatAck) {
	p, waiting := s.detector.probes[m.Sequence]
	if waiting {
		delete(s.detector.probes, m.Sequence)
		from = p.target
	}
	if waiting || m.OnBehalfOf == "" {
		s.noteOffset(from, m.ConfigOffset)
		s.noteSpare(from, m.Spare)
	}
}

func (s *members) noteOffset(id NodeID, offset Offset) {
	if m, ok := s.byID[id]; ok {
		m.offset = offset
	}
}

func (s *members) noteSpare(id NodeID, spare float64) {
	if m, ok := s.byID[id]; ok {
		m.spare = spare
	}
}

// relay sends a heartbeat to a member on behalf of another node.
func (s *members) relay(n *Node, from NodeID, m HeartbeatRequest) {
	n.send(m.Target, Heartbeat{
		Sequence: m.Sequence, OnBehalfOf: from,
		Updates: s.updates(n, m.Target), ConfigOffset: n.stateOffset(),
	})
}

func (s *members) take(n *Node, updates []MemberUpdate) {
	for _, u := range updates[:min(len(updates), 2*maxUpdates)] {
		s.update(n, u)
	}
}
