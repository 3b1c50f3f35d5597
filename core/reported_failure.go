package core

import (
	"maps"
	"slices"
)

// maxFailedAlike is at how many upstreams a node may fail, without a success since, until its
// reports do not count if others succeed there.
const maxFailedAlike = 2

// soundReport is a success at an upstream that a node reported.
type soundReport struct {
	from NodeID
	at   Instant
}

// recordReportedSuccess records that a node reported a success at an upstream.
func (d *dispatcher) recordReportedSuccess(n *Node, from NodeID, u *upstream) {
	delete(d.failedAt, from)
	if u.soundBy[0].from != from {
		u.soundBy[1] = u.soundBy[0]
	}
	u.soundBy[0] = soundReport{from, n.now}
}

// recordReportedFailure records that another node reported a failure at an upstream, and
// reports whether it counts. The node's own path may have failed if it is isolated, or fails at
// several upstreams while others succeed there.
func (d *dispatcher) recordReportedFailure(n *Node, from NodeID, u *upstream) bool {
	if m, ok := n.members.byID[from]; ok && m.node.Isolated {
		return false
	}
	if d.failsAlone(n, from, u) {
		d.withdrawReports(n, from)
		return false
	}
	if u.failedBy == nil {
		u.failedBy = Set[NodeID]{}
	}
	u.failedBy.Add(from)
	u.recordFailure(n.now)
	return true
}

// failsAlone records that a node fails at an upstream, and reports whether it fails at several
// and others have succeeded at one of them since.
func (d *dispatcher) failsAlone(n *Node, from NodeID, u *upstream) bool {
	failed, ok := d.failedAt[from]
	if !ok {
		failed = map[EngineID]Instant{}
		d.failedAt[from] = failed
	}
	maps.DeleteFunc(failed, func(_ EngineID, at Instant) bool { return n.now.Sub(at) > failureWindow })
	if _, known := failed[u.ID]; !known {
		failed[u.ID] = n.now
	}
	if len(failed) < maxFailedAlike {
		return false
	}
	for id, at := range failed {
		if u, ok := n.forward.upstreams.byID[id]; ok && u.soundForOthers(from, at) {
			return true
		}
	}
	return false
}

// soundForOthers reports whether a request of a node other than from has succeeded at the
// upstream since an instant.
func (u *upstream) soundForOthers(from NodeID, since Instant) bool {
	return slices.ContainsFunc(u.soundBy[:], func(r soundReport) bool {
		return r.from != "" && r.from != from && r.at > since
	})
}

// withdrawReports takes back the failures that only the given node reported.
func (d *dispatcher) withdrawReports(n *Node, from NodeID) {
	for _, u := range n.forward.upstreams.byID {
		if !u.failedBy.Has(from) {
			continue
		}
		if u.failedBy.Remove(from); len(u.failedBy) == 0 {
			u.failures, u.avoidUntil = 0, 0
			d.allocation(u.ID).deniedUntil = 0
		}
	}
}

// memberIsolated handles the report that a node is isolated: its reports and failures on connections
// through it do not count, and this node probes whether it is isolated too.
func (n *Node) memberIsolated(id NodeID) {
	if !n.Hosted {
		return
	}
	n.dispatcher.withdrawReports(n, id)
	n.isolation.withdrawBlame(n, id)
	n.isolation.check(n)
}
