package core_test

import (
	"fmt"
	"time"

	"daisyshed.dev/core"
)

// worldUpstream is an engine or an instance of a plain service.
type worldUpstream struct {
	core.Instance
	// listed is the entry in the store, if it is not that of the present incarnation.
	listed  core.Option[core.Instance]
	free    core.Tokens
	leases  map[core.LeaseID]core.Tokens
	readyAt core.Instant
	running int
	waiting []func()
	dead    bool
	// plainRuns are the requests at an instance of a plain service that run or wait.
	plainRuns map[core.ForwardID]worldPlainRun
	// dark engines answer nothing.
	dark bool
	// silentUntil is until when the engine sends no event in an eventful world.
	silentUntil core.Instant
	// limit is the limit that the upstream names in its answers, and arrived are the requests
	// that have reached it. limitBegan is when it first named the limit.
	limit      core.Option[core.RequestRate]
	limitBegan core.Instant
	// misspells says that the limit in the answers is not usable.
	misspells bool
	arrived   []worldArrival
	// told is when each node first got an answer that named the limit.
	told map[core.NodeID]core.Instant
	// loses is the share of answers that are lost in transit.
	loses float64
	next  int
}

// worldPlainRun is a run at an instance of a plain service.
type worldPlainRun struct {
	n *worldNode
	c core.RunForward
}

// carryOutOrder gives an engine its new role after orderDelay and the time of a role
// change.
func (w *hostedWorld) carryOutOrder(o core.Order) {
	u := w.ups[o.Engine]
	w.after(w.orderDelay+6*time.Second, func() {
		u.Role = o.Role
		w.offset++
	})
}

func (u *worldUpstream) release(id core.LeaseID) {
	u.free += u.leases[id]
	delete(u.leases, id)
}

func (n *worldNode) lease(c core.RequestLease) {
	w, u := n.w, n.w.ups[c.Engine]
	w.steps[u.ID]++
	if w.leasesCount {
		n.arriveAt(u)
	}
	if u.dead {
		n.deliverAfter(linkDelay, core.StepFailed{ID: c.ID, Send: c.Send, Engine: c.Engine, Step: core.LeaseStep, Unsent: true})
		return
	}
	if u.free < c.Tokens {
		n.deliverAfter(2*linkDelay, core.StepRefused{ID: c.ID, Send: c.Send, Engine: c.Engine, Step: core.LeaseStep})
		return
	}
	u.next++
	id := core.LeaseID(fmt.Sprintf("%s-%d", u.ID, u.next))
	u.leases[id] = c.Tokens
	u.free -= c.Tokens
	w.after(c.TTL, func() { u.release(id) })
	if w.rng.Float64() < u.loses {
		n.deliverAfter(2*linkDelay, core.StepFailed{ID: c.ID, Send: c.Send, Engine: c.Engine, Step: core.LeaseStep})
		return
	}
	n.deliverAfter(2*linkDelay, core.LeaseGranted{ID: c.ID, Send: c.Send, Engine: c.Engine, Lease: id})
}

// hold opens a connection to an upstream for a request.
func (n *worldNode) hold(c core.HoldConnection) {
	w, u, r := n.w, n.w.ups[c.Engine], n.w.requests[c.ID]
	w.held++
	w.after(linkDelay, func() {
		if u.dead {
			n.deliver(core.ConnectionNotHeld{ID: c.ID, Hold: c.Hold})
			return
		}
		r.held = core.EngineCrash{Engine: u.ID, Born: u.Born}
		m := core.ConnectionHeld{ID: c.ID, Hold: c.Hold, OpenFor: linkDelay}
		if w.namesBorn {
			m.Born = core.Some(u.Born)
		}
		n.deliverAfter(linkDelay, m)
	})
}

func (n *worldNode) runPrefill(c core.RunPrefill) {
	w, u := n.w, n.w.ups[c.Engine]
	w.recordDeadly(c.ID)
	w.steps[u.ID]++
	n.arriveAt(u)
	if u.dead {
		n.deliverAfter(linkDelay, core.StepFailed{ID: c.ID, Send: c.Send, Engine: c.Engine, Step: core.ReadPromptStep, Unsent: true})
		return
	}
	if u.dark {
		n.deliverAfter(c.Timeout, core.StepFailed{ID: c.ID, Send: c.Send, Engine: c.Engine, Step: core.ReadPromptStep})
		return
	}
	u.readyAt = max(u.readyAt, w.now).Add(promptTime)
	w.longestPrefill = max(w.longestPrefill, u.readyAt.Sub(w.now))
	w.after(u.readyAt.Sub(w.now)+2*linkDelay, func() { n.nameLimit(u) })
	n.deliverAfter(u.readyAt.Sub(w.now)+2*linkDelay, core.PrefillFinished{ID: c.ID, Send: c.Send, Engine: c.Engine, Handle: "h", Tokens: worldPrompt})
}

