package core

import (
	"math/bits"
	"slices"
	"time"
)

const (
	// contactsPerRegion is how many members of each other region a node knows.
	contactsPerRegion = 3
	// rememberDead is how long a dead start of a node is remembered, so that
	// late updates do not bring it back.
	rememberDead = 5 * time.Minute
	// unknownGrace is how long after its own start a node counts nodes that
	// it has never heard of as alive.
	unknownGrace = 10 * time.Second
	// maxUpdates bounds the updates in one message.
	maxUpdates = 8
	// spreadFactor times the logarithm of the number of members is how often
	// an update is passed on.
	spreadFactor = 3
)

// member is what a node believes of another.
type member struct {
	node        NodeInfo
	incarnation Incarnation
	status      MemberStatus
	sequence    uint64
	// unplaced is set when a later start was heard of by its messages alone: it may
	// have other addresses than the one before.
	unplaced bool
	// heard is set once the member was heard of, directly or through others.
	// Before that it is a mere candidate of the VM list.
	heard     bool
	changedAt Instant
	offset    Offset
	spare     float64
}

// alive reports whether the member is believed to live.
func (m *member) alive() bool { return m.heard && m.status != Dead }

// serving reports whether the member may own keys and take new work.
func (m *member) serving() bool {
	return m.alive() && m.status != Left && !m.node.Leaving
}

// present reports whether the member may take new work and is not suspected.
func (m *member) present() bool { return m.serving() && m.status == Alive }

// spreading is an update that is still to be passed on.
type spreading struct {
	node NodeID
	left int
}

// members is the node's view of the other nodes. The view is a hint: no
// promise rests on two nodes agreeing about it.
type members struct {
	byID map[NodeID]*member
	// known holds the candidates of the latest VM list.
	known  map[NodeID]NodeInfo
	spread []spreading
	// sequence orders the updates that this node spreads about itself.
	sequence uint64
	// settled is set once every live node should have been heard of.
	settled bool

	// widest is the largest number of nodes that the VM list has shown, with
	// this one. Shares of a common budget are cut by it, because nodes that
	// cannot be seen may still spend theirs.
	widest         int
	own            NodeID
	ownIncarnation Incarnation
	// pendingChange is set while a call of the owner's reconcile is due.
	pendingChange bool
	detector      detector
	list          vmListState
	ranks         ranks
}

func (s *members) start(n *Node) {
	s.byID = map[NodeID]*member{}
	s.known = map[NodeID]NodeInfo{}
	s.own, s.ownIncarnation = n.Self.ID, n.Incarnation
	n.afterFunc(unknownGrace, func(*Node) { s.settled = true })
	s.detector.start(n)
	s.list.start(n)
	n.every(rememberDead/10, func(n *Node) { s.forget(n) })
}

// heard takes in that a message of a start of a node arrived.
func (s *members) heard(n *Node, id NodeID, incarnation Incarnation) {
	m, ok := s.byID[id]
	if !ok || incarnation < m.incarnation {
		return
	}
	if incarnation == m.incarnation && m.heard {
		if m.status == Suspect {
			s.set(n, m, leftOrAlive(m.node))
		}
		return
	}
	s.restarted(n, m, incarnation)
	m.unplaced = true
}

// leftOrAlive returns the status of a live node.
func leftOrAlive(node NodeInfo) MemberStatus {
	if node.Leaving {
		return Left
	}
	return Alive
}

// restarted takes in that a later start of a member lives.
func (s *members) restarted(n *Node, m *member, incarnation Incarnation) {
	earlier := m.incarnation
	lived := m.heard && m.status != Dead
	m.incarnation = incarnation
	m.sequence = 0
	m.heard = true
	m.node.Leaving = s.known[m.node.ID].Leaving
	s.set(n, m, leftOrAlive(m.node))
	if lived {
		n.memberDied(m.node.ID, earlier)
	}
}

// set changes a member's status and spreads it.
func (s *members) set(n *Node, m *member, status MemberStatus) {
	m.status = status
	m.changedAt = n.now
	s.enqueue(m.node.ID)
	s.changed(n)
	switch status {
	case Suspect:
		s.expireSuspicion(n, m)
	case Dead:
		n.memberDied(m.node.ID, m.incarnation)
	}
}

// changed tells the owner of a change once the present message is handled.
func (s *members) changed(n *Node) {
	s.ranks.clear()
	if s.pendingChange {
		return
	}
	s.pendingChange = true
	n.afterFunc(0, func(n *Node) {
		s.pendingChange = false
		n.owner.reconcile(n)
		n.forward.ownersChanged(n)
	})
}

