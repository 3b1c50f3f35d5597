package core

import "fmt"

// secondPlacement is set in the id of one of the two placements of a request that owners may
// know at a time: that of its silent run and that of the run that is to take over.
const secondPlacement ForwardID = 1 << 63

// silentRun is a run that goes on without an answer or an event, while the request is placed
// a second time. It keeps its place until another run has taken over.
type silentRun struct {
	send      SendNumber
	engine    *upstream
	reserved  Tokens
	phase     forwardPhase
	outcome   RunOutcome
	group     DispatchGroup
	owner     NodeID
	placement ForwardID
	placedAt  Instant
	// sends and prefills are the request's counts from before the search, which began at
	// searchedAt.
	sends, prefills int
	searchedAt      Instant
}

// handleStalled looks for an engine that takes over a stream whose engine has been silent
// for the run's StallAfter.
func (s *forwards) handleStalled(n *Node, m ForwardStalled) {
	f, ok := s.live[m.ID]
	if !ok || m.Send != f.current || f.silent != nil || n.justResumed() {
		return
	}
	n.isolation.observeNoAnswer(n, f.decode)
	s.replaceSilentRun(n, f)
}

// replaceSilentRun requests another placement for a stream whose engine is silent. The
// engine may be sound and go on at any moment, so its run keeps its place until another
// run has one, and nothing changes if there is no room for another run.
func (s *forwards) replaceSilentRun(n *Node, f *forwardedRequest) {
	d := s.newDecision(n, f, "silent", NoReason)
	allowed := f.unprovenRuns() < f.route.MaxRuns && f.sends < maxSends
	inTime := n.now < f.deadline
	search := allowed && inTime && s.spendRetryBudget(n, f, rerunCost)
	switch {
	case search:
		d.Detail = "looking for another engine"
	case !inTime:
		d.Detail = "kept: the deadline has passed"
	case allowed:
		d.Detail = "kept: no room in the retry budget"
	default:
		d.Detail = "kept: no more runs allowed"
	}
	n.do(LogDecision{Decision: d})
	if !search {
		return
	}
	s.setAside(n, f)
	s.whenOriginKnown(n, f, func(n *Node) { s.requestPlacement(n, f) })
}

// setAside makes a request's present run its silent run, so that the request can be placed
// a second time. A request that runs holds no lease, prefill or KV cache any more.
func (s *forwards) setAside(n *Node, f *forwardedRequest) {
	f.silent = &silentRun{
		send: f.current, engine: f.decode, reserved: f.reserved, phase: f.phase, outcome: f.outcome, placedAt: f.placedAt,
		group: f.group, owner: f.owner, placement: f.placement, sends: f.sends, prefills: f.prefills,
		searchedAt: n.now,
	}
	f.tried.Add(f.decode.ID)
	f.step++
	f.giveUpSend()
	f.decode, f.reserved, f.owner, f.outcome = nil, 0, "", RunUnknown
	f.placement ^= secondPlacement
}

// keepSilentRun returns to a request's silent run, if it has one, when the request would
// end because no other run can take over, and reports whether it did. A stream that has
// not begun ends at its deadline all the same.
func (s *forwards) keepSilentRun(n *Node, f *forwardedRequest, reason RejectionReason) bool {
	if f.silent == nil || reason == DeadlinePassed && !f.emitted {
		return false
	}
	d := s.newDecision(n, f, "silent", reason)
	d.Detail = "kept: no other engine takes over"
	n.do(LogDecision{Decision: d})
	s.returnToSilentRun(n, f)
	return true
}

// returnToSilentRun gives up the search for another engine: the silent run is the
// request's only run again.
func (s *forwards) returnToSilentRun(n *Node, f *forwardedRequest) {
	run := f.silent
	f.silent = nil
	if _, engine := f.spec.Engine.Get(); engine {
		arrived := f.sends - run.sends + f.prefills - run.prefills
		s.budget(f.spec.ID).returnRetries(run.searchedAt, rerunCost-arrived)
	}
	s.dequeue(f)
	s.release(n, f)
	f.decode, f.reserved, f.phase, f.outcome = run.engine, run.reserved, run.phase, run.outcome
	f.group, f.owner, f.placement, f.placedAt = run.group, run.owner, run.placement, run.placedAt
	f.current = run.send
	if f.phase == forwardRunning {
		s.watchSilence(n, f)
	}
	s.placeWaiting(n)
}

// watchSilence looks for another upstream if a run that may be repeated has no answer in
// time.
func (s *forwards) watchSilence(n *Node, f *forwardedRequest) {
	if _, engine := f.spec.Engine.Get(); engine {
		s.watchFirstEvent(n, f)
		return
	}
	s.retryIfSilent(n, f)
}

// replaceRun releases a silent run whose place another run has taken. Silence alone is no
// failure of an upstream, but one that another has overtaken is.
func (s *forwards) replaceRun(n *Node, f *forwardedRequest) {
	f.silent.engine.recordFailure(n.now)
	s.releaseSilentRun(n, f, RunFailed)
}

// releaseSilentRun releases what a silent run holds, because the run has ended.
func (s *forwards) releaseSilentRun(n *Node, f *forwardedRequest, outcome RunOutcome) {
	run := f.silent
	f.silent = nil
	run.engine.ownRequests--
	run.engine.reservedTokens -= run.reserved
	run.engine.fullUntil = 0
	if run.owner != "" {
		n.send(run.owner, ForwardReleased{ID: run.placement, Outcome: outcome})
	}
}

// handleContinued handles the report that a silent run goes on.
func (s *forwards) handleContinued(n *Node, m ForwardContinued) {
	f, ok := s.live[m.ID]
	if !ok {
		return
	}
	f.goneOn++
	s.endSilence(n, f, m.Send)
	if m.Send == f.current {
		f.decode.recordSuccess()
	}
}

// endSilence returns to the silent run if a result shows that this run goes on.
func (s *forwards) endSilence(n *Node, f *forwardedRequest, send SendNumber) {
	if f.silent == nil || f.silent.send != send {
		return
	}
	d := s.newDecision(n, f, "silent", NoReason)
	d.Detail = fmt.Sprintf("ended: send %d at %s goes on", send, f.silent.engine.ID)
	n.do(LogDecision{Decision: d})
	s.returnToSilentRun(n, f)
}

// silentRunEnded reports whether a result is that of a silent run, which has ended with
// it, and releases what that run held. The search for another engine goes on.
func (s *forwards) silentRunEnded(n *Node, f *forwardedRequest, step ForwardStep, send SendNumber, outcome RunOutcome) bool {
	if f.silent == nil || step != RunStep || f.silent.send != send {
		return false
	}
	s.releaseSilentRun(n, f, outcome)
	return true
}

// holdsSilently reports whether a request, which may be nil, has a silent run that an owner
// placed under the given placement id.
func (f *forwardedRequest) holdsSilently(owner NodeID, placement ForwardID) bool {
	return f != nil && f.silent != nil && f.silent.owner == owner && f.silent.placement == placement
}

// silentOwnerChanged notifies the new owner of a silent run's engine.
func (s *forwards) silentOwnerChanged(n *Node, f *forwardedRequest) {
	run := f.silent
	if run == nil || run.owner == "" {
		return
	}
	owner := s.groupOwner(n, run.group)
	if owner == run.owner || owner == "" {
		return
	}
	n.send(run.owner, ForwardReleased{ID: run.placement, Outcome: RunUnknown})
	run.owner = owner
	n.send(owner, ForwardHeld{ID: run.placement, Group: run.group, Decode: run.engine.ID, Memory: run.reserved})
}