func (n *worldNode) runForward(c core.RunForward) {
	w, u, r := n.w, n.w.ups[c.Engine], n.w.requests[c.ID]
	w.steps[u.ID]++
	n.arriveAt(u)
	r.runs++
	w.capped.run(w.now, r)
	w.recordDeadly(c.ID)
	switch {
	case u.dead, c.Hold != 0 && r.held != core.EngineCrash{Engine: u.ID, Born: u.Born}:
		n.deliverAfter(linkDelay, core.StepFailed{ID: c.ID, Send: c.Send, Engine: c.Engine, Step: core.RunStep, Unsent: true})
	case u.Service == "ledger":
		n.runPlain(u, c, r)
	default:
		n.runStream(u, c, r)
	}
}

// runPlain serves a plain request once a slot is free, in order of arrival, or
// rejects it if the queue is full.
func (n *worldNode) runPlain(u *worldUpstream, c core.RunForward, r *worldRequest) {
	w := n.w
	const queue, work = 24, 30 * time.Millisecond
	born := u.Born
	if u.plainRuns == nil {
		u.plainRuns = map[core.ForwardID]worldPlainRun{}
	}
	u.plainRuns[c.ID] = worldPlainRun{n, c}
	start := func() {
		u.running++
		w.after(work, func() {
			if u.Born != born || u.dead {
				return
			}
			if w.isDeadly(r) {
				w.crash(u)
				return
			}
			delete(u.plainRuns, c.ID)
			u.running--
			if len(u.waiting) > 0 {
				next := u.waiting[0]
				u.waiting = u.waiting[1:]
				next()
			}
			if w.rng.Float64() < u.loses {
				n.deliver(core.StepFailed{ID: c.ID, Send: c.Send, Engine: c.Engine, Step: core.RunStep})
				return
			}
			w.after(linkDelay, func() {
				n.nameLimit(u)
				n.answer(c, r)
			})
		})
	}
	switch {
	case u.running < u.Slots:
		start()
	case len(u.waiting) < queue:
		u.waiting = append(u.waiting, start)
	default:
		delete(u.plainRuns, c.ID)
		n.deliverAfter(2*linkDelay, core.StepRefused{ID: c.ID, Send: c.Send, Engine: c.Engine, Step: core.RunStep})
	}
}

func (n *worldNode) runStream(u *worldUpstream, c core.RunForward, r *worldRequest) {
	w := n.w
	if w.eventful {
		n.runEvents(u, c, r)
		return
	}
	need := worldPrompt + r.output
	if held, ok := u.leases[c.Lease]; ok {
		u.release(c.Lease)
		need = held
	}
	if u.Role != core.Decode || u.free < need {
		w.wastedPrefills++
		n.deliverAfter(2*linkDelay, core.StepRefused{ID: c.ID, Send: c.Send, Engine: c.Engine, Step: core.RunStep})
		return
	}
	u.free -= need
	// An engine drops a stream whose node has closed its connection.
	dropped := false
	drop := func() {
		if !dropped {
			dropped = true
			u.free += need
		}
	}
	r.drop = drop
	first := 30 * time.Millisecond
	if c.Handle == "" {
		w.prefilledAtDecode++
		first += 2 * promptTime
	}
	if overrun := worldPrompt + r.output - need; overrun > 0 {
		w.after(first+time.Duration(r.output-overrun)*decodeStep, func() {
			if dropped {
				return
			}
			if u.free < overrun {
				w.preempted++
			}
			u.free -= overrun
			need += overrun
		})
	}
	w.after(first, func() {
		if !r.ended && n.resultArrives(c.ID, c.Send, false) {
			n.nameLimit(u)
			r.first = w.now
			n.deliver(core.ForwardResponseStarted{ID: c.ID, Send: c.Send, Engine: c.Engine})
		}
	})
	w.after(first+time.Duration(r.output)*decodeStep, func() {
		drop()
		n.answer(c, r)
	})
}
