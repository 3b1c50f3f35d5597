package core

// checks counts invariant checks and the violations that they found, by Promise.
type checks struct {
	checked  [9]uint64
	violated [9]uint64
	// nextCheck is the earliest time of the next check of the node's whole state.
	nextCheck Instant
}

// checkInvariant counts one check of an invariant and reports a violation if ok is
// false.
func (n *Node) checkInvariant(promise Promise, ok bool, detail string) {
	n.checks.checked[promise]++
	if ok {
		return
	}
	n.checks.violated[promise]++
	n.do(LogViolation{Violation: Violation{Promise: promise, Detail: detail}})
}

// check verifies the invariants that span the node's whole state.
func (n *Node) check() {
	if n.now < n.checks.nextCheck {
		return
	}
	n.checks.nextCheck = n.now.Add(n.Settings.CheckEvery)
	n.checkMemory()
}

// checkMemory verifies that each allocation that an engine may hold for this node either
// serves a live request or is being released.
func (n *Node) checkMemory() {
	for key := range n.heldAllocations {
		_, releasing := n.releases[key]
		ok, detail := releasing || n.entry.live(key.allocation), ""
		if !ok {
			detail = "memory is held for an attempt that ended: " + string(key.engine) + " " + string(key.allocation.Request)
		}
		n.checkInvariant(MemoryReleased, ok, detail)
	}
}
