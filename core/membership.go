package core

import (
	"math/bits"
	"slices"
	"time"
)

const (
	// contactsPerRegion is how many nodes of each other region a node keeps as
	// members.
	contactsPerRegion = 3
	// deadRetention is how long a dead incarnation of a node is remembered, so
	// that late updates do not revive it.
	deadRetention = 5 * time.Minute
	// unknownGrace is how long after its own start a node treats nodes that it
	// has not learned of yet as alive.
	unknownGrace = 10 * time.Second
	// maxUpdatesPerMessage bounds the member updates sent with one message.
	maxUpdatesPerMessage = 8
	// retransmitFactor times the binary logarithm of the number of members is
	// how many times an update is sent.
	retransmitFactor = 3
)

// member is what this node knows of another node.
type member struct {
	node        NodeInfo
	incarnation Incarnation
	status      MemberStatus
	sequence    uint64
	// addressUnconfirmed is set when a later incarnation is known only from its own
	// messages, which carry no addresses: they may differ from the earlier ones.
	addressUnconfirmed bool
	// confirmed is set once a message from the member or an update about it was
	// received. Before that the member is only a candidate from the VM list.
	confirmed bool
	changedAt Instant
	// configOffset is how new the member's configuration is, and spareCapacity the
	// free fraction of its request capacity, both as it last reported.
	configOffset  Offset
	spareCapacity float64
}

// alive reports whether the member is believed to be alive. Suspect and leaving
// members count as alive.
func (m *member) alive() bool { return m.confirmed && m.status != Dead }

// serving reports whether the member may own keys and accept new requests.
func (m *member) serving() bool {
	return m.alive() && m.status != Left && !m.node.Leaving
}

// available reports whether the member may accept new requests and is not suspected.
func (m *member) available() bool { return m.serving() && m.status == Alive }

// pendingUpdate is a member update that still has to be sent sendsLeft times.
type pendingUpdate struct {
	node      NodeID
	sendsLeft int
}

// members is the node's view of the other nodes. The view is a hint: no invariant
// depends on two nodes having the same one.
type members struct {
	byID map[NodeID]*member
	// listed holds the nodes of the latest VM list, without this one.
	listed         map[NodeID]NodeInfo
	pendingUpdates []pendingUpdate
	// sequence orders the updates that this node sends about itself.
	sequence uint64
	// heardAt is when the last message of another node came, or when this one started.
	heardAt Instant
	// discoveryDone is set once this node should have learned of every live node.
	discoveryDone bool

	// maxNodes is the largest number of nodes that the VM list has shown, including
	// this one. Each node's share of a common budget is divided by it, because nodes
	// that are not visible may still spend their share.
	maxNodes       int
	own            NodeID
	ownIncarnation Incarnation
	// reconcilePending is set while a call of the owner's reconcile is scheduled.
	reconcilePending bool
	detector         detector
	poll             contactPoll
	list             vmListState
	memberCache      memberCache
}

func (s *members) start(n *Node) {
	s.byID = map[NodeID]*member{}
	s.listed = map[NodeID]NodeInfo{}
	s.own, s.ownIncarnation = n.Self.ID, n.Incarnation
	s.heardAt = n.now
	n.afterFunc(unknownGrace, func(*Node) { s.discoveryDone = true })
	s.detector.start(n)
	s.list.start(n)
	n.every(deadRetention/10, func(n *Node) { s.pruneDead(n) })
}

// messageReceived records that an incarnation of a node has sent a message. It
// clears a suspicion of that incarnation, and a later one replaces the earlier.
func (s *members) messageReceived(n *Node, id NodeID, incarnation Incarnation) {
	if id != n.Self.ID {
		s.heardAt = n.now
	}
	m, ok := s.byID[id]
	if !ok || incarnation < m.incarnation {
		return
	}
	if incarnation == m.incarnation && m.confirmed {
		if m.status == Suspect {
			s.setStatus(n, m, leftOrAlive(m.node))
		}
		return
	}
	s.applyRestart(n, m, incarnation)
	m.addressUnconfirmed = true
	n.forward.sendBlocked(n, id)
	n.forward.upstreams.sendLimits(n, id)
}

// leftOrAlive returns the status of a node that is known to be alive.
func leftOrAlive(node NodeInfo) MemberStatus {
	if node.Leaving {
		return Left
	}
	return Alive
}

// applyRestart records that an incarnation of a member is alive: the first one known or a
// later one. An earlier one that was believed to be alive is reported dead.
func (s *members) applyRestart(n *Node, m *member, incarnation Incarnation) {
	earlier := m.incarnation
	wasAlive := m.confirmed && m.status != Dead
	m.incarnation = incarnation
	m.sequence = 0
	m.confirmed = true
	m.node.Leaving = s.listed[m.node.ID].Leaving
	m.node.Isolated = false
	s.setStatus(n, m, leftOrAlive(m.node))
	if wasAlive {
		n.memberDied(m.node.ID, earlier)
	}
}

