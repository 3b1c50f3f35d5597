package core_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"daisyshed.dev/core"
	"pgregory.net/rapid"
)

const (
	// modelOverlap is how long a replacement may be without an event beside a silent run.
	modelOverlap = 350 * time.Millisecond
	// modelStep is the unit of time of the emulated runtime.
	modelStep = 50 * time.Millisecond
	// endBound is how long after the deadline a request ends at the latest.
	endBound = 2 * time.Second
	// idleBound is how long a request may wait for engines that are avoided.
	idleBound = 6 * time.Second
)

// modelRun is a run of a request at an emulated runtime.
type modelRun struct {
	core.RunForward
	started, stalled bool
	// cancelled runs may still be rejected. ended runs have had their last result.
	cancelled, ended bool
}

func (r *modelRun) live() bool { return r != nil && !r.cancelled && !r.ended }

// modelRuntime emulates the runtime of one request, its engines and their owner. Its rules
// are those of the ingress server.
type modelRuntime struct {
	t *rapid.T
	h *hostedNode
	// outbox holds the messages that the core has not handled yet, in order, and handled
	// the results that it has.
	outbox, handled []core.Message
	// slot holds the commands that the request's goroutine has not begun yet.
	slot                 []core.Command
	leases               []core.RequestLease
	prefills             []core.RunPrefill
	holds                []core.HoldConnection
	runs                 []*modelRun
	current, replacement *modelRun
	lastEventAt          core.Instant
	overlapUntil         core.Instant
	headSent, over       bool
	// goneOn counts the reports that a run has begun to answer or goes on.
	goneOn int
	// left is set once the caller has left, and ends counts how the request ended.
	left     bool
	ends     int
	deadline core.Instant
	// openLeases and openHandles were granted, and neither used nor released yet.
	openLeases  core.Set[core.LeaseID]
	openHandles core.Set[core.HandleID]
	granted     int
	// asleep are engines that asked for quiet: what they hold expires by itself.
	asleep core.Set[core.EngineID]
	// jobs are the jobs of each owner, and waiting those that it has not placed.
	jobs    map[core.NodeID]map[core.ForwardID]bool
	waiting map[core.NodeID]map[core.ForwardID]core.PlaceForward
	// trace is what happened.
	trace []string
}

func (m *modelRuntime) log(format string, args ...any) {
	m.trace = append(m.trace, fmt.Sprintf("%6d ms ", m.h.now.Sub(m.deadline).Milliseconds())+fmt.Sprintf(format, args...))
}

func (m *modelRuntime) fail(format string, args ...any) {
	m.t.Helper()
	for _, line := range m.trace {
		m.t.Log(line)
	}
	m.t.Fatalf(format, args...)
}

// update passes a message to the core and carries out its commands.
func (m *modelRuntime) update(message core.Message) {
	m.log("core gets %T %+v", message, message)
	m.carryOut(m.h.deliver(message))
}

func (m *modelRuntime) carryOut(commands []core.Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case core.RequestLease, core.RunPrefill, core.RelayFailure:
			m.put(c)
		case core.HoldConnection:
			m.log("command %T %+v", c, c)
			if !m.over {
				m.holds = append(m.holds, c)
			}
		case core.RunForward:
			m.openLeases.Remove(c.Lease)
			m.openHandles.Remove(c.Handle)
			m.put(c)
		case core.EndForward:
			m.checkEnd(c)
			m.put(c)
		case core.ReleaseLease:
			m.openLeases.Remove(c.Lease)
		case core.ReleaseHandle:
			m.openHandles.Remove(c.Handle)
		case core.LogViolation:
			m.fail("violation: %v", c.Violation)
		case core.LogDecision:
			m.log("decision %s %v %s", c.Decision.Step, c.Decision.Reason, c.Decision.Detail)
		case core.SendPeer:
			m.tellOwner(c)
		}
	}
}

