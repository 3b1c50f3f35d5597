package world

import (
	"strconv"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/wire/platformlog"
)

// node runs the core of a node.
type node struct {
	world *World
	info  core.NodeInfo
	core  *core.Node
	// A stopped node ignores all messages. A frozen node keeps them in inbox until
	// the freeze ends.
	stopped bool
	frozen  bool
	inbox   []func()
	// clockRate is the rate of the node's clock relative to the virtual time.
	clockRate     float64
	tickAt        core.Instant
	tickScheduled bool
	// callers holds the connections of callers, and streams the streams from
	// engines that the node forwards to them.
	callers map[core.RequestID]*connection
	streams map[core.RequestID]*stream
	// calls holds the calls that the node has not answered yet.
	calls map[core.CallID]*Call
}

// StartNode starts a node, or restarts it with a new incarnation.
func (w *World) StartNode(info core.NodeInfo) {
	n := &node{
		world:     w,
		info:      info,
		clockRate: w.clockRate(info.ID),
		callers:   make(map[core.RequestID]*connection),
		streams:   make(map[core.RequestID]*stream),
		calls:     make(map[core.CallID]*Call),
		core: &core.Node{
			Self:        info,
			Incarnation: core.Incarnation(w.Now),
			Seed:        w.Seed ^ hash(string(info.ID)),
			Settings:    w.Settings,
			Policy:      w.Policy,
		},
	}
	w.nodes[info.ID] = n
	n.receive(core.VMList{Nodes: w.Nodes})
}

// clockRate returns the rate of a node's clock, within ClockSpread of one.
func (w *World) clockRate(id core.NodeID) float64 {
	share := float64(hash(string(id)+strconv.FormatUint(w.Seed, 10))%2001)/1000 - 1
	return 1 + share*w.ClockSpread
}

// hash returns the 64-bit FNV-1a hash of s.
func hash(s string) uint64 {
	h := uint64(14695981039346656037)
	for _, c := range []byte(s) {
		h = (h ^ uint64(c)) * 1099511628211
	}
	return h
}

// whenNotFrozen calls f now, or when the freeze ends if the node is frozen.
func (n *node) whenNotFrozen(f func()) {
	if n.frozen {
		n.inbox = append(n.inbox, f)
		return
	}
	f()
}

// receive passes a message to the core and executes the commands that it returns.
func (n *node) receive(m core.Message) {
	if n.stopped {
		return
	}
	if n.frozen {
		n.inbox = append(n.inbox, func() { n.receive(m) })
		return
	}
	w := n.world
	w.Updates++
	var began time.Time
	if w.MeasureTime {
		began = time.Now()
	}
	commands := n.core.Update(n.clock(), m)
	if w.MeasureTime {
		w.UpdateTime += time.Since(began)
	}
	for _, c := range commands {
		n.execute(c)
	}
	n.scheduleTick()
}

// clock returns the time of the node's own clock.
func (n *node) clock() core.Instant {
	return Start.Add(time.Duration(n.clockRate * float64(n.world.Now.Sub(Start))))
}

// worldTime returns the earliest virtual time at which the node's clock has
// reached the given time.
func (n *node) worldTime(at core.Instant) core.Instant {
	if n.clockRate == 1 {
		return at
	}
	return Start.Add(time.Duration(float64(at.Sub(Start))/n.clockRate) + time.Nanosecond)
}

// scheduleTick schedules a tick for when the core's next update is due, unless an
// earlier one is already scheduled.
func (n *node) scheduleTick() {
	due, ok := n.core.NextTick()
	at := n.worldTime(due)
	if !ok || (n.tickScheduled && n.tickAt <= at) {
		return
	}
	n.tickScheduled = true
	n.tickAt = at
	n.world.schedule(at, func() {
		if n.tickAt == at {
			n.tickScheduled = false
			n.receive(core.Tick{})
		}
	})
}

func (n *node) execute(c core.Command) {
	w := n.world
	switch c := c.(type) {
	case core.SendPeer:
		n.sendPeer(c)
	case core.RejectRequest:
		n.rejectRequest(c)
	case core.AnswerCall:
		n.answerCall(c)
	case core.StartPrefill:
		n.startPrefill(c)
	case core.StartImport:
		n.startImport(c)
	case core.StartDecode:
		n.startDecode(c)
	case core.ReleaseMemory:
		n.releaseMemory(c)
	case core.PollEngine:
		n.pollEngine(c)
	case core.SendOrder:
		n.sendOrder(c)
	case core.CallService:
		n.callService(c)
	case core.AppendLog:
		n.appendLog(c)
	case core.ReadLog:
		n.readLog(c)
	case core.ReadVMList:
		n.readVMList()
	case core.LogDecision:
		if w.ObserveDecision != nil {
			w.ObserveDecision(c.Decision)
		}
	case core.LogViolation:
		w.Violations = append(w.Violations, Violation{At: w.Now, Node: n.info.ID, Violation: c.Violation})
	case core.StopNode:
		n.stopped = true
	case core.AnswerAddresses, core.AnswerStatus:
	}
}

// sendPeer sends a message to another node, subject to cuts, loss and
// duplication.
func (n *node) sendPeer(c core.SendPeer) {
	w := n.world
	m := core.PeerMessage{From: n.info.ID, Incarnation: n.core.Incarnation, Body: c.Body}
	w.countBytes(m)
	if w.cutLinks[link{n.info.ID, c.To}] || w.rng.Float64() < w.loss {
		return
	}
	deliver := func() {
		if to, ok := w.nodes[c.To]; ok {
			to.receive(m)
		}
	}
	w.After(w.LinkDelay, deliver)
	if w.rng.Float64() < w.duplication {
		w.After(w.LinkDelay+time.Duration(w.rng.Int64N(int64(20*time.Millisecond))), deliver)
	}
}

// receiveAfter schedules the node to receive a message after a delay.
func (n *node) receiveAfter(d time.Duration, m core.Message) {
	n.world.After(d, func() { n.receive(m) })
}

func (n *node) appendLog(c core.AppendLog) {
	w := n.world
	w.After(w.LogDelay/2, func() {
		first, err := w.appendRecords(c.Stream, c.Records)
		if err != nil {
			n.receiveAfter(w.LogDelay/2, core.LogAppendFailed{
				Ticket: c.Ticket, NotAppended: !isReplyLost(err), Reason: err.Error(),
			})
			return
		}
		n.receiveAfter(w.LogDelay/2, core.LogAppended{Ticket: c.Ticket, First: first})
	})
}

func (n *node) readLog(c core.ReadLog) {
	w := n.world
	w.After(w.LogDelay, func() {
		res, err := w.log.Read(w.Now, c.Stream, c.After)
		if err != nil {
			n.receive(core.LogReadFailed{Stream: c.Stream, Reason: err.Error()})
			return
		}
		records := make([]core.LogRecord, 0, len(res.Entries))
		for _, e := range res.Entries {
			records = append(records, core.LogRecord{Offset: e.Offset, At: e.At, Record: platformlog.Decode(e.Data)})
		}
		n.receive(core.LogRead{
			Stream: c.Stream, After: c.After, Records: records, First: res.First, End: res.End,
			Now: res.Now, Retention: time.Duration(res.RetentionNanos),
		})
	})
}

func (n *node) readVMList() {
	w := n.world
	w.After(w.LogDelay, func() {
		list, err := w.vms.List(w.Now)
		if err != nil {
			n.receive(core.VMListReadFailed{Reason: err.Error()})
			return
		}
		n.receive(list.ToCore())
	})
}
