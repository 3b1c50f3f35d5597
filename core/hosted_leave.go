package core

import "time"

const (
	// acceptAfterLeave is how long a leaving node keeps accepting connections:
	// callers may use an address answer that names it for that long.
	acceptAfterLeave = 2500 * time.Millisecond
	// closeReserve is how long before the end of its grace period a leaving node
	// stops accepting callers even if no other node accepts them, so that the
	// requests it has accepted can finish.
	closeReserve = 2 * time.Second
)

// StopAccepting tells the runtime of a leaving node to accept no more connections
// from callers, and to stop once the open requests have ended.
type StopAccepting struct{}

func (StopAccepting) isCommand() {}

// shutdownState is the state of a hosted node's shutdown. Its zero value is a node that
// is not shutting down.
type shutdownState struct {
	at     Instant
	closed bool
}

// shutdownHosted keeps a hosted node serving until callers have switched to other
// nodes. Planned maintenance may stop all nodes within a few seconds; the last ones
// then serve until another node has started, as far as their grace period allows.
func (n *Node) shutdownHosted() {
	n.shutdownState.at = n.now
	n.closeCallersWhenAllowed()
}

func (n *Node) closeCallersWhenAllowed() {
	if n.mayCloseCallers() {
		n.shutdownState.closed = true
		n.do(StopAccepting{})
		return
	}
	n.afterFunc(shutdownCheckInterval, func(n *Node) { n.closeCallersWhenAllowed() })
}

// mayCloseCallers reports whether callers no longer need this leaving node, or the
// node has no time left.
func (n *Node) mayCloseCallers() bool {
	since := n.now.Sub(n.shutdownState.at)
	return since >= acceptAfterLeave && len(n.acceptingNodes()) > 0 || since >= max(n.Settings.Grace-closeReserve, acceptAfterLeave)
}

// mayOutliveNode reports whether a request may last longer than this node, which is
// leaving and serves only because no other node does.
func (n *Node) mayOutliveNode(patience time.Duration) bool {
	if !n.leaving || n.now.Sub(n.shutdownState.at) < acceptAfterLeave {
		return false
	}
	return n.now.Add(patience) > n.shutdownState.at.Add(n.Settings.Grace)
}
