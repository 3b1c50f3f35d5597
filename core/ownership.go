package core

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// keyWriterRankKey is the key by which rendezvous hashing ranks the nodes of a
// region as writers of intents.
const keyWriterRankKey = "key-writers"

// memberCache caches, for each region, the members that may own keys, and the live
// nodes that accept new requests.
type memberCache struct {
	serving        map[RegionID][]NodeID
	acceptingNodes []NodeID
}

func (c *memberCache) clear() { c.serving, c.acceptingNodes = nil, nil }

// serving returns the members of a region that may own keys, including this node
// unless it is shutting down.
func (s *members) serving(n *Node, region RegionID) []NodeID {
	if s.memberCache.serving == nil {
		s.memberCache.serving = map[RegionID][]NodeID{}
		for _, id := range sortedKeys(s.byID) {
			if m := s.byID[id]; m.serving() {
				of := m.node.Region
				s.memberCache.serving[of] = append(s.memberCache.serving[of], id)
			}
		}
	}
	ids := slices.Clone(s.memberCache.serving[region])
	if region == n.Self.Region && !n.leaving {
		ids = append(ids, n.Self.ID)
	}
	return ids
}

// ownerOf returns the live node that owns key by rendezvous hashing. A node that
// is shutting down owns nothing, unless it is this node and its region has no
// other. For another region without known members ownerOf returns no node.
func (s *members) ownerOf(n *Node, region RegionID, key string) NodeID {
	ids := s.serving(n, region)
	if len(ids) == 0 && region == n.Self.Region {
		return n.Self.ID
	}
	return highestScoring(ids, key)
}

// fallbackOwner returns the node that owns key by rendezvous hashing once the
// unreachable nodes are left out, so that all nodes that cannot reach an owner
// use the same replacement.
func (s *members) fallbackOwner(n *Node, region RegionID, key string, unreachable Set[NodeID]) NodeID {
	ids := slices.DeleteFunc(s.serving(n, region), func(id NodeID) bool { return unreachable.Has(id) })
	if len(ids) == 0 {
		return n.Self.ID
	}
	return highestScoring(ids, key)
}

// keyWriter returns the node that writes the intent of a key to the log. Only a
// few nodes of a region write intents, so that batches are large and appends few.
func (s *members) keyWriter(n *Node, key IdempotencyKey) NodeID {
	writers := s.keyWriters(n)
	if len(writers) == 0 {
		return n.Self.ID
	}
	return highestScoring(writers, "key/"+string(key))
}

// keyWriters returns the nodes of this region that write intents, in descending
// order of score.
func (s *members) keyWriters(n *Node) []NodeID {
	ids := s.serving(n, n.Self.Region)
	byScore(ids, keyWriterRankKey)
	return ids[:min(len(ids), n.Settings.KeyWritersPerRegion)]
}

// highestScoring returns the id with the highest score for a key, or an empty id
// if there are none.
func highestScoring(ids []NodeID, key string) NodeID {
	var best NodeID
	var bestScore uint64
	k := hash64(key)
	for _, id := range ids {
		score := scoreOf(id, k)
		if best == "" || score > bestScore || (score == bestScore && id < best) {
			best, bestScore = id, score
		}
	}
	return best
}

// rankByScore returns the rank of id for a key: the number of ids with a higher
// score. id need not be among them.
func rankByScore(ids []NodeID, key string, id NodeID) int {
	k, count := hash64(key), 0
	own := scoreOf(id, k)
	for _, other := range ids {
		if scoreOf(other, k) > own {
			count++
		}
	}
	return count
}

// scoreOf returns a node's score for a hashed key.
func scoreOf(id NodeID, key uint64) uint64 { return mix(hash64(string(id)), key) }

// byScore sorts ids by descending score for a key.
func byScore(ids []NodeID, key string) {
	k := hash64(key)
	slices.SortFunc(ids, func(a, b NodeID) int {
		x, y := scoreOf(a, k), scoreOf(b, k)
		if c := cmp.Compare(y, x); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
}

// hash64 returns a hash of the parts that is the same on every node.
func hash64(parts ...string) uint64 {
	h := fnv.New64a()
	for _, part := range parts {
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// mix combines two hashes such that each bit of the result depends on all bits
// of both.
func mix(a, b uint64) uint64 {
	x := a*0x9e3779b97f4a7c15 + b
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
