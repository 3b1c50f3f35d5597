package core

import (
	"slices"
	"strings"
)

// staleAfterMissedReads is the number of missed reads of the VM list after which a
// node asks a peer for its list.
const staleAfterMissedReads = 3

// vmListState is the latest VM list. The list is published late, so it only proposes
// candidates; heartbeats decide which of them are alive.
type vmListState struct {
	list VMList
	// readAt is when the list was read from the platform, by this node or by a peer.
	readAt Instant
	loaded bool
}

func (l *vmListState) start(n *Node) {
	if n.Hosted {
		return
	}
	n.do(ReadVMList{})
	n.every(n.Settings.VMListEvery, func(n *Node) { l.refresh(n) })
}

// refresh reads the VM list, and asks a peer for its list if this node's reads have
// failed for too long.
func (l *vmListState) refresh(n *Node) {
	n.do(ReadVMList{})
	old := n.now.Sub(l.readAt) > staleAfterMissedReads*n.Settings.VMListEvery
	if l.loaded && !old && len(l.list.Upstreams) > 0 {
		return
	}
	for _, id := range n.members.sample(n, 1) {
		n.send(id, VMListQuery{})
	}
}

// applyVMList applies a VM list and reports whether its upstreams differ from those
// of the previous list. An empty list is ignored: it shows a fault of the platform.
func (s *members) applyVMList(n *Node, m VMList) (changed bool) {
	if len(m.Nodes) == 0 && len(m.Upstreams) == 0 {
		return false
	}
	before := s.list
	s.list.loaded, s.list.readAt = true, n.now
	s.list.list = VMList{Nodes: slices.Clone(m.Nodes), Upstreams: slices.Clone(m.Upstreams)}
	slices.SortFunc(s.list.list.Upstreams, func(a, b Upstream) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	old := s.listed
	s.listed = make(map[NodeID]NodeInfo, len(m.Nodes))
	for _, node := range m.Nodes {
		if node.ID != n.Self.ID {
			s.listed[node.ID] = node
			s.applyListedAddress(n, old[node.ID], node)
		}
	}
	s.maxNodes = max(s.maxNodes, len(s.listed)+1)
	s.addCandidates(n)
	if !n.Hosted {
		n.config.queryMembers(n)
	}
	return !before.loaded || !slices.Equal(before.list.Upstreams, s.list.list.Upstreams)
}

// applyListedAddress applies new addresses that the VM list shows for a node, which
// was replaced by another VM of the same name. Only a change between two lists counts,
// because members may already have sent the addresses of a later incarnation.
func (s *members) applyListedAddress(n *Node, old, node NodeInfo) {
	m, ok := s.byID[node.ID]
	if !ok || old.ID == "" || old.PeerAddress == node.PeerAddress && old.CallerAddress == node.CallerAddress {
		return
	}
	leaving, isolated := m.node.Leaving, m.node.Isolated
	m.node = node
	m.node.Leaving, m.node.Isolated = leaving, isolated
	s.scheduleReconcile(n)
}

// addCandidates makes nodes of the VM list members: all nodes of this node's region
// and a few contacts in each other region.
func (s *members) addCandidates(n *Node) {
	sent := 0
	for _, id := range s.candidateIDs(n) {
		node := s.listed[id]
		m, ok := s.byID[id]
		if !ok {
			m = s.add(node)
			if sent < maxInitialHeartbeats {
				sent++
				s.detector.sendHeartbeat(n, id)
			}
		}
		if !m.confirmed {
			m.node = node
		}
		if node.Leaving && !m.node.Leaving {
			m.node.Leaving = true
			s.scheduleReconcile(n)
		}
	}
}

// candidateIDs returns the nodes of the VM list that should be members, and drops
// contacts in other regions that are no longer needed.
func (s *members) candidateIDs(n *Node) []NodeID {
	var ids []NodeID
	remote := map[RegionID][]NodeID{}
	for _, id := range sortedKeys(s.listed) {
		region := s.listed[id].Region
		if region == n.Self.Region {
			ids = append(ids, id)
			continue
		}
		remote[region] = append(remote[region], id)
	}
	for _, region := range sortedKeys(remote) {
		ids = append(ids, s.selectContacts(n, remote[region])...)
	}
	return ids
}

// selectContacts chooses this node's contacts among the nodes of another region. It skips
// members that are known to be dead.
func (s *members) selectContacts(n *Node, ids []NodeID) []NodeID {
	byScore(ids, string(n.Self.ID))
	var chosen []NodeID
	for _, id := range ids {
		m, ok := s.byID[id]
		if ok && m.confirmed && !m.alive() {
			continue
		}
		if len(chosen) < contactsPerRegion {
			chosen = append(chosen, id)
			continue
		}
		if ok {
			delete(s.byID, id)
			s.scheduleReconcile(n)
		}
	}
	return chosen
}

// inScope reports whether a node that an update names should become a member. The VM
// list may not show it yet.
func (s *members) inScope(n *Node, node NodeInfo) bool { return node.Region == n.Self.Region }

// fromPlatform reports whether the list was read from the platform. The seed nodes in
// a node's settings form a list too, but name no upstreams.
func (l *vmListState) fromPlatform() bool { return l.loaded && len(l.list.Upstreams) > 0 }

func (s *members) handleVMListQuery(n *Node, from NodeID) {
	if s.list.fromPlatform() {
		n.send(from, VMListAnswer{List: s.list.list, Age: n.now.Sub(s.list.readAt)})
	}
}

func (s *members) handleVMListAnswer(n *Node, m VMListAnswer) {
	readAt := n.now.Add(-m.Age)
	if len(m.List.Upstreams) == 0 || s.list.fromPlatform() && readAt <= s.list.readAt {
		return
	}
	n.handleVMList(m.List)
	s.list.readAt = readAt
}

// upstreams returns the engines and plain services of the latest VM list, sorted by
// id.
func (s *members) upstreams() []Upstream { return s.list.list.Upstreams }

// upstreamAddress returns the address at which an engine or plain service accepts
// requests.
func (s *members) upstreamAddress(id EngineID) (string, bool) {
	list := s.list.list.Upstreams
	i, ok := slices.BinarySearchFunc(list, id, func(u Upstream, id EngineID) int {
		return strings.Compare(string(u.ID), string(id))
	})
	if !ok {
		return "", false
	}
	return list[i].Address, true
}
