package core

import "time"

const (
	// acceptAfterLeave is how long a leaving node still takes connections:
	// callers may use an answer with its address for that long.
	acceptAfterLeave = 2500 * time.Millisecond
	// aloneReserve is how long before its end a leaving node closes to callers
	// even if no other node takes them: what it took has to end first.
	aloneReserve = 2 * time.Second
)

// CloseCallers tells the runtime of a leaving node to take no more connections
// from callers, and to stop once the open requests have ended.
type CloseCallers struct{}

func (CloseCallers) isCommand() {}

// leaving is what a hosted node knows of its own leaving. Its zero value is a
// node that stays.
type leaving struct {
	at     Instant
	closed bool
}

// leaveHosted lets a hosted node go on serving until callers have turned to
// others. Planned work may stop all nodes within a few seconds; the last ones
// then go on until another has started, as far as their grace allows.
func (n *Node) leaveHosted() {
	n.left.at = n.now
	n.closeCallersInTime()
}

func (n *Node) closeCallersInTime() {
	if n.mayClose() {
		n.left.closed = true
		n.do(CloseCallers{})
		return
	}
	n.afterFunc(shutdownLook, func(n *Node) { n.closeCallersInTime() })
}

// mayClose reports whether callers need this leaving node no longer, or it has
// no time left.
func (n *Node) mayClose() bool {
	since := n.now.Sub(n.left.at)
	return since >= acceptAfterLeave && len(n.staying()) > 0 || since >= max(n.Settings.Grace-aloneReserve, acceptAfterLeave)
}

// outlivesNode reports whether a request may last longer than this node, which
// leaves and only stands in for others.
func (n *Node) outlivesNode(patience time.Duration) bool {
	if !n.leaving || n.now.Sub(n.left.at) < acceptAfterLeave {
		return false
	}
	return n.now.Add(patience) > n.left.at.Add(n.Settings.Grace)
}
