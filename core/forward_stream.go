package core

import (
	"fmt"
	"time"
)

const (
	// firstByteGuess is the share of the objective that a placed request is
	// assumed to need until its first bytes, before any such time was measured.
	firstByteGuess = 1.0 / 3
	// decodeFullFor is how long a decode engine that denied a lease is assumed
	// to be full. By then, streams of other nodes may have ended there.
	decodeFullFor = 120 * time.Millisecond
	// leaseFactor and minLease set the duration of a lease: leaseFactor times
	// the usual time to the first event, but at least minLease, which a prefill
	// needs.
	leaseFactor = 2
	minLease    = 400 * time.Millisecond
	// prefillTimeoutFactor and minPrefillTimeout set how long a prefill may take: the
	// factor times the usual time to the first event, but at least the minimum.
	prefillTimeoutFactor = 3
	minPrefillTimeout    = 600 * time.Millisecond
	// engineBusyFor is how long an engine that rejected a prompt or a run is
	// not used: it is full, or changes its role.
	engineBusyFor = time.Second
	// rerunCost is the number of arrivals that the retry budget is charged for
	// running a stream again: its prompt is prefilled again too.
	rerunCost = 2
	// placeEvery is the period at which a node tries to place waiting requests.
	placeEvery = 40 * time.Millisecond
	// remotePrefillCost is the cost, in prompt tokens, of a prefill engine in
	// another failure domain than the decode engine: transferring the KV cache
	// takes twice as long there and is priced higher.
	remotePrefillCost = 3000
	// otherVersionPrefillCost is the same for a prefill engine of another software version: its
	// KV cache may not fit.
	otherVersionPrefillCost = 3000
	// outputGuess is the share of the upper bound on the output that is
	// reserved if the caller gives no estimate.
	outputGuess = 0.5
	// firstEventObjectives is the number of objectives without a first event
	// after which another engine is sought for a resumable stream.
	firstEventObjectives = 1.5
	// stallShare is the share of the route's GapPatience after which another engine is
	// sought for a silent resumable stream; the rest is for prefilling its prompt again.
	// An engine that is silent for less most often goes on by itself. minStallAfter is
	// the least such time.
	stallShare    = 0.5
	minStallAfter = time.Second
	// maxOverlap is how long two engines may work on one stream, the silent one and the
	// one that is to take over.
	maxOverlap = 350 * time.Millisecond
)

// placeLocally places a request by this node's own knowledge, without an owner.
// A plain request is sent to an upstream. A request to model engines is queued,
// or rejected at once if it cannot expect to be served in time.
func (s *forwards) placeLocally(n *Node, f *forwardedRequest) {
	if s.mustCharge(n, f) {
		s.charge(n, f, s.placeLocally)
		return
	}
	f.placer = ""
	if _, engine := f.spec.Engine.Get(); !engine {
		s.runPlain(n, f)
		return
	}
	if quiet := s.quietFor(n, f); quiet > 0 {
		s.end(n, f, NoCapacity, quiet)
		return
	}
	if s.limitsExhausted(n, f) {
		s.end(n, f, NoCapacity, 0)
		return
	}
	before := ahead(n.now, s.queue, f.queueEntry, func(*forwardedRequest) bool { return true })
	if f.sends == 0 && exceedsDeadline(n.now, f.queueEntry, before, s.placementRate.rate(n.now)) {
		s.reject(n, f, NoCapacity, retryAfter(f.Patience, n.rng.Float64()))
		return
	}
	s.enqueue(n, f)
}

// limitsExhausted reports whether all engines that may run a request have limits of which
// this node, which places it by itself, may use nothing now.
func (s *forwards) limitsExhausted(n *Node, f *forwardedRequest) bool {
	exhausted := false
	for _, u := range s.upstreams.byService[f.spec.ID] {
		if !u.open(n.now) || !n.roles.canServe(n, u, Decode) || f.tried.Has(u.ID) || !f.fits(u) {
			continue
		}
		if u.nodeMaySend(n) {
			return false
		}
		exhausted = true
	}
	return exhausted
}

