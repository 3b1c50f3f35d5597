package capacity

import (
	"time"

	"daisyshed.dev/core"
)

// node runs one core and executes its commands.
type node struct {
	fleet         *Fleet
	info          core.NodeInfo
	core          *core.Node
	stopped       bool
	tickAt        core.Instant
	tickScheduled bool
	status        core.Status
}

// receive passes a message to the core, measures the time that the core takes,
// and executes the resulting commands.
func (n *node) receive(m core.Message) {
	if n.stopped {
		return
	}
	u := &n.fleet.Usage
	began := time.Now()
	commands := n.core.Update(n.fleet.clock.Now, m)
	u.UpdateTime += time.Since(began)
	u.Updates++
	n.executeAll(commands)
}

// queryStatus returns the node's status. The query is not counted in Usage.
func (n *node) queryStatus() core.Status {
	n.executeAll(n.core.Update(n.fleet.clock.Now, core.StatusQuery{}))
	return n.status
}

func (n *node) executeAll(commands []core.Command) {
	for _, c := range commands {
		n.execute(c)
	}
	n.scheduleTick()
}

// scheduleTick schedules the next tick for the time at which the core asks for
// it.
func (n *node) scheduleTick() {
	at, ok := n.core.NextTick()
	if !ok || (n.tickScheduled && n.tickAt <= at) {
		return
	}
	n.tickScheduled, n.tickAt = true, at
	n.fleet.clock.After(at.Sub(n.fleet.clock.Now), func() {
		if n.tickAt == at {
			n.tickScheduled = false
			n.receive(core.Tick{})
		}
	})
}

// receiveAfter passes a message to the node after a delay.
func (n *node) receiveAfter(d time.Duration, m core.Message) {
	n.fleet.clock.After(d, func() { n.receive(m) })
}

func (n *node) execute(c core.Command) {
	f := n.fleet
	switch c := c.(type) {
	case core.SendPeer:
		n.sendPeer(c)
	case core.AppendLog:
		f.appendLog(n, c)
	case core.ReadLog:
		f.readLog(n, c)
	case core.ReadVMList:
		n.receiveAfter(logDelay, core.VMList{Nodes: f.infos, Upstreams: f.Upstreams})
		f.Usage.add(vmListKind, f.vmListSize())
	case core.AnswerStatus:
		n.status = c.Status
	case core.AnswerCall:
		if c.Outcome == core.Ran {
			f.answered++
		}
	case core.RejectRequest:
		f.Usage.Refused++
	case core.CallService:
		n.receiveAfter(serviceTime, core.ServiceAnswered{Ticket: c.Ticket, Engine: c.Engine, Status: 200, Body: make([]byte, answerBytes)})
	case core.StartPrefill:
		f.engines[c.Engine].prefill(n, c)
	case core.StartImport:
		f.engines[c.Engine].startImport(n, c)
	case core.StartDecode:
		f.engines[c.Engine].decode(n, c)
	case core.ReleaseMemory:
		f.engines[c.Engine].release(n, c)
	case core.PollEngine:
		f.engines[c.Engine].poll(n, c)
	}
}

const (
	// serviceTime is the time that a plain service takes to answer a call, and
	// answerBytes the size of its answer.
	serviceTime = 20 * time.Millisecond
	answerBytes = 64
)

// sendPeer counts a message to another node and delivers it unless the link is
// cut.
func (n *node) sendPeer(c core.SendPeer) {
	f := n.fleet
	m := core.PeerMessage{From: n.info.ID, Incarnation: n.core.Incarnation, Body: c.Body}
	f.Usage.add(messageSize(m))
	to, ok := f.nodes[c.To]
	if !ok || f.linkCut(n.info, to.info) {
		return
	}
	f.clock.After(f.delay(n.info, to.info), func() { f.nodes[c.To].receive(m) })
}
