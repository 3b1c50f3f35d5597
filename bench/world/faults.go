package world

import (
	"fmt"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/standin/fault"
)

// Kill stops a node at once and breaks its callers' connections.
func (w *World) Kill(id core.NodeID) {
	n, ok := w.nodes[id]
	if !ok || n.stopped {
		return
	}
	n.stopped = true
	for _, request := range sortedKeys(n.callers) {
		conn := n.callers[request]
		w.After(w.CallerDelay, conn.handleLoss)
	}
	for _, c := range n.calls {
		c.Lost++
	}
}

// Freeze suspends a node for d. Messages that arrive meanwhile are handled
// afterwards.
func (w *World) Freeze(id core.NodeID, d time.Duration) {
	n, ok := w.nodes[id]
	if !ok || n.stopped || n.frozen {
		return
	}
	n.frozen = true
	w.After(d, func() {
		n.frozen = false
		inbox := n.inbox
		n.inbox = nil
		for _, deliver := range inbox {
			deliver()
		}
		n.receive(core.Tick{})
	})
}

// Cut drops messages from one node to another if on is set, and delivers them
// again if it is not.
func (w *World) Cut(from, to core.NodeID, on bool) {
	if on {
		w.cutLinks[link{from, to}] = true
		return
	}
	delete(w.cutLinks, link{from, to})
}

// SetMessageFaults sets the probabilities that a message between nodes is lost
// and that it is duplicated.
func (w *World) SetMessageFaults(loss, dup float64) { w.loss, w.duplication = loss, dup }

// Running reports whether a node has been started and has not been killed or
// stopped since.
func (w *World) Running(id core.NodeID) bool {
	n, ok := w.nodes[id]
	return ok && !n.stopped
}

// Shutdown asks a node to shut down gracefully.
func (w *World) Shutdown(id core.NodeID) {
	if n, ok := w.nodes[id]; ok {
		n.receive(core.Shutdown{})
	}
}

// Status returns a node's status.
func (w *World) Status(id core.NodeID) (status core.Status) {
	n := w.nodes[id]
	for _, c := range n.core.Update(n.clock(), core.StatusQuery{}) {
		if a, ok := c.(core.AnswerStatus); ok {
			status = a.Status
			continue
		}
		n.execute(c)
	}
	n.scheduleTick()
	return status
}

// CrashEngine crashes an engine and makes it unreachable until RestoreEngine.
func (w *World) CrashEngine(id core.EngineID) {
	w.engines[id].unreachable = true
	w.Inject(id, fault.Fault{Kind: fault.Crash})
}

// RestoreEngine makes a crashed engine reachable again, with empty memory.
func (w *World) RestoreEngine(id core.EngineID) { w.engines[id].unreachable = false }

func (w *World) reportParallelToken(n *node, c *Caller) {
	if w.ObserveParallel != nil {
		w.ObserveParallel(n.info.ID, c)
	}
}

// RestoreLinks ends all cuts between nodes.
func (w *World) RestoreLinks() { clear(w.cutLinks) }

// ConnectedCallers returns the number of callers connected to a running node.
func (w *World) ConnectedCallers(id core.NodeID) int {
	if n, ok := w.nodes[id]; ok && !n.stopped {
		return len(n.callers)
	}
	return 0
}

// PendingCalls returns the number of calls that a running node has not answered
// yet.
func (w *World) PendingCalls(id core.NodeID) int {
	if n, ok := w.nodes[id]; ok && !n.stopped {
		return len(n.calls)
	}
	return 0
}

// PoolOf returns an engine's pool, or the empty ID for an unknown engine.
func (w *World) PoolOf(id core.EngineID) core.PoolID {
	for _, e := range w.Engines {
		if e.Upstream.ID == id {
			return e.Upstream.Pool
		}
	}
	return ""
}

// Describe returns a summary of a caller's request for the report of a failure.
func (w *World) Describe(c *Caller) string {
	where := "no node"
	if c.node != nil {
		where = string(c.node.info.ID)
	}
	return fmt.Sprintf("received %d of %d, refused %d (%s), last at %s", c.Received, c.Output, c.Refused, c.Reason, where)
}
