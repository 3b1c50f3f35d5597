package core

import (
	"fmt"
	"time"
)

const (
	// pipelineGuess is the part of the objective that a placed request is
	// assumed to need before any was measured.
	pipelineGuess = 1.0 / 3
	// fullFor is how long an engine that refused a lease is taken to be full;
	// streams of other nodes end there meanwhile.
	fullFor = 120 * time.Millisecond
	// leaseTimes and leaseLeast give the time of a lease: a multiple of the
	// usual time to the first event, and what a prompt needs at least.
	leaseTimes = 2
	leaseLeast = 400 * time.Millisecond
	// busyReaderFor is how long a prefill engine that refused a prompt is left
	// alone: it is full, or changes its role.
	busyReaderFor = time.Second
	// rerunArrivals is what a stream that is run again costs of the retry
	// budget: its prompt is read again too.
	rerunArrivals = 2
	// pumpEvery is the period at which waiting requests look for memory.
	pumpEvery = 40 * time.Millisecond
	// remoteRead is the cost, in prompt tokens, of a prefill engine in another
	// failure domain than the decode engine: moving the KV cache takes twice as
	// long there and is priced higher.
	remoteRead = 3000
	// outputGuess is the part of the bound on the output that is reserved
	// where the caller gives no estimate.
	outputGuess = 0.5
	// firstEventWait is how many objectives a resumable stream may stay
	// without its first event before it is tried elsewhere.
	firstEventWait = 1.5
	// stallAfter is the pause between events after which a resumable stream
	// moves on: callers leave after two seconds of silence, and a new prompt
	// has to be read before that.
	stallAfter = time.Second
)

// admit places a request by this node's own knowledge: it queues one to model
// engines, or refuses it at once if it would wait in vain.
func (s *forwards) admit(n *Node, f *forwarded) {
	if _, engine := f.spec.Engine.Get(); !engine {
		s.runPlain(n, f)
		return
	}
	before := ahead(n.now, s.queue, f.queueEntry, func(*forwarded) bool { return true })
	if f.sends == 0 && hopeless(n.now, f.queueEntry, before, s.grants.rate(n.now)) {
		s.refuse(n, f, NoCapacity, comeBack(f.Patience, n.rng.Float64()))
		return
	}
	s.enqueue(n, f)
}

func (s *forwards) enqueue(n *Node, f *forwarded) {
	f.phase = forwardWaiting
	f.step++
	s.queue = append(s.queue, f)
	s.pump(n)
}

// pump places waiting requests, in order, at engines that may have memory. A
// lease comes before the prompt is read: a prompt that was read without memory
// to decode it is wasted, and under a burst that is most of them.
func (s *forwards) pump(n *Node) {
	if len(s.queue) == 0 || s.inPump {
		return
	}
	s.inPump = true
	defer func() { s.inPump = false }()
	sortWaiting(n.now, s.queue)
	for _, f := range append([]*forwarded(nil), s.queue...) {
		if f.phase != forwardWaiting || s.live[f.ID] != f {
			continue
		}
		if f.expired(n.now) && f.runs == 0 {
			s.unqueue(f)
			s.end(n, f, NoCapacity, 0)
			continue
		}
		if u := s.chooseDecode(n, f); u != nil {
			s.takeLease(n, f, u, s.reserve(n, f))
		}
	}
	if len(s.queue) > 0 && !s.pumpDue {
		s.pumpDue = true
		n.afterFunc(pumpEvery, func(n *Node) {
			s.pumpDue = false
			s.pump(n)
		})
	}
}

// chooseDecode returns the decode engine with the least of this node's own
// reservations among those not known to be full.
func (s *forwards) chooseDecode(n *Node, f *forwarded) *upstream {
	skip := func(u *upstream) bool {
		return !n.roles.serves(n, u, Decode) || u.fullUntil > n.now || u.avoidUntil > n.now || f.tried.Has(u.ID)
	}
	return cheapest(n, s.upstreams.byService[f.spec.ID], skip, func(u *upstream) float64 { return float64(u.tokens) })
}

// expectedOutput returns the caller's estimate of the output, or one from its
// bound.
func (f *forwarded) expectedOutput() Tokens {
	g, _ := f.Generation.Get()
	if g.ExpectedOutput > 0 {
		return g.ExpectedOutput
	}
	return Tokens(outputGuess * float64(g.MaxOutput))
}

// outputsOf returns the model of the output of a request's service.
func (s *forwards) outputsOf(f *forwarded) *outputModel { return made(s.outputs, f.spec.ID) }

// reserve returns the memory that a request is expected to need at its end, by
// what this node saw itself.
func (s *forwards) reserve(n *Node, f *forwarded) Tokens {
	g, _ := f.Generation.Get()
	return s.outputsOf(f).reserve(n, g.Prompt, f.expectedOutput(), g.MaxOutput)
}

