package core

import "strconv"

const (
	// enginesPerGroup bounds the average number of engines in a group. One
	// owner keeps the allocation table of a group, so this bounds an owner's
	// load regardless of the number of engines and nodes.
	enginesPerGroup = 128
	// groupHashKey is hashed together with an engine's id to assign the engine
	// to a group.
	groupHashKey = "group"
)

// groupsOf returns how many groups a service's engines form.
func (s *forwards) groupsOf(id ServiceID) int {
	return groupCount(len(s.upstreams.byService[id]))
}

// groupCount returns how many groups a number of engines form.
func groupCount(engines int) int { return max(1, (engines+enginesPerGroup-1)/enginesPerGroup) }

// groupOf returns the index of the group to which an engine belongs.
func groupOf(id EngineID, groups int) int {
	if groups == 1 {
		return 0
	}
	return int(mix(hash64(string(id)), hash64(groupHashKey)) % uint64(groups))
}

// inGroup reports whether an engine belongs to a group.
func (s *forwards) inGroup(g DispatchGroup, id EngineID) bool {
	return groupOf(id, s.groupsOf(g.Service)) == g.Index
}

// groupFor returns the group that places a request. Groups get requests in proportion to
// their engines. A caller who retries with the same prompt comes to the same group, whose
// owner knows when the prompt first arrived.
func (s *forwards) groupFor(n *Node, f *forwardedRequest) DispatchGroup {
	id := f.spec.ID
	groups := s.groupsOf(id)
	if groups == 1 {
		return DispatchGroup{Service: id}
	}
	g, _ := f.Generation.Get()
	point := n.rng.IntN(len(s.upstreams.byService[id]))
	if g.PromptKey != 0 {
		point = int(mix(uint64(g.PromptKey), hash64(groupHashKey)) % uint64(len(s.upstreams.byService[id])))
	}
	for index := range groups {
		group := DispatchGroup{Service: id, Index: index}
		if point -= len(s.upstreams.byGroup[group]); point < 0 {
			return s.groupWithVersion(n, f, s.openGroup(n, group))
		}
	}
	return DispatchGroup{Service: id}
}

// groupOwner returns the live node that places requests for a group: the one
// with the highest score, so that a change of one node moves only the groups of
// that node. One that is isolated is chosen only if all are. It returns the empty id if no live node accepts new requests.
func (s *forwards) groupOwner(n *Node, g DispatchGroup) NodeID {
	return highestScoring(n.acceptingNodes(), g.key())
}

// key returns the key by which the owner of the group is chosen.
func (g DispatchGroup) key() string {
	return "group/" + string(g.Service) + "/" + strconv.Itoa(g.Index)
}

// acceptingNodes returns the live nodes that accept new requests, including this one
// unless it is leaving. Isolated nodes are left out unless all are isolated. Every request needs the list, so it is cached until a
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
	if reachable := n.notIsolated(*cached); len(reachable) > 0 {
		*cached = reachable
	}
	return *cached
}

// notIsolated returns the nodes that can connect to upstreams.
func (n *Node) notIsolated(ids []NodeID) []NodeID {
	reachable := make([]NodeID, 0, len(ids))
	for _, id := range ids {
		m, ok := n.members.byID[id]
		if isolated := ok && m.node.Isolated || id == n.Self.ID && n.isolation.isolated; !isolated {
			reachable = append(reachable, id)
		}
	}
	return reachable
}
