package core

import (
	"slices"
	"strconv"
	"time"
)

// GroupID names a group of engines.
type GroupID string

// groupSize is the number of engines that one group holds at most on average,
// so that an owner's books stay small however many engines there are.
const groupSize = 64

// group is the engines of one model in one region, or a share of them. One
// node owns it and decides for all of them together.
type group struct {
	id      GroupID
	model   ModelID
	region  RegionID
	owner   NodeID
	engines []EngineID
	pools   Set[PoolID]
	queue   fairQueue
	// actingUntil lets a node serve a group that it does not own, because an
	// entry could not reach the owner.
	actingUntil Instant
	// refusals is the recent share of requests that were refused.
	refusals float64
	// residence is the mean time for which a request holds decode memory.
	residence time.Duration
	// placedAt is when a request was last placed.
	placedAt Instant
	pumpSet  bool
}

// actingFor is how long a node goes on serving a group that it does not own.
const actingFor = 5 * time.Second

// groupKey names the group that an engine belongs to.
func groupKey(u Upstream, model ModelID, shards int) GroupID {
	base := string(model) + "/" + string(u.Region)
	return GroupID(base + "/" + strconv.Itoa(shardOf(u.ID, shards)))
}

// shardOf picks an engine's shard by rendezvous hashing, so that a change in
// the number of shards moves few engines.
func shardOf(id EngineID, shards int) int {
	best, bestScore := 0, uint64(0)
	hash := hash64(string(id))
	for i := range shards {
		if score := mix(hash, uint64(i)); score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// regroup rebuilds the groups from configuration and the VM list, keeping the
// queues of those that stay.
func (s *owner) regroup(n *Node) {
	upstreams := n.members.upstreams()
	count := make(map[string]int)
	for _, u := range upstreams {
		if pool, ok := n.config.pool(u.Pool); ok && pool.Role != Plain {
			count[string(pool.Model)+"/"+string(u.Region)]++
		}
	}
	fresh := make(map[GroupID]*group)
	s.groupOf = make(map[EngineID]*group, len(upstreams))
	s.upstreams = make(map[EngineID]Upstream, len(upstreams))
	for _, u := range upstreams {
		s.upstreams[u.ID] = u
		pool, ok := n.config.pool(u.Pool)
		if !ok || pool.Role == Plain {
			continue
		}
		shards := (count[string(pool.Model)+"/"+string(u.Region)] + groupSize - 1) / groupSize
		g := s.groupNamed(n, fresh, groupKey(u, pool.Model, shards), pool.Model, u.Region)
		g.engines = append(g.engines, u.ID)
		g.pools.Add(u.Pool)
		s.groupOf[u.ID] = g
	}
	s.adoptGroups(n, fresh)
}

// groupNamed returns the group of that name among the fresh ones, with its
// engines to be filled in again.
func (s *owner) groupNamed(n *Node, fresh map[GroupID]*group, id GroupID, model ModelID, region RegionID) *group {
	if g, ok := fresh[id]; ok {
		return g
	}
	g, ok := s.groups[id]
	if !ok {
		g = &group{id: id, model: model, region: region, queue: newFairQueue(n.Policy.NoFairShares), residence: initialResidence}
	}
	g.engines = nil
	g.pools = SetOf[PoolID]()
	fresh[id] = g
	return g
}

// initialResidence stands for the mean time in decode memory until it has
// been observed.
const initialResidence = 3 * time.Second

func (s *owner) adoptGroups(n *Node, fresh map[GroupID]*group) {
	for id, g := range s.groups {
		if _, stays := fresh[id]; !stays {
			s.refuseAll(n, g, NoUpstream)
		}
	}
	s.groups = fresh
	s.byModel = make(map[ModelID][]*group)
	for _, id := range sortedKeys(fresh) {
		g := fresh[id]
		slices.Sort(g.engines)
		g.owner = n.members.ownerOf(n, g.region, groupKeyPrefix+string(id))
		s.byModel[g.model] = append(s.byModel[g.model], g)
	}
}

// groupKeyPrefix makes a group's id the key by which its owner is chosen.
const groupKeyPrefix = "group/"

// groupOwner returns the node that owns a group.
func (n *Node) groupOwner(g *group) NodeID {
	if g.owner == "" {
		return n.Self.ID
	}
	return g.owner
}

// acting reports whether this node keeps the books of a group's engines.
func (s *owner) acting(n *Node, g *group) bool {
	if n.Policy.Placement != Joint {
		return true
	}
	return n.groupOwner(g) == n.Self.ID || n.now < g.actingUntil || g.queue.len() > 0
}

// groupFor picks the group that a request goes to: of the entry's own region
// if that can serve, and of two that suit the customer the one under less
// pressure, so that a customer's prompts meet the same prefix caches.
func (s *owner) groupFor(n *Node, r *serving, profile Profile) (*group, bool) {
	if g, ok := s.sourceGroup(r); ok {
		return g, true
	}
	var best, second *group
	var bestScore, secondScore uint64
	for _, g := range s.byModel[profile.Model] {
		if !g.serves(n, profile) || r.crowded.Has(g.id) {
			continue
		}
		score := mix(hash64(string(g.id)), hash64(string(r.request.Customer))) >> 1
		if g.region == n.Self.Region {
			score |= 1 << 63
		}
		if best == nil || score > bestScore {
			best, second, bestScore, secondScore = g, best, score, bestScore
		} else if second == nil || score > secondScore {
			second, secondScore = g, score
		}
	}
	if best == nil {
		return nil, false
	}
	if second != nil && second.region == best.region && n.entry.pressure[second.id] < n.entry.pressure[best.id]*3/4 {
		return second, true
	}
	return best, true
}

// sourceGroup keeps a moving stream in the group of its engine.
func (s *owner) sourceGroup(r *serving) (*group, bool) {
	if !r.moving() {
		return nil, false
	}
	g, ok := s.groupOf[r.source]
	return g, ok
}

// serves reports whether a group has pools that may both prefill and decode
// for the profile.
func (g *group) serves(n *Node, profile Profile) bool {
	return g.hasPool(n, profile, profile.PrefillPools) && g.hasPool(n, profile, profile.DecodePools)
}

func (g *group) hasPool(n *Node, profile Profile, pools []PoolID) bool {
	for _, id := range pools {
		pool, ok := n.config.pool(id)
		if ok && !pool.Withdrawn && g.pools.Has(id) && !slices.Contains(profile.Withdrawn, id) {
			return true
		}
	}
	return false
}