// checkEnd verifies that no stream is ended while a run of it goes on.
func (m *modelRuntime) checkEnd(c core.EndForward) {
	if !m.headSent || m.left || c.Reason == core.DeadlinePassed && m.h.now >= m.deadline {
		return
	}
	for _, r := range m.runs {
		if r.live() {
			m.fail("a stream is ended (%v) while send %d at %s goes on", c.Reason, r.Send, r.Engine)
		}
	}
}

// put delivers a command to the request's goroutine, as Server.deliver does.
func (m *modelRuntime) put(c core.Command) {
	m.log("command %T %+v", c, c)
	if m.over {
		return
	}
	ends := true
	switch c := c.(type) {
	case core.RequestLease, core.RunPrefill:
		ends = false
	case core.RunForward:
		ends = !c.TakesOver
	}
	if ends {
		m.cancelRuns()
	}
	m.slot = append(slices.DeleteFunc(m.slot, func(earlier core.Command) bool {
		_, run := earlier.(core.RunForward)
		return ends || !run
	}), c)
}

func (m *modelRuntime) cancelRuns() {
	for _, r := range m.runs {
		r.cancelled = true
	}
}

// take begins the first command in the slot.
func (m *modelRuntime) take() {
	c := m.slot[0]
	m.slot = m.slot[1:]
	m.log("taken: %T", c)
	switch c := c.(type) {
	case core.RequestLease:
		m.leases = append(m.leases, c)
	case core.RunPrefill:
		m.prefills = append(m.prefills, c)
	case core.RunForward:
		m.startRun(c)
	case core.EndForward, core.RelayFailure:
		m.finish()
	}
}

// finish ends the request at the runtime.
func (m *modelRuntime) finish() {
	m.ends++
	m.over = true
	m.cancelRuns()
	m.leases, m.prefills, m.holds = nil, nil, nil
}

func (m *modelRuntime) startRun(c core.RunForward) {
	if c.TakesOver && c.GoneOn != m.goneOn {
		m.report(core.StepFailed{ID: c.ID, Send: c.Send, Engine: c.Engine, Step: core.RunStep, Unsent: true, Emitted: m.headSent})
		return
	}
	r := &modelRun{RunForward: c}
	if c.TakesOver && m.current != nil {
		if m.replacement.live() {
			m.fail("send %d begins beside sends %d and %d", c.Send, m.current.Send, m.replacement.Send)
		}
		m.replacement, m.overlapUntil = r, m.h.now.Add(modelOverlap)
	} else {
		m.cancelRuns()
		m.current, m.replacement, m.overlapUntil = r, nil, 0
	}
	m.runs = append(m.runs, r)
}

func (m *modelRuntime) report(message core.Message) {
	if goesOn(message) {
		m.goneOn++
	}
	m.outbox = append(m.outbox, message)
}

// prefer makes a run that answers the only one.
func (m *modelRuntime) prefer(r *modelRun) {
	if m.replacement == nil {
		return
	}
	other := m.replacement
	if r == other {
		other = m.current
	}
	other.cancelled = true
	m.current, m.replacement, m.overlapUntil = r, nil, 0
}

func (m *modelRuntime) forget(r *modelRun) {
	r.ended = true
	switch r {
	case m.replacement:
		m.replacement = nil
	case m.current:
		m.current, m.replacement = m.replacement, nil
	default:
		return
	}
	m.overlapUntil = 0
}

// event relays an event of a run.
func (m *modelRuntime) event(r *modelRun) {
	m.log("event of send %d", r.Send)
	m.prefer(r)
	m.headSent = true
	m.lastEventAt = m.h.now
	switch {
	case !r.started:
		r.started = true
		m.report(core.ForwardResponseStarted{ID: r.ID, Send: r.Send, Engine: r.Engine, OpenFor: time.Minute})
	case r.stalled:
		r.stalled = false
		m.report(core.ForwardContinued{ID: r.ID, Send: r.Send, Engine: r.Engine})
	}
}

