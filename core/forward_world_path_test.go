package core_test

import (
	"slices"
	"time"

	"daisyshed.dev/core"
)

const (
	// raceAfter is when a connection is opened through a relay beside a direct one, and
	// dialTimeout bounds a direct one.
	raceAfter   = 100 * time.Millisecond
	dialTimeout = 400 * time.Millisecond
	// relayTimeout is how long one relay may take until the next one is tried, and relayLost
	// after how long the end of a relay is noticed.
	relayTimeout = 150 * time.Millisecond
	relayLost    = time.Second
	leaseTimeout = 200 * time.Millisecond
	// answerTimeout is how long a probe waits for an answer once its connection is open.
	answerTimeout = 200 * time.Millisecond
	// keptFor is how long an unused connection is kept.
	keptFor = time.Second
)

// worldCut is how a node is partitioned from all upstreams.
type worldCut int

const (
	uncut worldCut = iota
	// hang makes connections hang, and reset breaks them off. refuse only affects new ones.
	hang
	reset
	refuse
	// openHang and openReset let new connections open, and make them hang or break them off then.
	openHang
	openReset
)

// opens reports whether new connections open.
func (c worldCut) opens() bool { return c == uncut || c == openHang || c == openReset }

// hangs reports whether connections hang.
func (c worldCut) hangs() bool { return c == hang || c == openHang }

// worldSend is a step at an upstream that has no result yet. relay is nil for a direct
// connection, and lost is set once the result cannot arrive.
type worldSend struct {
	id      core.ForwardID
	send    core.SendNumber
	engine  core.EngineID
	step    core.ForwardStep
	timeout time.Duration
	relay   *worldNode
	relayID core.RelayID
	lost    bool
}

// worldPaths are a node's connections to upstreams.
type worldPaths struct {
	cut    worldCut
	relays core.UseRelays
	// kept is when a direct connection to an upstream was last used.
	kept  map[core.EngineID]core.Instant
	sends []*worldSend
	// waiting are the connections that other nodes want this node to relay, and relayed
	// counts those that it opened.
	waiting map[core.RelayID]func(core.ConnectOutcome)
	relayed int
	// isolated counts how often the node found itself isolated.
	isolated int
}

// open reports whether the path of a send works.
func (s *worldSend) open() bool {
	if s.relay == nil {
		return !s.lost
	}
	r := s.relay
	return !s.lost && !r.killed && !r.frozen && (r.paths.cut == uncut || r.paths.cut == refuse)
}

// connect calls do once a step has a connection to its upstream.
func (n *worldNode) connect(s *worldSend, do func()) {
	p := &n.paths
	kept := n.w.now.Sub(p.kept[s.engine]) < keptFor
	use := func(relay *worldNode, id core.RelayID) {
		s.relay, s.relayID = relay, id
		p.sends = append(p.sends, s)
		do()
	}
	switch {
	case p.cut == uncut && !p.relays.First || kept && !p.relays.First && p.cut == refuse:
		if p.kept == nil {
			p.kept = map[core.EngineID]core.Instant{}
		}
		p.kept[s.engine] = n.w.now
		use(nil, 0)
	case !p.relays.First && (kept && p.cut == hang || p.cut.opens()):
		delete(p.kept, s.engine)
		p.sends = append(p.sends, s)
		n.lose(s)
	case p.relays.First:
		n.connectThrough(s.engine, p.relays.Relays, use, func() { n.unsent(s) })
	default:
		n.dial(s.engine, raceAfter, func() {
			n.connectThrough(s.engine, p.relays.Relays, use, func() { n.unsent(s) })
		})
	}
}

// lose ends a step whose connection the cut of the node affects.
func (n *worldNode) lose(s *worldSend) {
	s.lost = true
	if n.paths.cut.hangs() {
		n.timeOut(s)
		return
	}
	n.deliverAfter(linkDelay, core.StepFailed{ID: s.id, Send: s.send, Engine: s.engine, Step: s.step, BrokenOff: true})
}

// timeOut ends a step of which nothing is received.
func (n *worldNode) timeOut(s *worldSend) {
	if s.timeout > 0 {
		n.deliverAfter(s.timeout, core.StepFailed{ID: s.id, Send: s.send, Engine: s.engine, Step: s.step})
	}
}

func (n *worldNode) unsent(s *worldSend) {
	n.deliver(core.StepFailed{ID: s.id, Send: s.send, Engine: s.engine, Step: s.step, Unsent: true, PathFailed: len(n.paths.relays.Relays) > 0})
}

// dial opens a direct connection of a node that is cut off, which fails or is not answered, and
// calls failed.
func (n *worldNode) dial(id core.EngineID, timeout time.Duration, failed func()) {
	outcome, d := core.ConnectFailed, 2*linkDelay
	if n.paths.cut == hang {
		outcome = core.ConnectTimedOut
	}
	if n.paths.cut.opens() {
		outcome, timeout = core.Unanswered, answerTimeout
	}
	if n.paths.cut == openReset {
		outcome = core.ConnectBroken
	}
	if n.paths.cut.hangs() {
		d = timeout
	}
	n.w.after(d, func() {
		n.deliver(core.ConnectionObserved{Engine: id, Outcome: outcome})
		failed()
	})
}

