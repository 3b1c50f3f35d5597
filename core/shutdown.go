package core

import "time"

// shutdownCheckInterval is how often a leaving node checks whether it has finished.
const shutdownCheckInterval = 100 * time.Millisecond

// shutdown makes the node leave: it accepts no new requests, notifies its peers,
// and stops once its requests are finished.
func (n *Node) shutdown() {
	if n.leaving {
		return
	}
	n.leaving = true
	n.members.announceLeaving(n)
	if n.Hosted {
		n.shutdownHosted()
		return
	}
	for _, id := range sortedKeys(n.owner.groups) {
		n.owner.rejectAllQueued(n, n.owner.groups[id], Leaving)
	}
	n.owner.reconcile(n)
	n.stopWhenIdle()
}

// stopWhenIdle stops the node once it is idle.
func (n *Node) stopWhenIdle() {
	if n.idle() {
		n.do(StopNode{})
		return
	}
	n.afterFunc(shutdownCheckInterval, func(n *Node) { n.stopWhenIdle() })
}

// idle reports whether no request or release is in progress.
func (n *Node) idle() bool {
	return len(n.entry.requests) == 0 && len(n.releases) == 0 && !n.serviceCalls.blocksShutdown() && len(n.forward.live) == 0
}
