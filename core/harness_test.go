package core_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"daisyshed.dev/core"
)

// failer is the part of a test that the world uses.
type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// world runs several nodes on virtual time, with a simulated network and
// platform and injected faults. The same seed and the same calls give the same
// run.
type world struct {
	t          failer
	rng        *rand.Rand
	now        time.Duration
	events     eventHeap
	order      int
	settings   core.Settings
	hosts      map[core.NodeID]*host
	ids        []core.NodeID
	links      map[link]*fault
	log        *fakeLog
	vms        core.VMList
	vmListDown bool
	services   *fakeServices
	callers    *fakeCallers
	// handleCommand handles the commands that the world does not carry out itself.
	handleCommand func(id core.NodeID, c core.Command)
}

// link is one direction between two nodes.
type link struct{ from, to core.NodeID }

// fault holds the faults of a link.
type fault struct {
	cut        bool
	loss, dup  float64
	extraDelay time.Duration
}

// host runs the process of a node, one incarnation after another.
type host struct {
	info        core.NodeInfo
	node        *core.Node
	incarnation core.Incarnation
	up          bool
	frozen      bool
	// pauseBeforeCommands freezes the process between the next update and the
	// commands that it returns.
	pauseBeforeCommands bool
	// inbox and heldCommands are the messages and commands that wait until the
	// process is resumed.
	inbox        []core.Message
	heldCommands []core.Command
	// bootedAt is when the node's clock started, and clockRate how fast it runs
	// relative to the world's time.
	bootedAt  time.Duration
	clockRate float64
	wakeAt    time.Duration
}

func newWorld(t failer, seed uint64, nodes int) *world {
	w := &world{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)),
		hosts: map[core.NodeID]*host{}, links: map[link]*fault{},
		handleCommand: func(core.NodeID, core.Command) {},
	}
	w.log = newFakeLog(w)
	w.services = &fakeServices{w: w, ran: map[core.IdempotencyKey][]string{}}
	w.callers = &fakeCallers{w: w, byID: map[core.CallID]*sentCall{}, byKey: map[core.IdempotencyKey][]*sentCall{}}
	for i := range nodes {
		id := core.NodeID(fmt.Sprintf("node-%d", i))
		domain := core.DomainID(fmt.Sprintf("west-%d", i%3))
		info := core.NodeInfo{ID: id, Domain: domain, Region: "west", PeerAddress: string(id), CallerAddress: string(id)}
		w.hosts[id] = &host{info: info}
		w.ids = append(w.ids, id)
		w.vms.Nodes = append(w.vms.Nodes, info)
	}
	return w
}

// startAll starts every node.
func (w *world) startAll() {
	for _, id := range w.ids {
		w.restart(id)
	}
}

// restart kills a node's process if it runs, and starts its next incarnation.
func (w *world) restart(id core.NodeID) {
	h := w.hosts[id]
	w.kill(id)
	h.incarnation++
	h.up = true
	h.bootedAt = w.now - time.Duration(w.rng.Int64N(int64(time.Hour)))
	h.clockRate = 1 + (w.rng.Float64()-0.5)/500
	h.node = &core.Node{Self: h.info, Incarnation: h.incarnation, Seed: w.rng.Uint64(), Settings: w.settings}
	w.update(h, core.Tick{})
}

// kill ends a node's process.
func (w *world) kill(id core.NodeID) {
	h := w.hosts[id]
	h.up, h.frozen, h.pauseBeforeCommands = false, false, false
	h.inbox, h.heldCommands = nil, nil
}

// freeze pauses a node's process, either at once or between its next update
// and the commands that it returns.
func (w *world) freeze(id core.NodeID, beforeCommands bool) {
	h := w.hosts[id]
	if beforeCommands {
		h.pauseBeforeCommands = h.up
		return
	}
	h.frozen = h.up
}

// resume continues a frozen process: it carries out the held commands and then
// handles the messages that arrived meanwhile.
func (w *world) resume(id core.NodeID) {
	h := w.hosts[id]
	h.frozen, h.pauseBeforeCommands = false, false
	held, inbox := h.heldCommands, h.inbox
	h.heldCommands, h.inbox = nil, nil
	for _, c := range held {
		w.run(h, c)
	}
	for _, m := range inbox {
		w.update(h, m)
	}
	if h.up {
		w.update(h, core.Tick{})
	}
}

// clock returns the time of a node's own clock, which runs at its own rate.
func (h *host) clock(now time.Duration) core.Instant {
	return core.Instant(float64(now-h.bootedAt) * h.clockRate)
}

// send delivers a message to a node's process.
func (w *world) send(id core.NodeID, m core.Message) { w.update(w.hosts[id], m) }

