package operator

import (
	"cmp"
	"context"
	"slices"
	"time"

	"daisyshed.dev/core"
)

// NodeOffset is the configuration offset that a live node has applied.
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

// Rollout lists the live nodes and whether a configuration offset is in force on
// each. An offset is in force on a node once the node has applied the log up to
// it.
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

// Complete reports whether the offset is in force on all live nodes. It is false
// if no daemon answered, since no node is known then.
func (r Rollout) Complete() bool { return len(r.Nodes) > 0 && len(r.Missing()) == 0 }

// Wait polls the daemons until an offset is in force on all live nodes or ctx
// ends, and returns the last rollout it observed.
func (f *Fleet) Wait(ctx context.Context, offset core.Offset, every time.Duration) Rollout {
	var last Rollout
	for {
		// Once ctx has ended, requests may have been cut short, so the previous
		// poll is more complete.
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

// rollout combines the offsets that daemons report for themselves and for their
// members. A node's offset never decreases, so the highest reported value is the
// most recent.
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

// merge adds a reported offset to nodes and keeps the highest one per node.
func merge(nodes map[core.NodeID]NodeOffset, info core.NodeInfo, offset core.Offset) {
	n := nodes[info.ID]
	n.Node, n.Domain = info.ID, info.Domain
	n.Offset = max(n.Offset, offset)
	nodes[info.ID] = n
}
