package core

// checks counts invariant checks and the violations found.
type checks struct {
	checked  [9]uint64
	violated [9]uint64
	// due is the earliest time of the next check of the whole state.
	due Instant
}

// require notes one check of a promise and reports a violation if ok is false.
func (n *Node) require(promise Promise, ok bool, detail string) {
	n.checks.checked[promise]++
	if ok {
		return
	}
	n.checks.violated[promise]++
	n.do(LogViolation{Violation: Violation{Promise: promise, Detail: detail}})
}

// check runs the invariants that span the node's whole state.
func (n *Node) check() {
	if n.now < n.checks.due {
		return
	}
	n.checks.due = n.now.Add(n.Settings.CheckEvery)
	n.checkMemory()
}

// checkMemory asserts that whatever an engine may hold for this node either
// serves a live request or is being released.
func (n *Node) checkMemory() {
	for key := range n.holds {
		_, releasing := n.releases[key]
		ok, detail := releasing || n.entry.live(key.allocation), ""
		if !ok {
			detail = "memory is held for an attempt that ended: " + string(key.engine) + " " + string(key.allocation.Request)
		}
		n.require(MemoryReleased, ok, detail)
	}
}
