package peer

import (
	"time"

	"daisyshed.dev/core"
)

// convertAll applies f to every item. It returns nil if there are none.
func convertAll[A, B any](items []A, f func(A) B) []B {
	if len(items) == 0 {
		return nil
	}
	out := make([]B, len(items))
	for i, item := range items {
		out[i] = f(item)
	}
	return out
}

// toEnum converts a value received in field to an enum type whose highest value
// is last. It returns a [*RangeError] if the value is higher.
func toEnum[E ~int](field string, value uint32, last E) (E, error) {
	if value > uint32(last) {
		return 0, &RangeError{Field: field, Value: value}
	}
	return E(value), nil
}

func fromAllocation(a core.Allocation) *Allocation {
	return &Allocation{
		Request:     string(a.Request),
		Attempt:     uint32(a.Attempt),
		Holder:      string(a.Holder),
		Incarnation: uint64(a.Incarnation),
	}
}

func toAllocation(a *Allocation) core.Allocation {
	return core.Allocation{
		Request:     core.RequestID(a.GetRequest()),
		Attempt:     core.Attempt(a.GetAttempt()),
		Holder:      core.NodeID(a.GetHolder()),
		Incarnation: core.Incarnation(a.GetIncarnation()),
	}
}

func fromAllocations(list []core.Allocation) []*Allocation { return convertAll(list, fromAllocation) }

func toAllocations(list []*Allocation) []core.Allocation { return convertAll(list, toAllocation) }

func fromPrompt(p core.Prompt) *Prompt {
	return &Prompt{
		Tokens: int64(p.Tokens),
		Blocks: convertAll(p.Blocks, func(b core.BlockHash) uint64 { return uint64(b) }),
	}
}

func toPrompt(p *Prompt) core.Prompt {
	return core.Prompt{
		Tokens: core.Tokens(p.GetTokens()),
		Blocks: convertAll(p.GetBlocks(), func(b uint64) core.BlockHash { return core.BlockHash(b) }),
	}
}

func fromNode(n core.NodeInfo) *NodeInfo {
	return &NodeInfo{
		ID:            string(n.ID),
		Domain:        string(n.Domain),
		Region:        string(n.Region),
		PeerAddress:   n.PeerAddress,
		CallerAddress: n.CallerAddress,
		Leaving:       n.Leaving,
		Isolated:      n.Isolated,
	}
}

func toNode(n *NodeInfo) core.NodeInfo {
	return core.NodeInfo{
		ID:            core.NodeID(n.GetID()),
		Domain:        core.DomainID(n.GetDomain()),
		Region:        core.RegionID(n.GetRegion()),
		PeerAddress:   n.GetPeerAddress(),
		CallerAddress: n.GetCallerAddress(),
		Leaving:       n.GetLeaving(),
		Isolated:      n.GetIsolated(),
	}
}

func fromUpstream(u core.Upstream) *Upstream {
	return &Upstream{
		ID:      string(u.ID),
		Pool:    string(u.Pool),
		Domain:  string(u.Domain),
		Region:  string(u.Region),
		Address: u.Address,
		Leaving: u.Leaving,
	}
}

func toUpstream(u *Upstream) core.Upstream {
	return core.Upstream{
		ID:      core.EngineID(u.GetID()),
		Pool:    core.PoolID(u.GetPool()),
		Domain:  core.DomainID(u.GetDomain()),
		Region:  core.RegionID(u.GetRegion()),
		Address: u.GetAddress(),
		Leaving: u.GetLeaving(),
	}
}

func fromVMListAnswer(b core.VMListAnswer) *VMListAnswer {
	return &VMListAnswer{
		Nodes:     convertAll(b.List.Nodes, fromNode),
		Upstreams: convertAll(b.List.Upstreams, fromUpstream),
		AgeNanos:  int64(b.Age),
	}
}

func toVMListAnswer(b *VMListAnswer) core.VMListAnswer {
	return core.VMListAnswer{
		List: core.VMList{
			Nodes:     convertAll(b.GetNodes(), toNode),
			Upstreams: convertAll(b.GetUpstreams(), toUpstream),
		},
		Age: time.Duration(b.GetAgeNanos()),
	}
}
