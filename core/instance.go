package core

import (
	"cmp"
	"slices"
	"time"
)

const (
	// failuresToAvoid is how many failures in a row make a node avoid an upstream.
	// A single one is common when the upstream restarts or drops an idle
	// connection.
	failuresToAvoid = 2
	// avoidBase and avoidMax bound how long a failing upstream is avoided. The
	// time doubles with each further failure.
	avoidBase = 500 * time.Millisecond
	avoidMax  = 2 * time.Second
	// successWeight is the weight of the latest outcome in an upstream's success
	// rate, an exponentially weighted average: about the last ten outcomes count.
	successWeight = 0.1
)

// SoftwareVersion is the version of an upstream's software. Versions have no order. What two
// versions write does not fit together, so that a stream is continued only by the version that
// began it.
type SoftwareVersion string

// Instance is one incarnation of an upstream, as the store lists it.
type Instance struct {
	ID      EngineID
	Service ServiceID
	Domain  DomainID
	Address string
	// Born differs between two incarnations with the same id.
	Born     int64
	Slots    int
	Draining bool
	// Version is the version of the upstream's software; empty if it names none.
	Version SoftwareVersion
	// Role is Plain for upstreams that are not engines.
	Role Role
}

// InstanceList is the complete list of upstreams as of the store's Offset in its Era.
type InstanceList struct {
	Era       StoreEra
	Offset    Offset
	Instances []Instance
}

// upstream is what this node knows of one instance.
type upstream struct {
	Instance
	// removed is set once the list no longer contains the instance. It is kept while
	// requests of this node run there.
	removed bool
	// superseded is set once a later incarnation has answered at the upstream's address.
	superseded bool
	// provenBefore and updatedBefore are when the last list without this incarnation was proved
	// and updated.
	provenBefore, updatedBefore Instant
	// ownRequests, reservedTokens and prefillTokens are this node's own load there:
	// requests in progress, decode memory reserved, and prompt tokens in prefill.
	ownRequests    int
	reservedTokens Tokens
	prefillTokens  Tokens
	// fullUntil is the time until which the engine is assumed to have no free memory.
	fullUntil Instant
	// failures counts failures in a row; avoidUntil is derived from it.
	failures   int
	avoidUntil Instant
	// successRate is the exponentially weighted success rate.
	successRate float64
	// failedBy are the nodes that reported a failure to this one, as the owner, since the last
	// success, and soundBy those that reported the latest successes, with when they did.
	failedBy Set[NodeID]
	soundBy  [2]soundReport
	// allocation is what this node, as an owner, has allocated on the upstream; nil before
	// the first use. It is the entry of the allocation table.
	allocation *engineAllocation
	// brokeOffAt is when the upstream last ended the connection of a request that ran, and
	// endedAt when it was taken for ended by that; zero if it has answered since.
	brokeOffAt, endedAt Instant
	// signals is what the upstream's responses have said about it; nil if nothing.
	signals *upstreamSignals
}

// usable reports whether the upstream accepts new requests, as far as this node knows.
func (u *upstream) usable() bool { return !u.removed && !u.Draining && !u.leaving() }

// recordOutcome records how a run at the upstream ended.
func (u *upstream) recordOutcome(n *Node, outcome RunOutcome) {
	switch outcome {
	case RunSucceeded:
		u.recordSuccess()
	case RunErred:
		u.recordError()
	case RunFailed:
		u.recordFailure(n.now)
	case RunUnknown:
	}
}

// recordSuccess records that the upstream answered.
func (u *upstream) recordSuccess() {
	u.failures = 0
	u.avoidUntil = 0
	u.failedBy = nil
	u.successRate += successWeight * (1 - u.successRate)
}

// recordError records that the upstream answered with an error of its own. It is
// alive, so it is not avoided, but others are preferred.
func (u *upstream) recordError() {
	u.failures = 0
	u.successRate -= successWeight * u.successRate
}

// recordFailure records that the upstream gave no usable answer.
func (u *upstream) recordFailure(now Instant) {
	u.failures++
	u.successRate -= successWeight * u.successRate
	if u.failures >= failuresToAvoid {
		shift := min(u.failures-failuresToAvoid, 3)
		u.avoidUntil = now.Add(min(avoidBase<<shift, avoidMax))
	}
}

// InstanceAddress returns the address at which an instance accepts requests, or an
// empty string if it is unknown.
func (n *Node) InstanceAddress(id EngineID) string {
	if u, ok := n.forward.upstreams.byID[id]; ok {
		return u.Address
	}
	return ""
}

// upstreams is this node's view of all instances.
type upstreams struct {
	byID      map[EngineID]*upstream
	byService map[ServiceID][]*upstream
	// byGroup holds the upstreams of each group of a service.
	byGroup map[DispatchGroup][]*upstream
	// signals holds what upstreams' responses have said about them.
	signals map[EngineID]*upstreamSignals
	// limited are the upstreams that have named a limit.
	limited Set[EngineID]
	era     StoreEra
	offset  Offset
	loaded  bool
}

// replaceAll replaces the view by a list and keeps what is known of instances in both.
// A new incarnation under an old id starts without history. feed has brought the list.
func (s *upstreams) replaceAll(list InstanceList, feed *instanceFeed) {
	s.loaded, s.era, s.offset = true, list.Era, list.Offset
	old := s.byID
	s.byID = make(map[EngineID]*upstream, len(list.Instances))
	s.byService = map[ServiceID][]*upstream{}
	for _, i := range list.Instances {
		u, ok := old[i.ID]
		if ok && u.Born == i.Born && u.Address == i.Address {
			u.Instance = i
		} else {
			if ok {
				u.removed = true
			}
			u = &upstream{Instance: i, successRate: 1, signals: s.signals[i.ID], provenBefore: feed.provenAt(), updatedBefore: feed.updatedBefore}
		}
		s.byID[i.ID] = u
		s.byService[i.Service] = append(s.byService[i.Service], u)
	}
	for id, u := range old {
		if s.byID[id] != u {
			u.removed = true
		}
	}
	for _, list := range s.byService {
		slices.SortFunc(list, func(a, b *upstream) int { return cmp.Compare(a.ID, b.ID) })
	}
	s.byGroup = map[DispatchGroup][]*upstream{}
	for service, list := range s.byService {
		groups := groupCount(len(list))
		for _, u := range list {
			g := DispatchGroup{Service: service, Index: groupOf(u.ID, groups)}
			s.byGroup[g] = append(s.byGroup[g], u)
		}
	}
}

// cheapest returns the open upstream with the lowest cost among those that skip
// does not exclude. Ties are broken at random.
func cheapest(n *Node, list []*upstream, skip func(*upstream) bool, cost func(*upstream) float64) *upstream {
	var best *upstream
	lowest, ties := 0.0, 0
	for _, u := range list {
		if !u.open(n.now) || skip(u) {
			continue
		}
		c := cost(u)
		switch {
		case best == nil || c < lowest:
			best, lowest, ties = u, c, 1
		case c == lowest:
			ties++
			if n.rng.IntN(ties) == 0 {
				best = u
			}
		}
	}
	return best
}