// failRun ends a run without an answer.
func (m *modelRuntime) failRun(r *modelRun) {
	m.forget(r)
	failed := core.StepFailed{ID: r.ID, Send: r.Send, Engine: r.Engine, Step: core.RunStep, Emitted: m.headSent}
	if !r.started {
		switch rapid.IntRange(0, 4).Draw(m.t, "how") {
		case 0:
			failed.Unsent = true
		case 1:
			failed.Status = 500
		case 2:
			m.refuseRun(r)
			return
		}
	}
	m.log("send %d fails", r.Send)
	m.report(failed)
}

func (m *modelRuntime) refuseRun(r *modelRun) {
	m.log("send %d is rejected", r.Send)
	m.forget(r)
	m.report(core.StepRefused{ID: r.ID, Send: r.Send, Engine: r.Engine, Step: core.RunStep})
}

// complete relays the end of a run's answer.
func (m *modelRuntime) complete(r *modelRun) {
	m.log("send %d completes", r.Send)
	m.prefer(r)
	r.ended = true
	if !r.started && !m.headSent {
		m.report(core.ForwardResponseStarted{ID: r.ID, Send: r.Send, Engine: r.Engine, OpenFor: time.Minute})
	}
	m.headSent = true
	m.report(core.ForwardResponseCompleted{ID: r.ID, Send: r.Send, Engine: r.Engine, Events: 3})
	m.finish()
}

// advance lets time pass, in which the timers of runtime and core expire.
func (m *modelRuntime) advance(d time.Duration) {
	for ; d > 0; d -= modelStep {
		m.carryOut(m.h.advance(modelStep))
		if m.over {
			continue
		}
		r := m.replacement
		if m.overlapUntil != 0 && m.h.now >= m.overlapUntil && r != nil {
			m.log("overlap ends send %d", r.Send)
			r.cancelled = true
			m.forget(r)
			m.report(core.StepFailed{ID: r.ID, Send: r.Send, Engine: r.Engine, Step: core.RunStep, Emitted: m.headSent})
		}
		if r := m.current; r.live() && r.started && r.StallAfter > 0 && m.h.now.Sub(m.lastEventAt) >= r.StallAfter {
			m.lastEventAt = m.h.now
			r.stalled = true
			m.report(core.ForwardStalled{ID: r.ID, Send: r.Send, Engine: r.Engine})
		}
	}
}

// seldom draws whether something occurs that seldom does.
func (m *modelRuntime) seldom() bool { return rapid.IntRange(0, 7).Draw(m.t, "seldom") == 0 }

// answerLease draws the result of a lease request.
func (m *modelRuntime) answerLease() {
	c := m.leases[0]
	m.leases = m.leases[1:]
	m.granted++
	granted := core.LeaseGranted{ID: c.ID, Send: c.Send, Engine: c.Engine, Lease: core.LeaseID(fmt.Sprint("lease", m.granted))}
	if m.seldom() {
		m.report(leaseAnswer(m.t, c))
		return
	}
	m.openLeases.Add(granted.Lease)
	m.report(granted)
}

// answerPrefill draws the result of a prefill.
func (m *modelRuntime) answerPrefill() {
	c := m.prefills[0]
	m.prefills = m.prefills[1:]
	m.granted++
	handle := core.HandleID(fmt.Sprint("handle", m.granted))
	if m.seldom() {
		m.report(prefillAnswer(m.t, c))
		return
	}
	m.openHandles.Add(handle)
	m.report(core.PrefillFinished{ID: c.ID, Send: c.Send, Engine: c.Engine, Handle: handle, Tokens: worldPrompt})
}

// answerHold draws the result of opening a connection that is to be held.
func (m *modelRuntime) answerHold() {
	c := m.holds[0]
	m.holds = m.holds[1:]
	switch held := (core.ConnectionHeld{ID: c.ID, Hold: c.Hold}); {
	case m.seldom():
		m.report(core.ConnectionNotHeld{ID: c.ID, Hold: c.Hold})
	case m.seldom():
		held.Born = core.Some(m.h.born[c.Engine] + int64(rapid.IntRange(-1, 1).Draw(m.t, "born")))
		m.report(held)
	default:
		held.Born = core.Some(m.h.born[c.Engine])
		m.report(held)
	}
}