func (s *forwards) enqueue(n *Node, f *forwardedRequest) {
	f.phase = forwardWaiting
	f.step++
	s.queue = append(s.queue, f)
	s.placeWaiting(n)
}

// placeWaiting requests leases for waiting requests, in order, at engines that
// may have memory. Memory is leased before the prompt is prefilled: a prefill
// without memory to decode its output is wasted, and in a burst most prefills
// would be.
func (s *forwards) placeWaiting(n *Node) {
	if len(s.queue) == 0 || s.placing {
		return
	}
	s.placing = true
	defer func() { s.placing = false }()
	sortWaiting(n.now, s.queue)
	for _, f := range append([]*forwardedRequest(nil), s.queue...) {
		if f.phase != forwardWaiting || s.live[f.ID] != f {
			continue
		}
		if f.expired(n.now) && f.unprovenRuns() == 0 {
			s.dequeue(f)
			s.end(n, f, NoCapacity, 0)
			continue
		}
		if u := s.chooseDecode(n, f); u != nil {
			u.takeShare()
			s.requestLease(n, f, u, s.expectedMemory(n, f))
		} else if quiet := s.quietFor(n, f); quiet > 0 {
			s.dequeue(f)
			s.end(n, f, NoCapacity, quiet)
		}
	}
	if len(s.queue) > 0 && !s.placeScheduled {
		s.placeScheduled = true
		n.afterFunc(placeEvery, func(n *Node) {
			s.placeScheduled = false
			s.placeWaiting(n)
		})
	}
}

// chooseDecode returns, of the decode engines not known to be full, the one
// with the least memory reserved by this node.
func (s *forwards) chooseDecode(n *Node, f *forwardedRequest) *upstream {
	skip := func(u *upstream) bool {
		return !n.roles.canServe(n, u, Decode) || u.fullUntil > n.now || u.avoidUntil > n.now || f.tried.Has(u.ID) || !u.nodeMaySend(n) || !f.fits(u)
	}
	return cheapest(n, s.upstreams.byService[f.spec.ID], skip, func(u *upstream) float64 { return float64(u.reservedTokens) })
}

// expectedOutput returns the caller's estimate of the output, or a share of its
// upper bound if there is no estimate.
func (f *forwardedRequest) expectedOutput() Tokens {
	g, _ := f.Generation.Get()
	if g.ExpectedOutput > 0 {
		return g.ExpectedOutput
	}
	return Tokens(outputGuess * float64(g.MaxOutput))
}

// outputModelOf returns the output model of the request's service.
func (s *forwards) outputModelOf(f *forwardedRequest) *outputModel {
	return getOrCreate(s.outputModels, f.spec.ID)
}

// expectedMemory returns the memory that a request is expected to need when it
// ends, predicted from the answers that this node has seen itself.
func (s *forwards) expectedMemory(n *Node, f *forwardedRequest) Tokens {
	g, _ := f.Generation.Get()
	return s.outputModelOf(f).expectedMemory(n, g.Prompt, f.expectedOutput(), g.MaxOutput)
}

// requestLease asks an engine for a slot and memory. If engines grant no
// leases, it starts the prefill at once.
func (s *forwards) requestLease(n *Node, f *forwardedRequest, u *upstream, memory Tokens) {
	s.dequeue(f)
	f.phase = forwardLeasing
	f.step++
	f.decode = u
	f.reserved = memory
	u.ownRequests++
	u.reservedTokens += f.reserved
	s.holdFor(n, f, u)
	engine, _ := f.spec.Engine.Get()
	if engine.MaxLease == 0 {
		s.startPrefill(n, f)
		return
	}
	n.do(RequestLease{ID: f.ID, Send: f.nextSend(), Engine: u.ID, Address: u.Address, Tokens: f.reserved, TTL: s.leaseTTL(f, engine)})
	s.watchNoAnswer(n, f, u, noAnswerAfter)
}