// setStatus changes a member's status and queues the update. It starts the time-out
// of a suspicion and reports a death to the rest of the node.
func (s *members) setStatus(n *Node, m *member, status MemberStatus) {
	m.status = status
	m.changedAt = n.now
	s.enqueueUpdate(m.node.ID)
	s.scheduleReconcile(n)
	switch status {
	case Suspect:
		s.expireSuspicion(n, m)
	case Dead:
		n.memberDied(m.node.ID, m.incarnation)
	}
}

// scheduleReconcile notifies the owner and the forwarding of requests of a membership
// change once the current message is handled.
func (s *members) scheduleReconcile(n *Node) {
	s.memberCache.clear()
	if s.reconcilePending {
		return
	}
	s.reconcilePending = true
	n.afterFunc(0, func(n *Node) {
		s.reconcilePending = false
		n.owner.reconcile(n)
		n.forward.ownersChanged(n)
		n.forward.keepersChanged(n)
		n.relayChoice.update(n)
	})
}

// applyUpdate applies another node's view of a member.
func (s *members) applyUpdate(n *Node, u MemberUpdate) {
	if u.Node.ID == n.Self.ID {
		s.refute(n, u)
		return
	}
	m, ok := s.byID[u.Node.ID]
	if !ok {
		if !s.inScope(n, u.Node) {
			return
		}
		m = s.add(u.Node)
	}
	if !supersedes(u, m) {
		return
	}
	s.accept(n, m, u)
}

// supersedes reports whether an update is newer than what is known of the member:
// incarnation counts first, then the sequence number, then the status. While the
// member's addresses are unconfirmed, an update with an equal sequence number is
// newer.
func supersedes(u MemberUpdate, m *member) bool {
	if !m.confirmed {
		return u.Status != Dead || u.Incarnation > m.incarnation
	}
	if u.Incarnation != m.incarnation {
		return u.Incarnation > m.incarnation
	}
	if u.Sequence != m.sequence || m.addressUnconfirmed {
		return u.Sequence >= m.sequence
	}
	return statusRank(u.Status) > statusRank(m.status)
}

// statusRank orders statuses with equal sequence numbers: the higher one wins.
func statusRank(s MemberStatus) int {
	return [...]int{Alive: 0, Left: 1, Suspect: 2, Dead: 3}[s]
}

// accept applies an update that supersedes what is known of the member. A member
// that leaves stays leaving until its next incarnation.
func (s *members) accept(n *Node, m *member, u MemberUpdate) {
	if u.Incarnation > m.incarnation || !m.confirmed {
		s.applyRestart(n, m, u.Incarnation)
	}
	m.sequence = u.Sequence
	m.addressUnconfirmed = false
	leaving, isolated := m.node.Leaving, m.node.Isolated
	m.node = u.Node
	m.node.Leaving = u.Node.Leaving || u.Status == Left || leaving
	if m.node.Isolated && !isolated {
		n.memberIsolated(m.node.ID)
	}
	if u.Status != m.status {
		s.setStatus(n, m, u.Status)
		return
	}
	s.enqueueUpdate(m.node.ID)
	s.scheduleReconcile(n)
}

// refute answers an update that contradicts this node's own status, for example a
// suspicion, by sending its own under a higher sequence number.
func (s *members) refute(n *Node, u MemberUpdate) {
	if u.Incarnation != n.Incarnation || u.Sequence < s.sequence {
		return
	}
	if u.Status == leftOrAlive(s.selfUpdate(n).Node) && u.Sequence == s.sequence {
		return
	}
	s.sequence = u.Sequence + 1
	s.enqueueUpdate(n.Self.ID)
	if u.Status == Dead && n.Hosted {
		n.forward.reportPlacesAgain(n)
	}
}

// selfUpdate returns the update that this node sends about itself.
func (s *members) selfUpdate(n *Node) MemberUpdate {
	node := n.Self
	node.Leaving, node.Isolated = n.leaving, n.isolation.isolated
	return MemberUpdate{
		Node: node, Incarnation: n.Incarnation, Status: leftOrAlive(node), Sequence: s.sequence,
	}
}

// announceLeaving notifies several members at once that this node accepts no new
// requests; they pass it on.
func (s *members) announceLeaving(n *Node) {
	n.leaving = true
	s.sequence++
	s.enqueueUpdate(n.Self.ID)
	s.scheduleReconcile(n)
	for _, id := range s.sample(n, maxUpdatesPerMessage) {
		s.detector.sendHeartbeat(n, id)
	}
}

// announceIsolation notifies several members at once, and the nodes whose requests this one
// places, that this node cannot connect to upstreams, or can again; they pass it on.
func (s *members) announceIsolation(n *Node) {
	s.sequence++
	s.enqueueUpdate(n.Self.ID)
	s.scheduleReconcile(n)
	told := SetOf(s.sample(n, maxUpdatesPerMessage)...)
	for key := range n.dispatcher.jobs {
		if key.node != n.Self.ID {
			told.Add(key.node)
		}
	}
	for _, id := range told.Sorted() {
		s.detector.sendHeartbeat(n, id)
	}
}