// takeLease asks an engine for a slot and memory.
func (s *forwards) takeLease(n *Node, f *forwarded, u *upstream, memory Tokens) {
	s.unqueue(f)
	f.phase = forwardLeasing
	f.step++
	f.decode = u
	f.reserved = memory
	u.requests++
	u.tokens += f.reserved
	engine, _ := f.spec.Engine.Get()
	if engine.LeaseMax == 0 {
		s.readPrompt(n, f)
		return
	}
	n.do(TakeLease{ID: f.ID, Engine: u.ID, Address: u.Address, Tokens: f.reserved, TTL: s.leaseTTL(f, engine)})
}

// leaseTTL returns how long a lease is asked for. It covers the reading of the
// prompt and no more: a lease whose grant gets lost on the way blocks its memory
// until it lapses.
func (s *forwards) leaseTTL(f *forwarded, engine EngineSpec) time.Duration {
	return min(engine.LeaseMax, max(leaseTimes*s.pipelineOf(f), leaseLeast))
}

// leaseGranted starts the reading of the prompt.
func (s *forwards) leaseGranted(n *Node, m LeaseGranted) {
	f, ok := s.live[m.ID]
	if !ok || f.phase != forwardLeasing || f.decode.ID != m.Engine {
		if u, ok := s.upstreams.byID[m.Engine]; ok {
			n.do(DropLease{Engine: u.ID, Address: u.Address, Lease: m.Lease})
		}
		return
	}
	f.lease = m.Lease
	f.placedAt = n.now
	s.grants.note(n.now)
	s.readPrompt(n, f)
}

// readPrompt has the prompt read, or runs the request at the decode engine
// alone if no prefill engine is to be had.
func (s *forwards) readPrompt(n *Node, f *forwarded) {
	u := s.advisedPrefill(n, f)
	if u == nil {
		u = s.choosePrefill(n, f)
	}
	if u == nil {
		s.runStream(n, f)
		return
	}
	f.phase = forwardReading
	f.step++
	f.reads++
	f.prefill = u
	u.requests++
	u.reading += f.prompt()
	s.decide(n, f, "place", NoReason)
	engine, _ := f.spec.Engine.Get()
	patience := f.patienceLeft(n.now)
	if engine.LeaseMax > 0 {
		patience = min(patience, engine.LeaseMax)
	}
	n.do(ReadPrompt{ID: f.ID, Engine: u.ID, Address: u.Address, Timeout: patience})
}

// advisedPrefill returns the owner's choice of prefill engine, if it still can
// take the prompt.
func (s *forwards) advisedPrefill(n *Node, f *forwarded) *upstream {
	u, ok := s.upstreams.byID[f.advised]
	f.advised = ""
	if !ok || !u.usable() || f.tried.Has(u.ID) || u.fullUntil > n.now || !n.roles.serves(n, u, Prefill) {
		return nil
	}
	return u
}

// choosePrefill returns the prefill engine with the least of this node's own
// prompts, near the decode engine where that costs no queue.
func (s *forwards) choosePrefill(n *Node, f *forwarded) *upstream {
	skip := func(u *upstream) bool {
		return !n.roles.serves(n, u, Prefill) || u.fullUntil > n.now || u.avoidUntil > n.now || f.tried.Has(u.ID)
	}
	return cheapest(n, s.upstreams.byService[f.spec.ID], skip, func(u *upstream) float64 {
		cost := float64(u.reading)
		if u.Domain != f.decode.Domain {
			cost += remoteRead
		}
		return cost
	})
}

// promptRead runs the request at its decode engine.
func (s *forwards) promptRead(n *Node, m PromptRead) {
	f, ok := s.live[m.ID]
	if !ok || f.phase != forwardReading || f.prefill.ID != m.Engine {
		if u, ok := s.upstreams.byID[m.Engine]; ok {
			n.do(FreeHandle{Engine: u.ID, Address: u.Address, Handle: m.Handle})
		}
		return
	}
	f.prefill.succeeded()
	if f.owner != "" {
		n.send(f.owner, ForwardPromptRead{ID: f.ID})
	}
	f.handle = m.Handle
	s.runStream(n, f)
}

// runStream sends the request to its decode engine. A draining engine takes
// nothing new, so the drain is checked here again.
func (s *forwards) runStream(n *Node, f *forwarded) {
	if !f.decode.usable() {
		s.release(n, f)
		s.ask(n, f)
		return
	}
	run := RunForward{
		ID: f.ID, Engine: f.decode.ID, Address: f.decode.Address, Lease: f.lease, Patience: f.patienceLeft(n.now),
	}
	if f.route.Repeat != Once && f.runs+1 < f.route.MaxRuns {
		run.StallAfter = stallAfter
	}
	if f.prefill != nil {
		run.Source, run.Handle = f.prefill.Address, f.handle
		s.leavePrefill(f)
	}
	f.lease = ""
	f.phase = forwardRunning
	f.step++
	f.sends++
	f.runs++
	s.decide(n, f, "run", NoReason)
	n.do(run)
	if f.route.Repeat != Once {
		s.watchFirstEvent(n, f)
	}
}

