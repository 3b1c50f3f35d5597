package core

import (
	"time"

	"daisyshed.dev/core/usagecap"
)

// usageWarmUp is how long a node that has just learned of the other nodes does not allocate caps. The
// list of nodes, by whose number it divides the caps, may be growing until then.
const usageWarmUp = 300 * time.Millisecond

// usageAllocator allocates the caps of all tenants, as far as other nodes leave their parts of them to
// this one.
type usageAllocator struct {
	delegations usagecap.Delegations
	allocators  map[TenantID]*usagecap.Allocator
	// listedAt is when the node first knew caps and the number of nodes.
	listedAt Instant
}

// mayAllocate reports whether this node may allocate caps.
func (s *usageAllocator) mayAllocate(n *Node) bool {
	return s.listedAt != 0 && n.now.Sub(s.listedAt) >= usageWarmUp
}

// handleReported answers the report of a node with shares. A report of another version of the desired
// state is answered by the caps of this node's.
func (s *usageAllocator) handleReported(n *Node, from NodeID, m UsageReported) {
	if !s.mayAllocate(n) {
		return
	}
	granted := UsageGranted{Version: n.usage.version}
	for _, u := range m.Tenants {
		if u.Tenant == "" {
			s.delegate(n, from, u.Left)
		}
	}
	for _, u := range m.Tenants {
		if share, ok := s.grant(n, from, u); ok {
			granted.Shares = append(granted.Shares, share)
		}
	}
	n.send(from, granted)
}

// delegate records that a node leaves its part of all caps to this one for some time.
func (s *usageAllocator) delegate(n *Node, from NodeID, span time.Duration) {
	now := time.Duration(n.now)
	for id, t := range n.usage.tenants {
		if _, ok := s.allocators[id]; !ok {
			s.allocators[id] = usagecap.NewAllocator(now, t.terms, s.delegations.Seconds(now))
		}
	}
	s.delegations.Add(now, string(from), span)
}

// grant returns a node's share of one tenant's cap.
func (s *usageAllocator) grant(n *Node, to NodeID, u TenantUsage) (UsageShare, bool) {
	if _, ok := n.usage.tenants[u.Tenant]; !ok {
		return UsageShare{}, false
	}
	a, ok := s.allocators[u.Tenant]
	if !ok {
		return UsageShare{Tenant: u.Tenant}, true
	}
	now := time.Duration(n.now)
	share := a.Report(now, s.delegations.Seconds(now), s.delegations.Count(now), string(to), usagecap.Usage{
		Demand: u.Demand, Floor: u.Rate, Used: u.Used, Level: u.Level,
	})
	return UsageShare{Tenant: u.Tenant, Rate: share.Rate, Burst: share.Amount, Left: share.Left, UsedElsewhere: share.UsedElsewhere}, true
}
