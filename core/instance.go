package core

import (
	"cmp"
	"slices"
	"time"
)

const (
	// failuresToAvoid is how many failures in a row put an upstream aside; one
	// alone is common when it restarts or drops an idle connection.
	failuresToAvoid = 2
	// avoidBase and avoidMax bound how long a failing upstream is put aside.
	// The time doubles with each further failure.
	avoidBase = 500 * time.Millisecond
	avoidMax  = 2 * time.Second
	// successWeight is the weight of the latest outcome in an upstream's
	// success rate: about the last ten count.
	successWeight = 0.1
)

// Instance is one start of an upstream, as the store lists it.
type Instance struct {
	ID      EngineID
	Service ServiceID
	Domain  DomainID
	Address string
	// Born tells one start under the same id from the next.
	Born     int64
	Slots    int
	Draining bool
	// Role is Plain for upstreams that are not engines.
	Role Role
}

// InstanceList is the whole list of upstreams, as of the store's Offset.
type InstanceList struct {
	Offset    Offset
	Instances []Instance
}

// upstream is what this node knows of one instance.
type upstream struct {
	Instance
	// removed is set once the list no longer shows it; it is kept while
	// requests of this node are there.
	removed bool
	// requests and tokens are what this node has there: requests in progress,
	// decode memory reserved, and prompt tokens being read.
	requests int
	tokens   Tokens
	reading  Tokens
	// fullUntil is until when the engine is taken to have no free memory.
	fullUntil Instant
	// failures counts failures in a row; avoidUntil follows from it.
	failures   int
	avoidUntil Instant
	success    float64
}

// usable reports whether new work may go to the upstream.
func (u *upstream) usable() bool { return !u.removed && !u.Draining }

// note takes in how a run at the upstream went.
func (u *upstream) note(n *Node, outcome RunOutcome) {
	switch outcome {
	case RunSucceeded:
		u.succeeded()
	case RunErred:
		u.erred()
	case RunFailed:
		u.failed(n.now)
	case RunUnknown:
	}
}

// succeeded notes that the upstream answered.
func (u *upstream) succeeded() {
	u.failures = 0
	u.avoidUntil = 0
	u.success += successWeight * (1 - u.success)
}

// erred notes that the upstream answered with a failure of its own. It lives,
// so it is not put aside, but others are preferred.
func (u *upstream) erred() {
	u.failures = 0
	u.success -= successWeight * u.success
}

// failed notes that the upstream gave no usable answer.
func (u *upstream) failed(now Instant) {
	u.failures++
	u.success -= successWeight * u.success
	if u.failures >= failuresToAvoid {
		shift := min(u.failures-failuresToAvoid, 3)
		u.avoidUntil = now.Add(min(avoidBase<<shift, avoidMax))
	}
}

// InstanceAddress returns where an instance takes requests; empty if it is not
// known.
func (n *Node) InstanceAddress(id EngineID) string {
	if u, ok := n.forward.upstreams.byID[id]; ok {
		return u.Address
	}
	return ""
}

// upstreams is the view of all instances.
type upstreams struct {
	byID      map[EngineID]*upstream
	byService map[ServiceID][]*upstream
	offset    Offset
	known     bool
}

// take replaces the view by a list, and keeps what is known of those that
// stay. A new start under an old id begins afresh.
func (s *upstreams) take(list InstanceList) {
	s.known, s.offset = true, list.Offset
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
			u = &upstream{Instance: i, success: 1}
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
}

// cheapest returns the usable upstream with the lowest cost, ties broken by
// draw, and leaves out those that skip names.
func cheapest(n *Node, list []*upstream, skip func(*upstream) bool, cost func(*upstream) float64) *upstream {
	var best *upstream
	lowest, ties := 0.0, 0
	for _, u := range list {
		if !u.usable() || skip(u) {
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
