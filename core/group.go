package core

import (
	"slices"
	"strconv"
	"time"
)

// GroupID names a group of engines.
type GroupID string

// groupSize is the upper bound of the mean number of engines in a group, so that an
// owner's allocation tables stay small however many engines there are.
const groupSize = 64

// group is the engines of one model in one region, or a shard of them. One node
// owns it and places requests on all of its engines.
type group struct {
	id      GroupID
	model   ModelID
	region  RegionID
	owner   NodeID
	engines []EngineID
	pools   Set[PoolID]
	queue   fairQueue
	// actingUntil is until when this node places requests on the group without
	// owning it, because an entry could not reach the owner.
	actingUntil Instant
	// rejections is the exponentially weighted share of rejected requests.
	rejections float64
	// residence is an exponentially weighted average of the time from the placement
	// of a request to its end, for which it holds decode memory.
	residence time.Duration
	// placedAt is when a request was last placed.
	placedAt Instant
	// passScheduled is set while a pass over the queue is scheduled.
	passScheduled bool
}

// actingFor is how long after the latest request from an entry a node goes on
// placing requests on a group that it does not own.
const actingFor = 5 * time.Second

// groupKey returns the id of the group that an engine belongs to.
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

// regroup rebuilds the groups from the configuration and the VM list, and keeps the
// queues of groups that still exist.
func (s *owner) regroup(n *Node) {
	upstreams := n.members.upstreams()
	count := make(map[string]int)
	for _, u := range upstreams {
		if pool, ok := n.config.pool(u.Pool); ok && pool.Role != Plain {
			count[string(pool.Model)+"/"+string(u.Region)]++
		}
	}
	fresh := make(map[GroupID]*group)
	s.groupByEngine = make(map[EngineID]*group, len(upstreams))
	s.upstreams = make(map[EngineID]Upstream, len(upstreams))
	for _, u := range upstreams {
		s.upstreams[u.ID] = u
		pool, ok := n.config.pool(u.Pool)
		if !ok || pool.Role == Plain {
			continue
		}
		shards := (count[string(pool.Model)+"/"+string(u.Region)] + groupSize - 1) / groupSize
		g := s.freshGroup(n, fresh, groupKey(u, pool.Model, shards), pool.Model, u.Region)
		g.engines = append(g.engines, u.ID)
		g.pools.Add(u.Pool)
		s.groupByEngine[u.ID] = g
	}
	s.replaceGroups(n, fresh)
}

// freshGroup returns the group with the given id from fresh. If it is not there, it
// adds the existing group, or else a new one, without engines and pools.
func (s *owner) freshGroup(n *Node, fresh map[GroupID]*group, id GroupID, model ModelID, region RegionID) *group {
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

// initialResidence is the initial value of [group.residence].
const initialResidence = 3 * time.Second

// replaceGroups replaces the groups by fresh ones. It rejects the queued requests
// of groups that no longer exist, and chooses each group's owner.
func (s *owner) replaceGroups(n *Node, fresh map[GroupID]*group) {
	for id, g := range s.groups {
		if _, stays := fresh[id]; !stays {
			s.rejectAllQueued(n, g, NoUpstream)
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

// groupKeyPrefix comes before a group's id in the key by which rendezvous hashing
// chooses its owner.
const groupKeyPrefix = "group/"

// groupOwner returns the node that owns a group, or this node if none is known.
func (n *Node) groupOwner(g *group) NodeID {
	if g.owner == "" {
		return n.Self.ID
	}
	return g.owner
}

// acting reports whether this node keeps the allocation tables of a group's
// engines: it owns the group, acts in the owner's place, or still has requests
// queued. Without joint placement every node does.
func (s *owner) acting(n *Node, g *group) bool {
	if n.Policy.Placement != Joint {
		return true
	}
	return n.groupOwner(g) == n.Self.ID || n.now < g.actingUntil || g.queue.len() > 0
}

// groupFor picks the group for a request. It prefers groups in the entry's own
// region, and ranks those of a region by a hash of group and customer, so that a
// customer's prompts find the same prefix caches. The second in rank is used if it
// is in the same region and its mean time to first token is below three quarters
// of the first's.
func (s *owner) groupFor(n *Node, r *servedRequest, profile Profile) (*group, bool) {
	if g, ok := s.sourceGroup(r); ok {
		return g, true
	}
	var best, second *group
	var bestScore, secondScore uint64
	for _, g := range s.byModel[profile.Model] {
		if !g.serves(n, profile) || r.fullGroups.Has(g.id) {
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
	if second != nil && second.region == best.region && n.entry.meanFirstToken[second.id] < n.entry.meanFirstToken[best.id]*3/4 {
		return second, true
	}
	return best, true
}

// sourceGroup returns the group of the engine that a stream is being moved off, so
// that the stream stays in that group.
func (s *owner) sourceGroup(r *servedRequest) (*group, bool) {
	if !r.moving() {
		return nil, false
	}
	g, ok := s.groupByEngine[r.source]
	return g, ok
}

// serves reports whether a group has a pool that may prefill for the profile and
// one that may decode for it.
func (g *group) serves(n *Node, profile Profile) bool {
	return g.hasPool(n, profile, profile.PrefillPools) && g.hasPool(n, profile, profile.DecodePools)
}

// hasPool reports whether a group has one of the given pools and it is not
// withdrawn, neither as a whole nor for the profile.
func (g *group) hasPool(n *Node, profile Profile, pools []PoolID) bool {
	for _, id := range pools {
		pool, ok := n.config.pool(id)
		if ok && !pool.Withdrawn && g.pools.Has(id) && !slices.Contains(profile.Withdrawn, id) {
			return true
		}
	}
	return false
}
