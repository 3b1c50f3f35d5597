package core

import (
	"cmp"
	"slices"
	"time"
)

const (
	// addressLifetime is how long callers may cache an answer.
	addressLifetime = 10 * time.Second
	// maxAddresses bounds the number of addresses in one answer.
	maxAddresses = 6
	// maxNearAddresses bounds the number of addresses in the caller's own failure
	// domain, so that the answer is still useful when that domain fails.
	maxNearAddresses = 4
	// maxWeight bounds the share of new requests for one node if the answer
	// contains several.
	maxWeight = 0.5
	// minSpareWeight is the lower bound of a node's spare capacity, so that a full
	// node does not disappear from the answers.
	minSpareWeight = 0.05
	// nodeRequestCapacity is the number of requests that one node serves
	// concurrently.
	nodeRequestCapacity = 2000
)

// distance is the topological distance between a node and a caller.
type distance int

const (
	sameDomain distance = iota
	sameRegion
	otherRegion
)

// preference returns the factor on the weight of a node at a distance.
func (d distance) preference() float64 {
	return [...]float64{sameDomain: 1, sameRegion: 0.5, otherRegion: 0.02}[d]
}

type addressCandidate struct {
	node     NodeInfo
	distance distance
	spare    float64
}

// handleAddressQuery answers which nodes a caller should use. This is the load
// balancing between nodes: the answer leaves out nodes that are leaving or must not
// accept new requests, prefers near nodes and nodes with spare capacity, and
// spreads callers by choosing among equivalent nodes at random.
func (n *Node) handleAddressQuery(m AddressQuery) {
	if n.Hosted {
		n.hostedAddresses(m)
		return
	}
	candidates := n.addressCandidates(m.Domain)
	n.rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	slices.SortStableFunc(candidates, func(a, b addressCandidate) int { return cmp.Compare(a.distance, b.distance) })
	n.do(AnswerAddresses{
		Query:     m.Query,
		Addresses: weigh(choose(candidates)),
		Lifetime:  addressLifetime,
		Epoch:     n.epoch(),
	})
}

// addressCandidates returns the nodes that may accept new requests, or this node if
// there are none.
func (n *Node) addressCandidates(domain DomainID) []addressCandidate {
	region := n.regionOf(domain)
	var all []addressCandidate
	if !n.leaving && n.config.fresh(n) {
		all = append(all, addressCandidate{node: n.Self, distance: distanceOf(n.Self, domain, region), spare: n.spare()})
	}
	for _, id := range sortedKeys(n.members.byID) {
		if m := n.members.byID[id]; m.available() {
			all = append(all, addressCandidate{node: m.node, distance: distanceOf(m.node, domain, region), spare: m.spareCapacity})
		}
	}
	if len(all) == 0 {
		all = append(all, addressCandidate{node: n.Self, spare: n.spare()})
	}
	return all
}

// regionOf returns the region of a failure domain, or this node's own region if no
// member is in that domain.
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

// choose returns the nearest nodes, but keeps room for other failure domains.
func choose(sorted []addressCandidate) []addressCandidate {
	var chosen, remaining []addressCandidate
	for _, a := range sorted {
		if a.distance == sameDomain && len(chosen) >= maxNearAddresses {
			remaining = append(remaining, a)
			continue
		}
		chosen = append(chosen, a)
	}
	chosen = append(chosen, remaining...)
	chosen = chosen[:min(len(chosen), maxAddresses)]
	slices.SortStableFunc(chosen, func(a, b addressCandidate) int { return cmp.Compare(a.distance, b.distance) })
	return chosen
}

// weigh converts spare capacity into weights that add up to one.
func weigh(chosen []addressCandidate) []NodeAddress {
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
	capLargestWeight(addresses)
	return addresses
}

func (a addressCandidate) weight() float64 {
	return max(a.spare, minSpareWeight) * a.distance.preference()
}

// capLargestWeight distributes what one node has above maxWeight among the others.
func capLargestWeight(addresses []NodeAddress) {
	if len(addresses) < 2 {
		return
	}
	for i := range addresses {
		excess := addresses[i].Weight - maxWeight
		if excess <= 0 {
			continue
		}
		others := 1 - addresses[i].Weight
		for j := range addresses {
			addresses[j].Weight += excess * addresses[j].Weight / others
		}
		addresses[i].Weight = maxWeight
		return
	}
}

// epoch returns a lower bound of the log's time, or zero if it is unknown.
func (n *Node) epoch() int64 {
	clock := n.config.reader.clock
	if !clock.valid {
		return 0
	}
	return clock.earliest(n.now)
}

// spare returns the unused share of this node's request capacity.
func (n *Node) spare() float64 {
	return max(0, 1-float64(n.requests())/nodeRequestCapacity)
}

// requests returns the number of requests and calls that this node serves.
func (n *Node) requests() int {
	return len(n.entry.requests) + n.serviceCalls.running() + len(n.forward.live)
}

// status returns this node's view of the cluster, for operators.
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
	s.Node.Leaving, s.Node.Isolated = n.leaving, n.isolation.isolated
	if n.isolation.isolated {
		s.Isolated = Some(n.now.Sub(n.isolation.since))
		for _, r := range n.relayChoice.sent.Relays {
			s.Relays = append(s.Relays, r.Node)
		}
	}
	snapshot := n.config.folded.Snapshot()
	s.Profiles, s.Pools = snapshot.Profiles, snapshot.Pools
	for _, id := range sortedKeys(n.members.byID) {
		m := n.members.byID[id]
		s.Members = append(s.Members, MemberStatusEntry{
			Node: m.node, Incarnation: m.incarnation, Status: m.reportedStatus(), ConfigOffset: m.configOffset,
		})
	}
	if proof := n.stateProof(); proof.Number > 0 {
		s.ProofAge = Some(proof.Age)
	}
	s.Limits = n.forward.upstreams.limits()
	s.Usage, s.UsageAllocator = n.usage.status(n), n.usage.reports.current
	s.UsageParts = n.usage.allocator.delegations.Count(time.Duration(n.now))
	s.Tenants, s.KeyChecks = n.forward.tenantsInForce(), n.forward.keyChecks
	s.Suspects, s.Blocked = len(n.forward.suspects.suspicions), len(n.forward.suspects.blocked)
	for _, u := range n.members.upstreams() {
		s.Upstreams = append(s.Upstreams, n.upstreamStatus(u))
	}
	return s
}

// reportedStatus returns the status of a member for operators. A member that has
// never been heard from is shown as suspect.
func (m *member) reportedStatus() MemberStatus {
	if !m.confirmed {
		return Suspect
	}
	return m.status
}