// tellOwner has an owner handle a message of the node about its job.
func (m *modelRuntime) tellOwner(c core.SendPeer) {
	jobs, waiting := m.jobs[c.To], m.waiting[c.To]
	if jobs == nil {
		jobs, waiting = map[core.ForwardID]bool{}, map[core.ForwardID]core.PlaceForward{}
		m.jobs[c.To], m.waiting[c.To] = jobs, waiting
	}
	switch b := c.Body.(type) {
	case core.PlaceForward:
		if _, waits := waiting[b.ID]; jobs[b.ID] && !waits {
			m.fail("placement %d is requested again while it is held", b.ID)
		}
		jobs[b.ID], waiting[b.ID] = true, b
	case core.ForwardHeld:
		jobs[b.ID] = true
	case core.ForwardReleased:
		delete(jobs, b.ID)
		delete(waiting, b.ID)
	case core.ForwardDenied:
		delete(jobs, b.ID)
	default:
		return
	}
	m.log("to %s: %T %+v", c.To, c.Body, c.Body)
}

// ownerAnswers has an owner with a waiting job answer.
func (m *modelRuntime) ownerAnswers() {
	for _, owner := range []core.NodeID{"n2", "n3", "n4", "n5"} {
		for id, job := range m.waiting[owner] {
			var body core.PeerBody
			switch rapid.IntRange(0, 9).Draw(m.t, "owner") {
			case 0, 1, 2:
				body = core.ForwardQueued{ID: id}
			case 3:
				body = core.ForwardTurnedAway{ID: id, RetryAfter: time.Second}
				delete(m.jobs[owner], id)
				delete(m.waiting[owner], id)
			default:
				engine := rapid.SampledFrom([]core.EngineID{"d1", "d2", "d3", "d4", "gone"}).Draw(m.t, "engine")
				if slices.Contains(job.Avoid, engine) {
					return
				}
				body = core.ForwardPlaced{ID: id, Decode: engine, Prefill: "p1", Memory: 4000}
				delete(m.waiting[owner], id)
			}
			m.report(core.PeerMessage{From: owner, Incarnation: 1, Body: body})
			return
		}
	}
}

// act draws what happens next, of what can happen.
func (m *modelRuntime) act() {
	var live, lost []*modelRun
	for _, r := range m.runs {
		if r.live() && !m.over {
			live = append(live, r)
		} else if r.cancelled && !r.ended && !r.started && !m.over {
			lost = append(lost, r)
		}
	}
	var actions []func()
	add := func(weight int, possible bool, do func()) {
		for i := 0; possible && i < weight; i++ {
			actions = append(actions, do)
		}
	}
	add(8, len(m.slot) > 0 && !m.over, m.take)
	add(12, len(m.outbox) > 0, m.handleNext)
	add(8, len(m.leases) > 0, m.answerLease)
	add(8, len(m.prefills) > 0, m.answerPrefill)
	add(8, len(m.holds) > 0, m.answerHold)
	add(8, m.ownerHasJob(), m.ownerAnswers)
	add(4, len(live) > 0, func() {
		if r := rapid.SampledFrom(live).Draw(m.t, "run"); m.streams() {
			m.event(r)
		} else {
			m.complete(r)
		}
	})
	add(1, len(live) > 0, func() { m.failRun(rapid.SampledFrom(live).Draw(m.t, "run")) })
	add(1, len(lost) > 0, func() { m.refuseRun(rapid.SampledFrom(lost).Draw(m.t, "run")) })
	add(1, len(m.handled) > 0, func() { m.update(rapid.SampledFrom(m.handled).Draw(m.t, "again")) })
	add(1, true, func() { m.rareEvent(live) })
	add(8, true, func() {
		m.advance(rapid.SampledFrom([]time.Duration{modelStep, 4 * modelStep, 20 * modelStep}).Draw(m.t, "time"))
	})
	rapid.SampledFrom(actions).Draw(m.t, "next")()
}