// connectThrough opens a connection through the first of the relays that can.
func (n *worldNode) connectThrough(id core.EngineID, relays []core.Relay, use func(*worldNode, core.RelayID), failed func()) {
	if len(relays) == 0 {
		failed()
		return
	}
	i := slices.IndexFunc(n.w.nodes, func(o *worldNode) bool { return o.node.Self.ID == relays[0].Node })
	relay, answered := n.w.nodes[i], false
	n.w.next++
	call := core.RelayID(n.w.next)
	answer := func(outcome core.ConnectOutcome) {
		if answered {
			return
		}
		answered = true
		n.deliver(core.ConnectionObserved{Engine: id, Relay: relay.node.Self.ID, Outcome: outcome})
		if outcome == core.Connected {
			relay.paths.relayed++
			use(relay, call)
			return
		}
		n.connectThrough(id, relays[1:], use, failed)
	}
	n.w.after(linkDelay, func() {
		if relay.paths.waiting == nil {
			relay.paths.waiting = map[core.RelayID]func(core.ConnectOutcome){}
		}
		relay.paths.waiting[call] = func(outcome core.ConnectOutcome) { n.w.after(linkDelay, func() { answer(outcome) }) }
		relay.deliver(core.RelayRequested{ID: call, From: n.node.Self.ID, Engine: id})
	})
	n.w.after(relayTimeout, func() { answer(core.RelayUnanswered) })
}

// carryOutPath carries out a command about connections.
func (n *worldNode) carryOutPath(c core.Command) {
	w, p := n.w, &n.paths
	switch c := c.(type) {
	case core.UseRelays:
		p.isolated += btoi(c.First && !p.relays.First)
		p.relays = c
	case core.ProbeUpstream:
		switch {
		case c.Relay.Node != "":
			n.connectThrough(c.Engine, []core.Relay{c.Relay}, func(r *worldNode, id core.RelayID) {
				r.endRelay(id, true)
				n.deliver(core.ConnectionObserved{Engine: c.Engine, Relay: c.Relay.Node, Outcome: core.Answered})
			}, func() {})
		case p.cut != uncut:
			n.dial(c.Engine, dialTimeout, func() {})
		case w.ups[c.Engine].dead:
			n.deliverAfter(2*linkDelay, core.ConnectionObserved{Engine: c.Engine, Outcome: core.ConnectFailed})
		default:
			n.deliverAfter(2*linkDelay, core.ConnectionObserved{Engine: c.Engine, Outcome: core.Answered})
		}
	case core.OpenRelay:
		outcome := core.Connected
		if p.cut != uncut || w.ups[c.Engine].dead {
			outcome = core.RelayFailed
			n.endRelay(c.ID, false)
		}
		p.waiting[c.ID](outcome)
	case core.LogDecision:
		w.blocked += btoi(c.Decision.Step == "part-blocked")
	case core.RejectRelay:
		outcome := core.RelayRejected
		if c.Reason == core.RelayUnknownUpstream || c.Reason == core.RelayFull {
			outcome = core.RelayDeclined
		}
		p.waiting[c.ID](outcome)
	}
}

func (n *worldNode) endRelay(id core.RelayID, opened bool) {
	n.deliverAfter(linkDelay, core.RelayEnded{ID: id, Opened: opened})
}

// resultArrives reports whether the path of a step's result works. The last result of a step
// ends its relayed connection.
func (n *worldNode) resultArrives(id core.ForwardID, send core.SendNumber, last bool) bool {
	for i, s := range n.paths.sends {
		if s.id != id || s.send != send {
			continue
		}
		open := s.open()
		if last && open {
			n.paths.sends = slices.Delete(n.paths.sends, i, i+1)
			if s.relay != nil {
				s.relay.endRelay(s.relayID, true)
			}
		}
		return open
	}
	return true
}

// dropSends ends the connections of a request, or of one of its steps.
func (n *worldNode) dropSends(id core.ForwardID, send core.SendNumber) {
	n.paths.sends = slices.DeleteFunc(n.paths.sends, func(s *worldSend) bool {
		drop := s.id == id && (send == 0 || s.send == send)
		if drop && s.relay != nil {
			s.relay.endRelay(s.relayID, true)
		}
		return drop
	})
}

// cutUpstreams partitions nodes from all upstreams for a time.
func (w *hostedWorld) cutUpstreams(how worldCut, d time.Duration, which func(*worldNode) bool) {
	for _, n := range w.nodes {
		if !which(n) {
			continue
		}
		n.paths.cut = how
		w.after(d, func() { n.paths.cut = uncut })
		if how == refuse {
			continue
		}
		if how == reset || how == openReset {
			n.paths.kept = nil
		}
		for _, s := range n.paths.sends {
			if s.relay != nil || s.lost {
				continue
			}
			n.lose(s)
		}
		w.breakRelayed(n)
	}
}

// breakRelayed breaks off the connections that a node relays, if its cut resets connections.
func (w *hostedWorld) breakRelayed(relay *worldNode) {
	if relay.paths.cut != reset && relay.paths.cut != openReset {
		return
	}
	for _, n := range w.nodes {
		for _, s := range n.paths.sends {
			if s.relay == relay && !s.lost {
				s.lost = true
				n.deliverAfter(2*linkDelay, core.StepFailed{
					ID: s.id, Send: s.send, Engine: s.engine, Step: s.step, Relay: relay.node.Self.ID, BrokenOff: true,
				})
				relay.deliverAfter(linkDelay, core.RelayEnded{ID: s.relayID, Opened: true, BrokenOff: true})
			}
		}
	}
}

// killRelay ends a node for good, and with it the connections that it relays.
func (w *hostedWorld) killRelay(relay *worldNode) {
	relay.killed = true
	for _, n := range w.nodes {
		for _, s := range n.paths.sends {
			if s.relay == relay && !s.lost {
				s.lost = true
				n.deliverAfter(relayLost, core.StepFailed{
					ID: s.id, Send: s.send, Engine: s.engine, Step: s.step, Relay: relay.node.Self.ID, PathFailed: true,
				})
			}
		}
	}
}
