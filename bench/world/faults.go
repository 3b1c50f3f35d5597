package world

import (
	"fmt"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/standin/fault"
)

// Kill ends a node at once and breaks its callers' connections.
func (w *World) Kill(id core.NodeID) {
	n, ok := w.nodes[id]
	if !ok || n.stopped {
		return
	}
	n.stopped = true
	for _, request := range sorted(n.callers) {
		conn := n.callers[request]
		w.After(w.CallerDelay, conn.broken)
	}
	for _, c := range n.calls {
		c.Lost++
	}
}

// Freeze stops a node for a time; what arrives meanwhile waits.
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

// Cut stops messages from one node to another, or lets them through again.
func (w *World) Cut(from, to core.NodeID, on bool) {
	if on {
		w.cuts[cut{from, to}] = true
		return
	}
	delete(w.cuts, cut{from, to})
}

// Unreliable loses and duplicates shares of the messages between nodes.
func (w *World) Unreliable(loss, dup float64) { w.loss, w.dup = loss, dup }

// Running reports whether a node has neither been killed nor stopped.
func (w *World) Running(id core.NodeID) bool {
	n, ok := w.nodes[id]
	return ok && !n.stopped
}

// Shutdown asks a node to leave.
func (w *World) Shutdown(id core.NodeID) {
	if n, ok := w.nodes[id]; ok {
		n.receive(core.Shutdown{})
	}
}

// Status returns a node's view.
func (w *World) Status(id core.NodeID) (status core.Status) {
	n := w.nodes[id]
	for _, c := range n.core.Update(n.clock(), core.StatusQuery{}) {
		if a, ok := c.(core.AnswerStatus); ok {
			status = a.Status
			continue
		}
		n.carryOut(c)
	}
	n.setWake()
	return status
}

// LoseEngine ends an engine at once; nothing reaches it until it is restored.
func (w *World) LoseEngine(id core.EngineID) {
	w.engines[id].removed = true
	w.Inject(id, fault.Fault{Kind: fault.Crash})
}

// RestoreEngine lets a lost engine start again, with nothing in its memory.
func (w *World) RestoreEngine(id core.EngineID) { w.engines[id].removed = false }

func (w *World) parallel(n *node, c *Caller) {
	if w.Parallel != nil {
		w.Parallel(n.info.ID, c)
	}
}

// MendLinks ends all cuts.
func (w *World) MendLinks() { clear(w.cuts) }

// Streaming returns how many callers a node is connected to.
func (w *World) Streaming(id core.NodeID) int {
	if n, ok := w.nodes[id]; ok && !n.stopped {
		return len(n.callers)
	}
	return 0
}

// Calling returns how many calls a node has not answered yet.
func (w *World) Calling(id core.NodeID) int {
	if n, ok := w.nodes[id]; ok && !n.stopped {
		return len(n.calls)
	}
	return 0
}

// PoolOf returns an engine's pool.
func (w *World) PoolOf(id core.EngineID) core.PoolID {
	for _, e := range w.Engines {
		if e.Upstream.ID == id {
			return e.Upstream.Pool
		}
	}
	return ""
}

// Describe says where a caller's request stands, for a failing run.
func (w *World) Describe(c *Caller) string {
	where := "no node"
	if c.node != nil {
		where = string(c.node.info.ID)
	}
	return fmt.Sprintf("received %d of %d, refused %d (%s), last at %s", c.Received, c.Output, c.Refused, c.Reason, where)
}
