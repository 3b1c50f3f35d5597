package core

import "strconv"

const (
	// enginesPerGroup bounds the average number of engines in a group. One
	// owner keeps the allocation table of a group, so this bounds an owner's
	// load regardless of the number of engines and nodes.
	enginesPerGroup = 64
	// groupHashKey is hashed together with an engine's id to assign the engine
	// to a group.
	groupHashKey = "group"
)

// groupsOf returns how many groups a service's engines form.
func (s *forwards) groupsOf(id ServiceID) int {
	return max(1, (len(s.upstreams.byService[id])+enginesPerGroup-1)/enginesPerGroup)
}

// inGroup reports whether an engine belongs to a group.
func (s *forwards) inGroup(g DispatchGroup, id EngineID) bool {
	groups := s.groupsOf(g.Service)
	return groups == 1 || int(mix(hash64(string(id)), hash64(groupHashKey))%uint64(groups)) == g.Index
}

// groupOwner returns the live node that places requests for a group: the one
// with the highest score, so that a change of one node moves only the groups of
// that node. It returns the empty id if no live node accepts new requests.
func (s *forwards) groupOwner(n *Node, g DispatchGroup) NodeID {
	return highestScoring(n.acceptingNodes(), "group/"+string(g.Service)+"/"+strconv.Itoa(g.Index))
}

// acceptingNodes returns the live nodes that accept new requests, including this one
// unless it is leaving. Every request needs the list, so it is cached until a
// member changes.
func (n *Node) acceptingNodes() []NodeID {
	cached := &n.members.memberCache.acceptingNodes
	if *cached != nil {
		return *cached
	}
	*cached = make([]NodeID, 0, len(n.members.byID)+1)
	for _, id := range sortedKeys(n.members.byID) {
		if n.members.byID[id].available() {
			*cached = append(*cached, id)
		}
	}
	if !n.leaving {
		*cached = append(*cached, n.Self.ID)
	}
	return *cached
}
