package core

import "time"

// shutdownLook is how often a leaving node checks whether it has finished.
const shutdownLook = 100 * time.Millisecond

// shutdown makes the node leave: it stops taking new work, lets its peers
// know, and stops once it has finished what it had.
func (n *Node) shutdown() {
	if n.leaving {
		return
	}
	n.leaving = true
	n.members.leave(n)
	if n.Hosted {
		n.leaveHosted()
		return
	}
	for _, id := range sortedKeys(n.owner.groups) {
		n.owner.refuseAll(n, n.owner.groups[id], Leaving)
	}
	n.owner.reconcile(n)
	n.stopWhenIdle()
}

func (n *Node) stopWhenIdle() {
	if n.idle() {
		n.do(StopNode{})
		return
	}
	n.afterFunc(shutdownLook, func(n *Node) { n.stopWhenIdle() })
}

// idle reports whether nothing is left to finish.
func (n *Node) idle() bool {
	return len(n.entry.serving) == 0 && len(n.releases) == 0 && !n.once.busy() && len(n.forward.live) == 0
}
