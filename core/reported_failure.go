package core

import (
	"maps"
	"slices"
	"time"
)

const (
	// soundFromOthers is how long the success of another node's request shows that an upstream
	// is sound, although one node reports failures.
	soundFromOthers = time.Second
	// maxFailedAlike is at how many upstreams that are sound for others a node may fail, without
	// a success since, until its reports do not count.
	maxFailedAlike = 2
)

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
// reports whether it counts. The node's own path may have failed if it is isolated, or if others
// succeed at the upstream and it fails there alone, or at several of that kind.
func (d *dispatcher) recordReportedFailure(n *Node, from NodeID, u *upstream) bool {
	if m, ok := n.members.byID[from]; ok && m.node.Isolated {
		return false
	}
	if u.failedBy == nil {
		u.failedBy = Set[NodeID]{}
	}
	sound := u.soundForOthers(n.now, from)
	if sound && d.failsAlike(n, from, u) {
		d.withdrawReports(n, from)
		return false
	}
	u.failedBy.Add(from)
	if sound && len(u.failedBy) == 1 {
		return false
	}
	u.recordFailure(n.now)
	return true
}

// soundForOthers reports whether a request of a node other than from has just succeeded at the
// upstream.
func (u *upstream) soundForOthers(now Instant, from NodeID) bool {
	return slices.ContainsFunc(u.soundBy[:], func(r soundReport) bool {
		return r.from != "" && r.from != from && now.Sub(r.at) < soundFromOthers
	})
}

// failsAlike records that a node fails at an upstream at which others succeed, and reports
// whether it does so at several.
func (d *dispatcher) failsAlike(n *Node, from NodeID, u *upstream) bool {
	failed, ok := d.failedAt[from]
	if !ok {
		failed = map[EngineID]Instant{}
		d.failedAt[from] = failed
	}
	failed[u.ID] = n.now
	maps.DeleteFunc(failed, func(_ EngineID, at Instant) bool { return n.now.Sub(at) > failureWindow })
	return len(failed) >= maxFailedAlike
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

// memberIsolated handles the news that a node is isolated: its reports do not count, and this
// node looks whether it is isolated too.
func (n *Node) memberIsolated(id NodeID) {
	if !n.Hosted {
		return
	}
	n.dispatcher.withdrawReports(n, id)
	n.isolation.check(n)
}