// add makes a node a member. Until its first report it counts as having all of its
// capacity free.
func (s *members) add(node NodeInfo) *member {
	m := &member{node: node, spareCapacity: 1}
	s.byID[node.ID] = m
	s.memberCache.clear()
	return m
}

// enqueueUpdate queues an update about a member, to be sent with the next messages.
func (s *members) enqueueUpdate(id NodeID) {
	sends := retransmitFactor * (bits.Len(uint(len(s.byID))) + 1)
	s.pendingUpdates = slices.DeleteFunc(s.pendingUpdates, func(e pendingUpdate) bool { return e.node == id })
	s.pendingUpdates = append(s.pendingUpdates, pendingUpdate{node: id, sendsLeft: sends})
}

// updatesFor returns the updates that go with a message to a member: first this node's
// own, then the one about that member if it is not seen as alive, so that it can refute
// it, then those sent least often.
func (s *members) updatesFor(n *Node, to NodeID) []MemberUpdate {
	updates := []MemberUpdate{s.selfUpdate(n)}
	if m, ok := s.byID[to]; ok && m.confirmed && m.status != Alive {
		updates = append(updates, m.update())
	}
	slices.SortStableFunc(s.pendingUpdates, func(a, b pendingUpdate) int { return b.sendsLeft - a.sendsLeft })
	for i := range s.pendingUpdates {
		e := &s.pendingUpdates[i]
		if len(updates) == maxUpdatesPerMessage {
			break
		}
		e.sendsLeft--
		if m, ok := s.byID[e.node]; ok && e.node != to {
			updates = append(updates, m.update())
		}
	}
	s.pendingUpdates = slices.DeleteFunc(s.pendingUpdates, func(e pendingUpdate) bool { return e.sendsLeft <= 0 })
	return updates
}

// update returns the update that passes on what this node knows of the member.
func (m *member) update() MemberUpdate {
	return MemberUpdate{
		Node: m.node, Incarnation: m.incarnation, Status: m.status, Sequence: m.sequence,
	}
}

// pruneDead drops members that the VM list no longer shows and that have been dead for
// longer than deadRetention or about which nothing was ever received.
func (s *members) pruneDead(n *Node) {
	for _, id := range sortedKeys(s.byID) {
		m := s.byID[id]
		_, listed := s.listed[id]
		old := n.now.Sub(m.changedAt) > deadRetention
		if !listed && !m.alive() && (old || !m.confirmed) {
			delete(s.byID, id)
		}
	}
}

// alive reports whether the given incarnation of a node is believed to be alive.
// Suspect members count as alive, and so do leaving ones, which finish their
// requests.
func (s *members) alive(id NodeID, incarnation Incarnation) bool {
	if id == s.own {
		return incarnation == s.ownIncarnation
	}
	m, ok := s.byID[id]
	if !ok || !m.confirmed {
		_, listed := s.listed[id]
		return listed || !s.discoveryDone
	}
	if incarnation != m.incarnation {
		return incarnation > m.incarnation
	}
	return m.status != Dead
}

// incarnation returns the latest known incarnation of a node, or zero.
func (s *members) incarnation(n *Node, id NodeID) Incarnation {
	if id == n.Self.ID {
		return n.Incarnation
	}
	if m, ok := s.byID[id]; ok {
		return m.incarnation
	}
	return 0
}

// possiblyAlive reports whether any incarnation of a node may be alive. Unknown nodes
// count as alive.
func (s *members) possiblyAlive(id NodeID) bool {
	if id == s.own {
		return true
	}
	m, ok := s.byID[id]
	return !ok || m.status != Dead
}

// liveCount returns the number of live members, not counting this node.
func (s *members) liveCount() int {
	count := 0
	for _, m := range s.byID {
		if m.alive() {
			count++
		}
	}
	return count
}

// sample returns up to count members at random: live ones first, then those about which
// nothing was received yet, then dead ones.
func (s *members) sample(n *Node, count int) []NodeID {
	ids := sortedKeys(s.byID)
	n.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	slices.SortStableFunc(ids, func(a, b NodeID) int {
		return s.byID[a].sampleRank() - s.byID[b].sampleRank()
	})
	return ids[:min(count, len(ids))]
}

// sampleRank orders members for sample; the lowest come first.
func (m *member) sampleRank() int {
	switch {
	case m.alive():
		return 0
	case !m.confirmed:
		return 1
	default:
		return 2
	}
}

// peerAddress returns the address at which another node accepts peer connections.
func (s *members) peerAddress(id NodeID) (string, bool) {
	if m, ok := s.byID[id]; ok {
		return m.node.PeerAddress, true
	}
	node, ok := s.listed[id]
	return node.PeerAddress, ok
}