// update takes in what another node believes.
func (s *members) update(n *Node, u MemberUpdate) {
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

// supersedes reports whether an update is newer than what is believed.
func supersedes(u MemberUpdate, m *member) bool {
	if !m.heard {
		return u.Status != Dead || u.Incarnation > m.incarnation
	}
	if u.Incarnation != m.incarnation {
		return u.Incarnation > m.incarnation
	}
	if u.Sequence != m.sequence || m.unplaced {
		return u.Sequence >= m.sequence
	}
	return statusRank(u.Status) > statusRank(m.status)
}

// statusRank orders statuses at one sequence number.
func statusRank(s MemberStatus) int {
	return [...]int{Alive: 0, Left: 1, Suspect: 2, Dead: 3}[s]
}

func (s *members) accept(n *Node, m *member, u MemberUpdate) {
	if u.Incarnation > m.incarnation || !m.heard {
		s.restarted(n, m, u.Incarnation)
	}
	m.sequence = u.Sequence
	m.unplaced = false
	leaving := m.node.Leaving
	m.node = u.Node
	m.node.Leaving = u.Node.Leaving || u.Status == Left || leaving
	if u.Status != m.status {
		s.set(n, m, u.Status)
		return
	}
	s.enqueue(m.node.ID)
	s.changed(n)
}

// refute answers an update about this node that holds it for suspect or dead.
func (s *members) refute(n *Node, u MemberUpdate) {
	if u.Incarnation != n.Incarnation || u.Sequence < s.sequence {
		return
	}
	if u.Status == leftOrAlive(s.self(n).Node) && u.Sequence == s.sequence {
		return
	}
	s.sequence = u.Sequence + 1
	s.enqueue(n.Self.ID)
}

// self returns the update about this node.
func (s *members) self(n *Node) MemberUpdate {
	node := n.Self
	node.Leaving = n.leaving
	return MemberUpdate{
		Node: node, Incarnation: n.Incarnation, Status: leftOrAlive(node), Sequence: s.sequence,
	}
}

// leave spreads that this node takes no new work, to several members at once.
func (s *members) leave(n *Node) {
	n.leaving = true
	s.sequence++
	s.enqueue(n.Self.ID)
	s.changed(n)
	for _, id := range s.sample(n, maxUpdates) {
		s.detector.send(n, id)
	}
}

func (s *members) add(node NodeInfo) *member {
	m := &member{node: node, spare: 1}
	s.byID[node.ID] = m
	s.ranks.clear()
	return m
}

// enqueue has an update passed on for a while.
func (s *members) enqueue(id NodeID) {
	left := spreadFactor * (bits.Len(uint(len(s.byID))) + 1)
	s.spread = slices.DeleteFunc(s.spread, func(e spreading) bool { return e.node == id })
	s.spread = append(s.spread, spreading{node: id, left: left})
}

// updates returns what goes along with a message to a member: first this node
// itself, then what that member should refute, then what is least spread.
func (s *members) updates(n *Node, to NodeID) []MemberUpdate {
	updates := []MemberUpdate{s.self(n)}
	if m, ok := s.byID[to]; ok && m.heard && m.status != Alive {
		updates = append(updates, m.update())
	}
	slices.SortStableFunc(s.spread, func(a, b spreading) int { return b.left - a.left })
	for i := range s.spread {
		e := &s.spread[i]
		if len(updates) == maxUpdates {
			break
		}
		e.left--
		if m, ok := s.byID[e.node]; ok && e.node != to {
			updates = append(updates, m.update())
		}
	}
	s.spread = slices.DeleteFunc(s.spread, func(e spreading) bool { return e.left <= 0 })
	return updates
}

func (m *member) update() MemberUpdate {
	return MemberUpdate{
		Node: m.node, Incarnation: m.incarnation, Status: m.status, Sequence: m.sequence,
	}
}

// forget drops members that have been dead for long or that the VM list no
// longer shows and that were never heard of.
func (s *members) forget(n *Node) {
	for _, id := range sortedKeys(s.byID) {
		m := s.byID[id]
		_, known := s.known[id]
		old := n.now.Sub(m.changedAt) > rememberDead
		if !known && !m.alive() && (old || !m.heard) {
			delete(s.byID, id)
		}
	}
}

// alive reports whether that very start of a node is believed to live.
// Suspect members count as alive, and so do leaving ones: they finish what
// they have.
func (s *members) alive(id NodeID, incarnation Incarnation) bool {
	if id == s.own {
		return incarnation == s.ownIncarnation
	}
	m, ok := s.byID[id]
	if !ok || !m.heard {
		_, known := s.known[id]
		return known || !s.settled
	}
	if incarnation != m.incarnation {
		return incarnation > m.incarnation
	}
	return m.status != Dead
}

// incarnation returns the latest start of a node that was heard of.
func (s *members) incarnation(n *Node, id NodeID) Incarnation {
	if id == n.Self.ID {
		return n.Incarnation
	}
	if m, ok := s.byID[id]; ok {
		return m.incarnation
	}
	return 0
}

// present reports whether some start of a node is believed to live.
func (s *members) present(id NodeID) bool {
	if id == s.own {
		return true
	}
	m, ok := s.byID[id]
	return !ok || m.status != Dead
}

// size returns the number of live members, without this node.
func (s *members) size() int {
	count := 0
	for _, m := range s.byID {
		if m.alive() {
			count++
		}
	}
	return count
}

// sample returns up to count members at random, live ones first.
func (s *members) sample(n *Node, count int) []NodeID {
	ids := sortedKeys(s.byID)
	n.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	slices.SortStableFunc(ids, func(a, b NodeID) int {
		return s.byID[a].sampleRank() - s.byID[b].sampleRank()
	})
	return ids[:min(count, len(ids))]
}

func (m *member) sampleRank() int {
	switch {
	case m.alive():
		return 0
	case !m.heard:
		return 1
	default:
		return 2
	}
}

// peerAddress returns where another node takes connections from its peers.
func (s *members) peerAddress(id NodeID) (string, bool) {
	if m, ok := s.byID[id]; ok {
		return m.node.PeerAddress, true
	}
	node, ok := s.known[id]
	return node.PeerAddress, ok
}