func (w *world) update(h *host, m core.Message) {
	if !h.up {
		return
	}
	if h.frozen {
		h.inbox = append(h.inbox, m)
		return
	}
	commands := h.node.Update(h.clock(w.now), m)
	if h.pauseBeforeCommands {
		h.pauseBeforeCommands, h.frozen = false, true
		h.heldCommands = commands
		return
	}
	for _, c := range commands {
		w.run(h, c)
	}
	w.scheduleWake(h)
}

func (w *world) scheduleWake(h *host) {
	at, ok := h.node.NextTick()
	if !ok {
		return
	}
	due := h.bootedAt + time.Duration(float64(at)/h.clockRate) + time.Microsecond
	due = max(due, w.now)
	if h.wakeAt > w.now && h.wakeAt <= due {
		return
	}
	h.wakeAt = due
	incarnation := h.incarnation
	w.at(due, func() {
		if h.incarnation == incarnation && !h.frozen && h.wakeAt == due {
			h.wakeAt = 0
			w.update(h, core.Tick{})
		}
	})
}

// reply delivers m after a delay, unless the incarnation that it answers has
// ended.
func (w *world) reply(h *host, after time.Duration, m core.Message) {
	incarnation := h.incarnation
	w.at(w.now+after, func() {
		if h.incarnation == incarnation {
			w.update(h, m)
		}
	})
}

func (w *world) run(h *host, c core.Command) {
	switch c := c.(type) {
	case core.SendPeer:
		w.transmit(h, c)
	case core.AppendLog:
		w.log.append(h, c)
	case core.ReadLog:
		w.log.read(h, c)
	case core.ReadVMList:
		w.readVMList(h)
	case core.CallService:
		w.services.call(h, c)
	case core.AnswerCall:
		w.callers.answered(c)
	case core.LogViolation:
		w.t.Fatalf("%s at %v: %v", h.info.ID, w.now, c.Violation)
	default:
		w.handleCommand(h.info.ID, c)
	}
}

func (w *world) transmit(from *host, c core.SendPeer) {
	to, ok := w.hosts[c.To]
	if !ok {
		return
	}
	f := w.link(from.info.ID, c.To)
	copies := 1
	if w.chance(f.dup) {
		copies = 2
	}
	m := core.PeerMessage{From: from.info.ID, Incarnation: from.incarnation, Body: c.Body}
	for range copies {
		if f.cut || w.chance(f.loss) {
			continue
		}
		delay := 300*time.Microsecond + w.upTo(time.Millisecond) + w.upTo(f.extraDelay)
		w.at(w.now+delay, func() { w.update(to, m) })
	}
}

func (w *world) readVMList(h *host) {
	if w.vmListDown {
		w.reply(h, w.upTo(time.Second), core.VMListReadFailed{Reason: "down"})
		return
	}
	w.reply(h, w.upTo(5*time.Millisecond), w.vms)
}

// link returns the faults of one direction.
func (w *world) link(from, to core.NodeID) *fault {
	l := link{from: from, to: to}
	if w.links[l] == nil {
		w.links[l] = &fault{}
	}
	return w.links[l]
}

// heal ends all faults, resumes frozen nodes and restarts those that were killed.
func (w *world) heal() {
	w.links = map[link]*fault{}
	w.vmListDown = false
	w.log.fault = logFault{}
	w.services.fault = serviceFault{}
	for _, id := range w.ids {
		if w.hosts[id].up {
			w.resume(id)
		} else {
			w.restart(id)
		}
	}
}

// query sends a node a status or address query and returns the answer.
func (w *world) query(id core.NodeID, m core.Message) core.Command {
	var answer core.Command
	before := w.handleCommand
	w.handleCommand = func(from core.NodeID, c core.Command) {
		switch c.(type) {
		case core.AnswerStatus, core.AnswerAddresses:
			answer = c
		default:
			before(from, c)
		}
	}
	w.send(id, m)
	w.handleCommand = before
	return answer
}

// status returns the status of a running node.
func (w *world) status(id core.NodeID) core.Status {
	w.t.Helper()
	answer, ok := w.query(id, core.StatusQuery{}).(core.AnswerStatus)
	if !ok {
		w.t.Fatalf("%s did not answer the status query", id)
	}
	return answer.Status
}

// advance moves the time by d and runs all events that are due by then.
func (w *world) advance(d time.Duration) {
	end := w.now + d
	for len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(&w.events).(event)
		w.now = max(w.now, e.at)
		e.run()
	}
	w.now = end
}

func (w *world) at(at time.Duration, run func()) {
	w.order++
	heap.Push(&w.events, event{at: at, order: w.order, run: run})
}

func (w *world) chance(p float64) bool { return p > 0 && w.rng.Float64() < p }

func (w *world) upTo(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(w.rng.Int64N(int64(d)))
}

type event struct {
	at    time.Duration
	order int
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}