// leaseTTL returns the duration of the lease to request. It covers the prefill
// and no more: a lease whose grant is lost in transit blocks its memory until
// it expires.
func (s *forwards) leaseTTL(f *forwardedRequest, engine EngineSpec) time.Duration {
	return min(engine.MaxLease, max(leaseFactor*s.usualFirstByteTime(f), minLease))
}

// handleLeaseGranted starts the prefill. A lease that the request no longer waits for
// is released.
func (s *forwards) handleLeaseGranted(n *Node, m LeaseGranted) {
	f, ok := s.live[m.ID]
	if !ok || s.stale(n, f, LeaseStep, m.Engine, m.Send, "granted") {
		if u, ok := s.upstreams.byID[m.Engine]; ok {
			n.do(ReleaseLease{Engine: u.ID, Address: u.Address, Lease: m.Lease})
		}
		return
	}
	f.lease = m.Lease
	s.observeBorn(n, f.decode, m.Born)
	if f.decode.superseded && !f.fits(f.decode) {
		s.leaseDenied(n, f, true)
		return
	}
	engine, _ := f.spec.Engine.Get()
	f.leasedUntil = n.now.Add(s.leaseTTL(f, engine))
	f.placedAt = n.now
	s.placementRate.record(n.now)
	s.reportPlacement(n, f)
	s.startPrefill(n, f)
}

// startPrefill has a prefill engine compute the prompt's KV cache, or runs the
// request at the decode engine alone if no prefill engine is available.
func (s *forwards) startPrefill(n *Node, f *forwardedRequest) {
	u := s.takeAdvisedPrefill(n, f)
	if u == nil && !f.prefillAtDecode {
		if u = s.choosePrefill(n, f); u != nil {
			u.takeShare()
		}
	}
	if u == nil {
		s.runStream(n, f)
		return
	}
	f.phase = forwardPrefilling
	f.step++
	f.prefills++
	f.prefill = u
	u.ownRequests++
	u.prefillTokens += f.prompt()
	s.logDecision(n, f, "place", NoReason)
	n.do(RunPrefill{
		ID: f.ID, Send: f.nextSend(), Engine: u.ID, Address: u.Address, Timeout: s.prefillTimeout(n, f), NewConnection: f.sentTo.Has(u.ID),
		Tenant: f.tenant, HideKey: s.mustHideKey(f),
	})
	f.sentTo.Add(u.ID)
}

// prefillTimeout returns how long a prefill engine may take. An engine that has gone
// silent must not hold the request for as long as its caller would wait.
func (s *forwards) prefillTimeout(n *Node, f *forwardedRequest) time.Duration {
	engine, _ := f.spec.Engine.Get()
	timeout := min(f.timeLeft(n.now), max(time.Duration(prefillTimeoutFactor*float64(s.usualFirstByteTime(f))), minPrefillTimeout))
	if engine.MaxLease > 0 {
		timeout = min(timeout, engine.MaxLease)
	}
	return timeout
}

// takeAdvisedPrefill returns the prefill engine that the owner chose, or nil if
// that can no longer take the prompt. The choice is used once.
func (s *forwards) takeAdvisedPrefill(n *Node, f *forwardedRequest) *upstream {
	u, ok := s.upstreams.byID[f.advisedPrefill]
	f.advisedPrefill = ""
	if !ok || !u.open(n.now) || f.tried.Has(u.ID) || u.fullUntil > n.now || !n.roles.canServe(n, u, Prefill) {
		return nil
	}
	return u
}

