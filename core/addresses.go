package core

import (
	"cmp"
	"slices"
	"time"
)

const (
	// addressLifetime is how long callers may keep an answer.
	addressLifetime = 10 * time.Second
	// maxAddresses bounds the addresses of one answer.
	maxAddresses = 6
	// nearAddresses bounds those in the caller's own failure domain, so that
	// the answer outlives that domain.
	nearAddresses = 4
	// maxWeight bounds the share of new requests for one node where the
	// answer names several.
	maxWeight = 0.5
	// minSpare keeps a full node from vanishing from the answers.
	minSpare = 0.05
	// nodeRequests is the number of requests that one node serves at once.
	nodeRequests = 2000
)

// distance says how far a node is from a caller.
type distance int

const (
	sameDomain distance = iota
	sameRegion
	otherRegion
)

// preference is the factor on the weight of a node at a distance.
func (d distance) preference() float64 {
	return [...]float64{sameDomain: 1, sameRegion: 0.5, otherRegion: 0.02}[d]
}

type addressee struct {
	node     NodeInfo
	distance distance
	spare    float64
}

// addresses answers which nodes a caller should use. The answer is the
// system's load balancer: it leaves out nodes that leave or that may not take
// new work, prefers near ones and those with spare capacity, and spreads
// callers by drawing among equals at random.
func (n *Node) addresses(m AddressQuery) {
	if n.Hosted {
		n.hostedAddresses(m)
		return
	}
	near := n.addressees(m.Domain)
	n.rng.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	slices.SortStableFunc(near, func(a, b addressee) int { return cmp.Compare(a.distance, b.distance) })
	n.do(AnswerAddresses{
		Query:     m.Query,
		Addresses: weigh(choose(near)),
		Lifetime:  addressLifetime,
		Epoch:     n.epoch(),
	})
}

// addressees returns the nodes that may take new work, or this node if there
// are none.
func (n *Node) addressees(domain DomainID) []addressee {
	region := n.regionOf(domain)
	var all []addressee
	if !n.leaving && n.config.fresh(n) {
		all = append(all, addressee{node: n.Self, distance: distanceOf(n.Self, domain, region), spare: n.spare()})
	}
	for _, id := range sortedKeys(n.members.byID) {
		if m := n.members.byID[id]; m.present() {
			all = append(all, addressee{node: m.node, distance: distanceOf(m.node, domain, region), spare: m.spare})
		}
	}
	if len(all) == 0 {
		all = append(all, addressee{node: n.Self, spare: n.spare()})
	}
	return all
}

// regionOf returns the region of a failure domain, or this node's own if no
// member lies in that domain.
func (n *Node) regionOf(domain DomainID) RegionID {
	for _, id := range sortedKeys(n.members.byID) {
		if node := n.members.byID[id].node; node.Domain == domain {
			return node.Region
		}
	}
	return n.Self.Region
}

func distanceOf(node NodeInfo, domain DomainID, region RegionID) distance {
	switch {
	case node.Domain == domain:
		return sameDomain
	case node.Region == region:
		return sameRegion
	default:
		return otherRegion
	}
}

// choose takes the nearest nodes, but keeps room for other failure domains.
func choose(sorted []addressee) []addressee {
	var chosen, left []addressee
	for _, a := range sorted {
		if a.distance == sameDomain && len(chosen) >= nearAddresses {
			left = append(left, a)
			continue
		}
		chosen = append(chosen, a)
	}
	chosen = append(chosen, left...)
	chosen = chosen[:min(len(chosen), maxAddresses)]
	slices.SortStableFunc(chosen, func(a, b addressee) int { return cmp.Compare(a.distance, b.distance) })
	return chosen
}

// weigh turns spare capacity into shares that add up to one.
func weigh(chosen []addressee) []NodeAddress {
	total := 0.0
	for _, a := range chosen {
		total += a.weight()
	}
	addresses := make([]NodeAddress, 0, len(chosen))
	for _, a := range chosen {
		addresses = append(addresses, NodeAddress{
			Node: a.node.ID, Domain: a.node.Domain, Address: a.node.CallerAddress, Weight: a.weight() / total,
		})
	}
	limitWeights(addresses)
	return addresses
}

func (a addressee) weight() float64 { return max(a.spare, minSpare) * a.distance.preference() }

// limitWeights takes what one node has beyond maxWeight and shares it out
// among the others.
func limitWeights(addresses []NodeAddress) {
	if len(addresses) < 2 {
		return
	}
	for i := range addresses {
		excess := addresses[i].Weight - maxWeight
		if excess <= 0 {
			continue
		}
		rest := 1 - addresses[i].Weight
		for j := range addresses {
			addresses[j].Weight += excess * addresses[j].Weight / rest
		}
		addresses[i].Weight = maxWeight
		return
	}
}

// epoch returns the log's time, as far as this node knows it.
func (n *Node) epoch() int64 {
	clock := n.config.reader.clock
	if !clock.known {
		return 0
	}
	return clock.earliest(n.now)
}

// spare returns the share of this node's request capacity that is free.
func (n *Node) spare() float64 {
	return max(0, 1-float64(n.requests())/nodeRequests)
}

// requests returns the number of requests and calls that this node serves.
func (n *Node) requests() int {
	return len(n.entry.serving) + n.once.running() + len(n.forward.live)
}

// status returns the node's view, for operators.
func (n *Node) status() Status {
	s := Status{
		Node:         n.Self,
		Incarnation:  n.Incarnation,
		ConfigOffset: n.config.folded.Offset(),
		ConfigAge:    n.config.age(n),
		LogReachable: n.config.reader.reachable,
		Rejected:     n.config.folded.Rejected(),
		Requests:     n.requests(),
		Leaving:      n.leaving,
		Checks:       n.checks.checked,
		Violations:   n.checks.violated,
	}
	s.Node.Leaving = n.leaving
	snapshot := n.config.folded.Snapshot()
	s.Profiles, s.Pools = snapshot.Profiles, snapshot.Pools
	for _, id := range sortedKeys(n.members.byID) {
		m := n.members.byID[id]
		s.Members = append(s.Members, MemberStatusEntry{
			Node: m.node, Incarnation: m.incarnation, Status: m.shownStatus(), ConfigOffset: m.offset,
		})
	}
	for _, u := range n.members.upstreams() {
		s.Upstreams = append(s.Upstreams, n.upstreamStatus(u))
	}
	return s
}

// shownStatus shows a member that was never heard of as suspect.
func (m *member) shownStatus() MemberStatus {
	if !m.heard {
		return Suspect
	}
	return m.status
}
