package capacity

import (
	"time"

	"daisyshed.dev/core"
)

// node runs one core.
type node struct {
	fleet   *Fleet
	info    core.NodeInfo
	core    *core.Node
	stopped bool
	wakeAt  core.Instant
	wakeSet bool
	status  core.Status
}

// receive passes a message to the core and carries out what follows.
func (n *node) receive(m core.Message) {
	if n.stopped {
		return
	}
	u := &n.fleet.Usage
	began := time.Now()
	commands := n.core.Update(n.fleet.clock.Now, m)
	u.UpdateTime += time.Since(began)
	u.Updates++
	n.carryOutAll(commands)
}

// look returns the node's view, uncounted.
func (n *node) look() core.Status {
	n.carryOutAll(n.core.Update(n.fleet.clock.Now, core.StatusQuery{}))
	return n.status
}

func (n *node) carryOutAll(commands []core.Command) {
	for _, c := range commands {
		n.carryOut(c)
	}
	n.setWake()
}

// setWake makes sure that the core gets a tick when it wants one.
func (n *node) setWake() {
	at, ok := n.core.NextTick()
	if !ok || (n.wakeSet && n.wakeAt <= at) {
		return
	}
	n.wakeSet, n.wakeAt = true, at
	n.fleet.clock.After(at.Sub(n.fleet.clock.Now), func() {
		if n.wakeAt == at {
			n.wakeSet = false
			n.receive(core.Tick{})
		}
	})
}

// later passes a message to the node after a delay.
func (n *node) later(d time.Duration, m core.Message) {
	n.fleet.clock.After(d, func() { n.receive(m) })
}

func (n *node) carryOut(c core.Command) {
	f := n.fleet
	switch c := c.(type) {
	case core.SendPeer:
		n.sendPeer(c)
	case core.AppendLog:
		f.appendLog(n, c)
	case core.ReadLog:
		f.readLog(n, c)
	case core.ReadVMList:
		n.later(logDelay, core.VMList{Nodes: f.infos, Upstreams: f.Upstreams})
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
		n.later(serviceTime, core.ServiceAnswered{Ticket: c.Ticket, Engine: c.Engine, Status: 200, Body: make([]byte, answerBytes)})
	case core.StartPrefill:
		f.engines[c.Engine].prefill(n, c)
	case core.StartImport:
		f.engines[c.Engine].load(n, c)
	case core.StartDecode:
		f.engines[c.Engine].decode(n, c)
	case core.ReleaseMemory:
		f.engines[c.Engine].release(n, c)
	case core.PollEngine:
		f.engines[c.Engine].poll(n, c)
	}
}

const (
	// serviceTime is how long a plain service takes for a call, and
	// answerBytes the size of its answer.
	serviceTime = 20 * time.Millisecond
	answerBytes = 64
)

// sendPeer passes a message to another node and counts it.
func (n *node) sendPeer(c core.SendPeer) {
	f := n.fleet
	m := core.PeerMessage{From: n.info.ID, Incarnation: n.core.Incarnation, Body: c.Body}
	f.Usage.add(messageSize(m))
	to, ok := f.nodes[c.To]
	if !ok || f.cut(n.info, to.info) {
		return
	}
	f.clock.After(f.delay(n.info, to.info), func() { f.nodes[c.To].receive(m) })
}
