package operator

import (
	"cmp"
	"context"
	"slices"
	"time"

	"daisyshed.dev/core"
)

// NodeOffset is how far a live node has come with the configuration.
type NodeOffset struct {
	Node    core.NodeID
	Domain  core.DomainID
	Offset  core.Offset
	InForce bool
}

// Unreachable is a daemon that did not answer.
type Unreachable struct {
	URL    string
	Reason string
}

// Rollout says on which live nodes an offset is in force.
type Rollout struct {
	Offset      core.Offset
	Nodes       []NodeOffset
	Unreachable []Unreachable
}

// Missing returns the live nodes on which the offset is not in force.
func (r Rollout) Missing() []NodeOffset {
	var out []NodeOffset
	for _, n := range r.Nodes {
		if !n.InForce {
			out = append(out, n)
		}
	}
	return out
}

// Complete says whether the offset is in force on all live nodes. It takes at
// least one answer to know of any.
func (r Rollout) Complete() bool { return len(r.Nodes) > 0 && len(r.Missing()) == 0 }

// Wait asks the daemons again and again until an offset is in force on all
// live nodes or ctx ends, and returns what it saw last.
func (f *Fleet) Wait(ctx context.Context, offset core.Offset, every time.Duration) Rollout {
	var last Rollout
	for {
		// An answer that the deadline cut short says less than the one before.
		now := rollout(offset, f.Statuses(ctx))
		if ctx.Err() == nil || last.Offset == 0 {
			last = now
		}
		if last.Complete() {
			return last
		}
		select {
		case <-ctx.Done():
			return last
		case <-time.After(every):
		}
	}
}

// rollout combines what the daemons say of themselves and of each other. A
// node's offset never falls, so the highest one heard of is right.
func rollout(offset core.Offset, answers []Answer[core.Status]) Rollout {
	out := Rollout{Offset: offset}
	nodes := map[core.NodeID]NodeOffset{}
	for _, a := range answers {
		if a.Err != nil {
			out.Unreachable = append(out.Unreachable, Unreachable{URL: a.URL, Reason: a.Err.Reason})
			continue
		}
		merge(nodes, a.Value.Node, a.Value.ConfigOffset)
		for _, m := range a.Value.Members {
			if m.Status == core.Alive || m.Status == core.Suspect {
				merge(nodes, m.Node, m.ConfigOffset)
			}
		}
	}
	for _, n := range nodes {
		n.InForce = n.Offset >= offset
		out.Nodes = append(out.Nodes, n)
	}
	slices.SortFunc(out.Nodes, func(a, b NodeOffset) int { return cmp.Compare(a.Node, b.Node) })
	return out
}

func merge(nodes map[core.NodeID]NodeOffset, info core.NodeInfo, offset core.Offset) {
	n := nodes[info.ID]
	n.Node, n.Domain = info.ID, info.Domain
	n.Offset = max(n.Offset, offset)
	nodes[info.ID] = n
}
