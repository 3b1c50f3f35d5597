package core

import (
	"slices"
	"strings"
)

// listOldAfter is the number of missed reads of the VM list after which a node
// asks a peer for its list.
const listOldAfter = 3

// vmListState is the latest VM list. It comes late, so it only proposes
// members.
type vmListState struct {
	list VMList
	// readAt is when the platform gave the list, to this node or to a peer.
	readAt Instant
	have   bool
}

func (l *vmListState) start(n *Node) {
	if n.Hosted {
		return
	}
	n.do(ReadVMList{})
	n.every(n.Settings.VMListEvery, func(n *Node) { l.refresh(n) })
}

// refresh reads the VM list, and asks a peer for it if reads have failed.
func (l *vmListState) refresh(n *Node) {
	n.do(ReadVMList{})
	old := n.now.Sub(l.readAt) > listOldAfter*n.Settings.VMListEvery
	if l.have && !old && len(l.list.Upstreams) > 0 {
		return
	}
	for _, id := range n.members.sample(n, 1) {
		n.send(id, VMListQuery{})
	}
}

// vmList takes in the VM list and reports whether it shows other upstreams
// than the one before. A list without any VM is taken for a fault of the
// platform.
func (s *members) vmList(n *Node, m VMList) (changed bool) {
	if len(m.Nodes) == 0 && len(m.Upstreams) == 0 {
		return false
	}
	before := s.list
	s.list.have, s.list.readAt = true, n.now
	s.list.list = VMList{Nodes: slices.Clone(m.Nodes), Upstreams: slices.Clone(m.Upstreams)}
	slices.SortFunc(s.list.list.Upstreams, func(a, b Upstream) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	old := s.known
	s.known = make(map[NodeID]NodeInfo, len(m.Nodes))
	for _, node := range m.Nodes {
		if node.ID != n.Self.ID {
			s.known[node.ID] = node
			s.moved(n, old[node.ID], node)
		}
	}
	s.widest = max(s.widest, len(s.known)+1)
	s.propose(n)
	if !n.Hosted {
		n.config.begin(n)
	}
	return !before.have || !slices.Equal(before.list.Upstreams, s.list.list.Upstreams)
}

// moved takes in that the list shows a node at other addresses than before: it was
// replaced by a machine of the same name. Only a change in the list counts, since
// members may have told of a later start already.
func (s *members) moved(n *Node, old, node NodeInfo) {
	m, ok := s.byID[node.ID]
	if !ok || old.ID == "" || old.PeerAddress == node.PeerAddress && old.CallerAddress == node.CallerAddress {
		return
	}
	leaving := m.node.Leaving
	m.node = node
	m.node.Leaving = leaving
	s.changed(n)
}

// propose makes members of the VM list's nodes: all of the own region and a
// few contacts of each other region.
func (s *members) propose(n *Node) {
	sent := 0
	for _, id := range s.scope(n) {
		node := s.known[id]
		m, ok := s.byID[id]
		if !ok {
			m = s.add(node)
			if sent < firstHeartbeats {
				sent++
				s.detector.send(n, id)
			}
		}
		if !m.heard {
			m.node = node
		}
		if node.Leaving && !m.node.Leaving {
			m.node.Leaving = true
			s.changed(n)
		}
	}
}

// scope returns the ids that this node should know, and drops contacts in
// other regions that are no longer needed.
func (s *members) scope(n *Node) []NodeID {
	var ids []NodeID
	remote := map[RegionID][]NodeID{}
	for _, id := range sortedKeys(s.known) {
		region := s.known[id].Region
		if region == n.Self.Region {
			ids = append(ids, id)
			continue
		}
		remote[region] = append(remote[region], id)
	}
	for _, region := range sortedKeys(remote) {
		ids = append(ids, s.contacts(n, remote[region])...)
	}
	return ids
}

// contacts chooses this node's contacts among the nodes of another region.
func (s *members) contacts(n *Node, ids []NodeID) []NodeID {
	byScore(ids, string(n.Self.ID))
	var chosen []NodeID
	for _, id := range ids {
		m, ok := s.byID[id]
		if ok && m.heard && !m.alive() {
			continue
		}
		if len(chosen) < contactsPerRegion {
			chosen = append(chosen, id)
			continue
		}
		if ok {
			delete(s.byID, id)
			s.changed(n)
		}
	}
	return chosen
}

// inScope reports whether a node that another node told of belongs into the
// view: the VM list may not show it yet.
func (s *members) inScope(n *Node, node NodeInfo) bool { return node.Region == n.Self.Region }

// complete reports whether the list came from the platform: the seeds in a
// node's settings name no upstreams.
func (l *vmListState) complete() bool { return l.have && len(l.list.Upstreams) > 0 }

func (s *members) vmListQuery(n *Node, from NodeID) {
	if s.list.complete() {
		n.send(from, VMListAnswer{List: s.list.list, Age: n.now.Sub(s.list.readAt)})
	}
}

func (s *members) vmListAnswer(n *Node, m VMListAnswer) {
	readAt := n.now.Add(-m.Age)
	if len(m.List.Upstreams) == 0 || s.list.complete() && readAt <= s.list.readAt {
		return
	}
	n.vmList(m.List)
	s.list.readAt = readAt
}

// upstreams returns the engines and plain services of the latest VM list,
// sorted by id.
func (s *members) upstreams() []Upstream { return s.list.list.Upstreams }

// upstreamAddress returns where an engine or plain service takes requests.
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