// choosePrefill returns the prefill engine with the fewest prompt tokens
// pending from this node. An engine in another failure domain than the decode
// engine counts as having remotePrefillCost more.
func (s *forwards) choosePrefill(n *Node, f *forwardedRequest) *upstream {
	skip := func(u *upstream) bool {
		return !n.roles.canServe(n, u, Prefill) || u.fullUntil > n.now || u.avoidUntil > n.now || f.tried.Has(u.ID) || !u.nodeMaySend(n)
	}
	return cheapest(n, s.upstreams.byService[f.spec.ID], skip, func(u *upstream) float64 {
		cost := float64(u.prefillTokens)
		if u.Domain != f.decode.Domain {
			cost += remotePrefillCost
		}
		if u.Version != f.decode.Version {
			cost += otherVersionPrefillCost
		}
		return cost
	})
}

// handlePrefillDone runs the request at its decode engine. A KV cache that the request
// no longer waits for is freed.
func (s *forwards) handlePrefillDone(n *Node, m PrefillFinished) {
	f, ok := s.live[m.ID]
	if !ok || s.stale(n, f, ReadPromptStep, m.Engine, m.Send, "prefilled") {
		if u, ok := s.upstreams.byID[m.Engine]; ok {
			n.do(ReleaseHandle{Engine: u.ID, Address: u.Address, Handle: m.Handle})
		}
		return
	}
	f.prefill.recordSuccess()
	s.observeBorn(n, f.prefill, m.Born)
	if f.owner != "" {
		n.send(f.owner, ForwardPromptRead{ID: f.placement})
	}
	f.handle = m.Handle
	s.runStream(n, f)
}

// runStream sends the request to its decode engine. A draining engine accepts
// nothing new, so whether it is usable is checked once more here.
func (s *forwards) runStream(n *Node, f *forwardedRequest) {
	if f.decode.usable() && !s.mayRunAt(n, f, f.decode) {
		return
	}
	if !f.decode.mayFinish(n.now) || !f.fits(f.decode) {
		s.release(n, f)
		s.requestPlacement(n, f)
		return
	}
	run := RunForward{
		ID: f.ID, Engine: f.decode.ID, Address: f.decode.Address, Lease: f.lease, Hold: f.takeHold(), Patience: f.timeLeft(n.now), MaxOverlap: maxOverlap,
		Once: f.route.RetryPolicy == Once, Repeatable: f.route.RetryPolicy == Repeatable, NewConnection: f.sentTo.Has(f.decode.ID), TakesOver: f.silent != nil, GoneOn: f.goneOn,
		Tenant: f.tenant, HideKey: s.mustHideKey(f),
	}
	if f.route.RetryPolicy != Once && f.unprovenRuns()+1 < f.route.MaxRuns {
		run.StallAfter = max(fractionOf(f.route.GapPatience, stallShare), minStallAfter)
	}
	if f.prefill != nil {
		run.Source, run.Handle = f.prefill.Address, f.handle
		s.releasePrefill(f)
	}
	f.lease = ""
	f.phase = forwardRunning
	f.step++
	f.sends++
	s.checkBeforeRun(n, f)
	run.Send = f.recordRun(n.now, f.decode)
	s.logRun(n, f)
	n.do(run)
	s.watchNoAnswer(n, f, f.decode, time.Duration(firstEventObjectives*float64(f.route.Objective)))
	if f.route.RetryPolicy != Once {
		s.watchFirstEvent(n, f)
	}
}

// watchFirstEvent looks for another engine for a resumable stream if the present one
// does not send a first event in time.
func (s *forwards) watchFirstEvent(n *Node, f *forwardedRequest) {
	s.watchFirstEventAfter(n, f, time.Duration(firstEventObjectives*float64(f.route.Objective)))
}

func (s *forwards) watchFirstEventAfter(n *Node, f *forwardedRequest, after time.Duration) {
	step := f.step
	s.whileLive(n, f, after, func(n *Node) {
		if s.live[f.ID] != f || f.step != step || f.phase != forwardRunning {
			return
		}
		if n.justResumed() {
			s.watchFirstEventAfter(n, f, resumeGrace)
			return
		}
		if f.silent == nil {
			s.replaceSilentRun(n, f)
		}
		if f.step == step {
			// There was no room for another run. There may be later.
			s.watchFirstEvent(n, f)
		}
	})
}