// watchFirstEvent tries a resumable stream elsewhere if its engine stays
// silent.
func (s *forwards) watchFirstEvent(n *Node, f *forwarded) {
	step := f.step
	n.afterFunc(time.Duration(firstEventWait*float64(f.route.Objective)), func(n *Node) {
		if s.live[f.ID] != f || f.step != step || f.phase != forwardRunning {
			return
		}
		if f.runs >= f.route.MaxRuns || !s.mayRepeat(n, f, rerunArrivals) {
			return
		}
		f.decode.failed(n.now)
		s.again(n, f)
	})
}

// again queues a stream for another engine than the one it was at.
func (s *forwards) again(n *Node, f *forwarded) {
	f.tried.Add(f.decode.ID)
	s.release(n, f)
	s.ask(n, f)
}

// streamRefused takes in that an engine did not take a step.
func (s *forwards) streamRefused(n *Node, f *forwarded, m StepRefused) {
	switch m.Step {
	case LeaseStep:
		if m.Engine != f.decode.ID || f.phase != forwardLeasing {
			return
		}
		s.denied(n, f)
	case ReadPromptStep:
		s.readElsewhere(n, f)
	case RunStep:
		f.runs--
		u := f.decode
		if f.sends < maxSends && s.mayRepeat(n, f, rerunArrivals) {
			s.release(n, f)
			u.fullUntil = n.now.Add(n.jitter(busyReaderFor))
			s.ask(n, f)
			return
		}
		s.end(n, f, NoCapacity, 0)
	}
}

// denied asks for another engine than the one that gave no lease, which is left
// alone for a moment: a dead one would be tried as fast as it refuses.
func (s *forwards) denied(n *Node, f *forwarded) {
	u := f.decode
	s.decide(n, f, "denied", NoCapacity)
	if f.owner != "" {
		n.send(f.owner, ForwardDenied{ID: f.ID, Engine: u.ID})
		f.owner = ""
	}
	s.release(n, f)
	u.fullUntil = n.now.Add(n.jitter(fullFor))
	s.ask(n, f)
}

// readElsewhere has the prompt read by another engine.
func (s *forwards) readElsewhere(n *Node, f *forwarded) {
	if f.phase != forwardReading {
		return
	}
	f.tried.Add(f.prefill.ID)
	f.prefill.fullUntil = n.now.Add(n.jitter(busyReaderFor))
	s.leavePrefill(f)
	if f.reads < maxSends && s.mayRepeat(n, f, 1) {
		s.readPrompt(n, f)
		return
	}
	s.end(n, f, NoCapacity, 0)
}

// streamFailed takes in that a step got no usable answer.
func (s *forwards) streamFailed(n *Node, f *forwarded, m StepFailed) {
	switch m.Step {
	case LeaseStep:
		if f.phase == forwardLeasing && m.Engine == f.decode.ID {
			s.denied(n, f)
		}
	case ReadPromptStep:
		s.readElsewhere(n, f)
	case RunStep:
		f.failure = m.Status != 0
		if s.mayRunAgain(f) && f.sends < maxSends && s.mayRepeat(n, f, rerunArrivals) {
			s.again(n, f)
			return
		}
		s.end(n, f, UpstreamFailed, 0)
	}
}

// refused routes a StepRefused to the request's kind.
func (s *forwards) refused(n *Node, m StepRefused) {
	f, ok := s.live[m.ID]
	if !ok {
		return
	}
	if m.Elsewhere {
		if u, ok := s.upstreams.byID[m.Engine]; ok {
			u.failed(n.now)
		}
	}
	if _, engine := f.spec.Engine.Get(); engine {
		s.streamRefused(n, f, m)
		return
	}
	if f.decode != nil && f.decode.ID == m.Engine {
		s.plainRefused(n, f)
	}
}

// failed routes a StepFailed to the request's kind.
func (s *forwards) failed(n *Node, m StepFailed) {
	outcome := RunFailed
	if m.Status != 0 {
		outcome = RunErred
	}
	if u, ok := s.upstreams.byID[m.Engine]; ok {
		u.note(n, outcome)
	}
	f, ok := s.live[m.ID]
	if !ok {
		return
	}
	f.emitted = f.emitted || m.Emitted
	f.outcome = outcome
	d := s.decision(n, f, "step-failed", UpstreamFailed)
	d.Detail = fmt.Sprintf("%s at %s, status %d, sent %t: %s", m.Step, m.Engine, m.Status, !m.Unsent, m.Reason)
	n.do(LogDecision{Decision: d})
	if m.Step == RunStep && (f.decode == nil || f.decode.ID != m.Engine || f.phase < forwardRunning) {
		return
	}
	if m.Step == RunStep && m.Unsent {
		f.runs--
		f.sends--
	}
	if _, engine := f.spec.Engine.Get(); engine {
		s.streamFailed(n, f, m)
		return
	}
	s.plainFailed(n, f, m)
}
