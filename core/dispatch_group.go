package core

import "strconv"

const (
	// groupEngines bounds the engines of one group on average. One owner keeps
	// the books of a group, so this bounds an owner's work, whatever the number
	// of engines and nodes.
	groupEngines = 64
	// groupMember is the key by which engines are shared out among groups.
	groupMember = "group"
)

// groupsOf returns how many groups a service's engines form.
func (s *forwards) groupsOf(id ServiceID) int {
	return max(1, (len(s.upstreams.byService[id])+groupEngines-1)/groupEngines)
}

// inGroup reports whether an engine belongs to a group.
func (s *forwards) inGroup(g DispatchGroup, id EngineID) bool {
	groups := s.groupsOf(g.Service)
	return groups == 1 || int(mix(hash64(string(id)), hash64(groupMember))%uint64(groups)) == g.Index
}

// groupOwner returns the live node that places for a group: the one with the
// highest score, so that a change of one node moves only its own groups. It
// returns no node if there is none that stays.
func (s *forwards) groupOwner(n *Node, g DispatchGroup) NodeID {
	return bestScore(n.staying(), "group/"+string(g.Service)+"/"+strconv.Itoa(g.Index))
}

// staying returns the live nodes that take new work, this one included unless it
// leaves.
func (n *Node) staying() []NodeID {
	ids := make([]NodeID, 0, len(n.members.byID)+1)
	for id, m := range n.members.byID {
		if m.serving() && m.status == Alive {
			ids = append(ids, id)
		}
	}
	if !n.leaving {
		ids = append(ids, n.Self.ID)
	}
	return ids
}