// rerunElsewhere requests a new placement for a stream, on another engine than
// the one that it was on.
func (s *forwards) rerunElsewhere(n *Node, f *forwardedRequest) {
	f.tried.Add(f.decode.ID)
	s.release(n, f)
	s.whenOriginKnown(n, f, func(n *Node) { s.requestPlacement(n, f) })
}

// streamRejected handles the rejection of a stream's step by an engine.
func (s *forwards) streamRejected(n *Node, f *forwardedRequest, m StepRefused) {
	switch m.Step {
	case LeaseStep:
		s.leaseDenied(n, f, false)
	case ReadPromptStep:
		s.prefillElsewhere(n, f)
	case RunStep:
		u := f.decode
		if f.sends < maxSends && s.spendRetryBudget(n, f, rerunCost) {
			s.release(n, f)
			u.fullUntil = n.now.Add(n.jitter(engineBusyFor))
			s.requestPlacement(n, f)
			return
		}
		s.end(n, f, NoCapacity, 0)
	}
}

// leaseDenied requests a new placement after an engine denied the lease, or gave no
// usable answer if failed is set. That engine is not used for a moment: a dead one would
// be retried as fast as it rejects.
func (s *forwards) leaseDenied(n *Node, f *forwardedRequest, failed bool) {
	u := f.decode
	s.logDecision(n, f, "denied", NoCapacity)
	if f.owner != "" {
		n.send(f.owner, ForwardDenied{ID: f.placement, Engine: u.ID, Failed: failed})
		f.owner = ""
	}
	s.release(n, f)
	u.fullUntil = n.now.Add(n.jitter(decodeFullFor))
	s.requestPlacement(n, f)
}

// prefillElsewhere has another engine compute the prompt's KV cache. If the lease of
// decode memory has expired meanwhile, the request is placed again.
func (s *forwards) prefillElsewhere(n *Node, f *forwardedRequest) {
	f.tried.Add(f.prefill.ID)
	f.prefill.fullUntil = n.now.Add(n.jitter(engineBusyFor))
	if f.owner != "" {
		n.send(f.owner, ForwardPromptRead{ID: f.placement, Failed: true})
	}
	s.releasePrefill(f)
	switch {
	case f.prefills >= maxSends || !s.spendRetryBudget(n, f, 1):
		s.end(n, f, NoCapacity, 0)
	case f.lease != "" && n.now > f.leasedUntil:
		s.release(n, f)
		s.requestPlacement(n, f)
	default:
		s.startPrefill(n, f)
	}
}

// streamFailed handles a stream's step that got no usable answer.
func (s *forwards) streamFailed(n *Node, f *forwardedRequest, m StepFailed) {
	switch m.Step {
	case LeaseStep:
		s.leaseDenied(n, f, true)
	case ReadPromptStep:
		s.prefillElsewhere(n, f)
	case RunStep:
		f.hasFailureAnswer = m.Status != 0
		again := s.mayRunAgain(f) && !m.Unresumable && f.sends < maxSends && n.now < f.deadline
		if again && s.rejectIfHeldBack(n, f) {
			return
		}
		if again && s.spendRetryBudget(n, f, rerunCost) {
			s.rerunElsewhere(n, f)
			return
		}
		s.end(n, f, UpstreamFailed, 0)
	}
}