// ownerHasJob reports whether an owner has a job that it has not placed.
func (m *modelRuntime) ownerHasJob() bool {
	for _, waiting := range m.waiting {
		if len(waiting) > 0 {
			return true
		}
	}
	return false
}

// begin has the request run at an engine, with its first event relayed.
func (m *modelRuntime) begin() {
	for !m.headSent && !m.over && m.h.now < m.deadline {
		switch {
		case len(m.outbox) > 0:
			m.handleNext()
		case len(m.slot) > 0:
			m.take()
		case len(m.leases) > 0:
			m.answerLease()
		case len(m.prefills) > 0:
			m.answerPrefill()
		case len(m.holds) > 0:
			m.answerHold()
		case m.ownerHasJob():
			m.ownerAnswers()
		case m.current.live():
			m.event(m.current)
		default:
			m.advance(modelStep)
		}
	}
}

func (m *modelRuntime) streams() bool {
	return len(m.runs) > 0 && m.runs[0].Engine[0] == 'd'
}

// rareEvent draws an event that few requests see.
func (m *modelRuntime) rareEvent(live []*modelRun) {
	switch i := rapid.IntRange(0, 9).Draw(m.t, "rare"); {
	case i == 0 && !m.over:
		m.left = true
		m.report(core.ForwardCallerDisconnected{ID: 1})
		m.finish()
	case i == 1:
		m.update(core.Shutdown{})
	case i < 4 && len(live) > 0 && live[0].started:
		m.complete(live[0])
	case i < 6:
		id := rapid.SampledFrom([]core.EngineID{"p1", "p2", "d1", "d2", "d3", "d4"}).Draw(m.t, "quiet")
		m.asleep.Add(id)
		m.update(core.UpstreamSignal{Engine: id, QuietFor: time.Second})
	case i < 8 && len(m.jobs) > 0:
		owner := rapid.SampledFrom([]core.NodeID{"n2", "n3", "n4", "n5"}).Draw(m.t, "leaves")
		m.log("%s leaves", owner)
		m.carryOut(leaves(m.h, owner))
	}
}

// handleNext has the core handle the next message.
func (m *modelRuntime) handleNext() {
	next := m.outbox[0]
	m.outbox = m.outbox[1:]
	switch next.(type) {
	case core.StepFailed, core.StepRefused:
		m.handled = append(m.handled, next)
	}
	m.update(next)
	if goesOn(next) && m.heldPlacements() > 1 {
		m.fail("a run goes on, and another placement is held")
	}
}

// goesOn reports whether a message tells the core that a run is the only one.
func goesOn(message core.Message) bool {
	switch message.(type) {
	case core.ForwardResponseStarted, core.ForwardContinued:
		return true
	}
	return false
}

// heldPlacements returns the number of jobs at all owners.
func (m *modelRuntime) heldPlacements() int {
	held := 0
	for _, jobs := range m.jobs {
		held += len(jobs)
	}
	return held
}

// idle reports whether the request waits for nothing that the runtime knows of.
func (m *modelRuntime) idle() bool {
	for _, r := range m.runs {
		if r.live() {
			return false
		}
	}
	return !m.over && len(m.slot) == 0 && len(m.outbox)+len(m.leases)+len(m.prefills) == 0 && !m.ownerHasJob() && len(m.asleep) == 0
}

