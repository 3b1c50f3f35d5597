package core

import "time"

// soundFromOthers is how long the success of another node's request shows that an upstream is
// sound, although one node reports failures.
const soundFromOthers = time.Second

// soundReport is a success at an upstream that a node reported.
type soundReport struct {
	from NodeID
	at   Instant
}

// recordSound records that a node reported a success at the upstream.
func (u *upstream) recordSound(now Instant, from NodeID) {
	if u.soundBy[0].from != from {
		u.soundBy[1] = u.soundBy[0]
	}
	u.soundBy[0] = soundReport{from, now}
}

// recordReportedFailure records that another node reported a failure at the upstream. That of
// an isolated node does not count, nor that of a single node while others succeed there: its
// own path may have failed.
func (u *upstream) recordReportedFailure(n *Node, from NodeID) {
	if m, ok := n.members.byID[from]; ok && m.node.Isolated {
		return
	}
	if u.failedBy == nil {
		u.failedBy = Set[NodeID]{}
	}
	u.failedBy.Add(from)
	if len(u.failedBy) == 1 {
		for _, r := range u.soundBy {
			if r.from != "" && r.from != from && n.now.Sub(r.at) < soundFromOthers {
				return
			}
		}
	}
	u.recordFailure(n.now)
}

// memberIsolated takes back the failures that only a node reported which is isolated now.
func (s *forwards) memberIsolated(id NodeID) {
	for _, u := range s.upstreams.byID {
		if !u.failedBy.Has(id) {
			continue
		}
		if u.failedBy.Remove(id); len(u.failedBy) == 0 {
			u.failures, u.avoidUntil = 0, 0
		}
	}
}