// handleStepRefused handles the rejection of a step, by the kind of the request. Of a
// send that was given up, only the proof that it was not run counts.
func (s *forwards) handleStepRefused(n *Node, m StepRefused) {
	f, ok := s.live[m.ID]
	if !ok {
		return
	}
	s.logRefusal(n, f, m)
	if m.AddressReused {
		if u, ok := s.upstreams.byID[m.Engine]; ok {
			u.recordFailure(n.now)
		}
	}
	if m.Step == RunStep {
		f.recordNotRun(m.Send, m.Proof)
	}
	if m.Step == RunStep && !m.AddressReused {
		s.observeAnswer(n, m.Engine, f.sentAt(m.Send))
	}
	if s.silentRunEnded(n, f, m.Step, m.Send, RunUnknown) {
		return
	}
	if s.stale(n, f, m.Step, m.Engine, m.Send, m.Proof.String()) {
		return
	}
	if _, engine := f.spec.Engine.Get(); engine {
		s.streamRejected(n, f, m)
		return
	}
	s.plainRejected(n, f)
}

// logRefusal logs that an upstream rejected a step, and what proves that it did not carry
// it out. Rejected leases are logged as denied.
func (s *forwards) logRefusal(n *Node, f *forwardedRequest, m StepRefused) {
	if m.Step == LeaseStep {
		return
	}
	d := s.newDecision(n, f, "step-refused", NoCapacity)
	d.Detail = fmt.Sprintf("%s at %s, send %d: %s", m.Step, m.Engine, m.Send, m.Proof)
	n.do(LogDecision{Decision: d})
}

// stepOutcome returns how a step that got no usable answer counts for its upstream: not at all
// if the failure may be that of the path to it.
func stepOutcome(m StepFailed, ofPath bool) RunOutcome {
	switch {
	case m.Status != 0:
		return RunErred
	case ofPath:
		return RunUnknown
	default:
		return RunFailed
	}
}

// handleStepFailed handles a step that got no usable answer, by the kind of the
// request.
func (s *forwards) handleStepFailed(n *Node, m StepFailed) {
	n.isolation.observeStep(n, m)
	ofPath := m.Status == 0 && (m.PathFailed || n.isolation.failsAt(n, m.Relay))
	outcome := stepOutcome(m, ofPath)
	f, ok := s.live[m.ID]
	if u, listed := s.upstreams.byID[m.Engine]; listed && !(ok && f.ranAtFormer(u, m.Send)) {
		if outcome == RunFailed {
			n.isolation.recordBlame(n, m.Relay, u)
		}
		u.recordOutcome(n, outcome)
	}
	if !ok {
		return
	}
	if m.Step == RunStep && m.Unsent {
		f.recordNotRun(m.Send, NothingSent)
	}
	f.emitted = f.emitted || m.Emitted
	if m.Emitted && m.Step == RunStep {
		s.streamBegan(n, f, m.Send, 0)
	}
	d := s.newDecision(n, f, "step-failed", UpstreamFailed)
	d.Detail = fmt.Sprintf("%s at %s, send %d, status %d, sent %t: %s", m.Step, m.Engine, m.Send, m.Status, !m.Unsent, m.Reason)
	if m.BrokenOff {
		d.Detail += ", request " + string(f.Key)
	}
	n.do(LogDecision{Decision: d})
	if m.Status != 0 && m.Step == RunStep {
		s.observeFailureAnswer(n, f)
		s.observeAnswer(n, m.Engine, f.sentAt(m.Send))
	}
	s.handleCrash(n, f, m, ofPath)
	if s.live[m.ID] != f {
		// It was blocked by this.
		return
	}
	if s.silentRunEnded(n, f, m.Step, m.Send, outcome) {
		f.hasFailureAnswer = f.hasFailureAnswer || m.Status != 0
		return
	}
	if s.stale(n, f, m.Step, m.Engine, m.Send, "failed") {
		return
	}
	f.outcome = outcome
	if m.Step == RunStep && m.Unsent {
		f.sends--
	}
	if ofPath && (m.Unsent || m.Step != RunStep) {
		s.placeAfterPathFailure(n, f, m)
		return
	}
	if _, engine := f.spec.Engine.Get(); engine {
		s.streamFailed(n, f, m)
		return
	}
	s.plainFailed(n, f, m)
}