// settle has all results arrive, but no further event of a run, until the request must have
// ended.
func (m *modelRuntime) settle() {
	idleSince := m.h.now
	for m.h.now < m.deadline.Add(endBound) || len(m.outbox) > 0 || len(m.slot) > 0 && !m.over {
		for len(m.outbox) > 0 {
			m.handleNext()
		}
		if len(m.slot) > 0 && !m.over {
			m.take()
			continue
		}
		switch {
		case len(m.leases) > 0:
			m.answerLease()
		case len(m.prefills) > 0:
			m.answerPrefill()
		case len(m.holds) > 0:
			m.answerHold()
		case len(m.outbox) == 0:
			m.advance(2 * modelStep)
		}
		if !m.idle() {
			idleSince = m.h.now
		}
		if m.h.now.Sub(idleSince) > idleBound {
			m.fail("no run goes on and nothing else happens for %v", idleBound)
		}
	}
}

// For every order in which a stream's runs are silent, go on, answer, fail or are rejected
// and its other results arrive: no run is given up that goes on, the request ends in time,
// and it leaves nothing behind.
func TestSilentRunsUnderAnyOrderOfResults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h *hostedNode
		owned := rapid.Bool().Draw(t, "owned")
		plain := []core.Instance{plainInstance("e1"), plainInstance("e2"), plainInstance("e3")}
		if owned {
			h, _ = readyWithOwner()
		} else {
			h = readyAlone(append(moreEngines(), plain...)...)
		}
		h.deliver(stateWithRuns(rapid.IntRange(1, 3).Draw(t, "runs")))
		m := &modelRuntime{
			t: t, h: h, openLeases: core.Set[core.LeaseID]{}, openHandles: core.Set[core.HandleID]{}, asleep: core.Set[core.EngineID]{},
			jobs: map[core.NodeID]map[core.ForwardID]bool{}, waiting: map[core.NodeID]map[core.ForwardID]core.PlaceForward{},
		}
		request := streamTo(1, "resumable")
		if !owned && rapid.IntRange(0, 4).Draw(t, "plain") == 0 {
			request = forwardTo(1, "read")
		}
		m.deadline = h.now.Add(request.Patience)
		m.update(request)
		if rapid.IntRange(0, 3).Draw(t, "begin") > 0 {
			m.begin()
		}
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			m.act()
		}
		m.settle()
		if m.ends != 1 {
			m.fail("the request ended %d times", m.ends)
		}
		if len(m.asleep) == 0 && len(m.openLeases)+len(m.openHandles) > 0 {
			m.fail("neither used nor released: %v %v", m.openLeases.Sorted(), m.openHandles.Sorted())
		}
		for owner, jobs := range m.jobs {
			if len(jobs) > 0 {
				m.fail("owner %s still has the jobs %v", owner, jobs)
			}
		}
		if !owned {
			m.checkEnginesAreFree()
		}
	})
}

// checkEnginesAreFree verifies that the node counts nothing as held at any engine: many small
// streams are spread evenly.
func (m *modelRuntime) checkEnginesAreFree() {
	if m.h.node == nil {
		return
	}
	m.h.advance(time.Minute)
	placed := map[core.EngineID]int{}
	const streams = 12
	for id := range core.ForwardID(streams) {
		small := streamTo(1000+id, "draft")
		small.Generation = core.Some(core.Generation{Prompt: 10, MaxOutput: 10, ExpectedOutput: 10})
		for _, c := range commandsOf[core.RequestLease](m.h.deliver(small)) {
			placed[c.Engine]++
			for _, p := range commandsOf[core.RunPrefill](m.h.deliver(core.LeaseGranted{ID: c.ID, Send: c.Send, Engine: c.Engine, Lease: "l"})) {
				placed[p.Engine]++
			}
		}
	}
	total := 0
	for _, count := range placed {
		total += count
	}
	if total == 0 {
		return
	}
	for _, id := range []core.EngineID{"d1", "d2", "d3", "d4"} {
		if placed[id] != streams/4 {
			m.fail("following streams are placed at %v", placed)
		}
	}
	for _, id := range []core.EngineID{"p1", "p2"} {
		if placed[id] != streams/2 {
			m.fail("following prompts are placed at %v", placed)
		}
	}
}
