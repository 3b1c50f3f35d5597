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
// leaves. Each request asks for it, so it is kept until a member changes.
func (n *Node) staying() []NodeID {
	kept := &n.members.ranks.staying
	if *kept != nil {
		return *kept
	}
	*kept = make([]NodeID, 0, len(n.members.byID)+1)
	for _, id := range sortedKeys(n.members.byID) {
		if n.members.byID[id].present() {
			*kept = append(*kept, id)
		}
	}
	if !n.leaving {
		*kept = append(*kept, n.Self.ID)
	}
	return *kept
}
