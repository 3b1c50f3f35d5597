package core

import "time"

const (
	// deduplicateFor is how long a writer remembers which calls it has received,
	// so that a duplicated message does not run a call that was rejected.
	deduplicateFor = 5 * time.Minute
	// forgetAbandonedAfter is how long a writer remembers an abandoned call whose
	// intent may still appear in the log.
	forgetAbandonedAfter = 10 * time.Minute
	// rejectAfterPause is how long a writer rejects calls after a pause of its
	// process. They may have arrived during the pause and timed out at the node
	// that forwarded them.
	rejectAfterPause = time.Second
	// maxWaiters bounds the calls that wait for the result of one key.
	maxWaiters = 16
	// maxUndecided bounds the keyed calls that have no result yet.
	maxUndecided = 4096
)

// receivedCall identifies a call by the node that forwarded it, that node's
// incarnation and the call's id there.
type receivedCall struct {
	from        NodeID
	incarnation Incarnation
	call        CallID
}

// waiter is a call that waits for a key's result.
type waiter struct {
	from NodeID
	call CallID
}

// runStep is the state of a keyed call.
type runStep int

const (
	// runQueued calls wait for their intent to be appended.
	runQueued runStep = iota
	// runAppending calls have their intent in an append in flight.
	runAppending
	// runLogged calls wait for their intent to be read back.
	runLogged
	// runDispatched calls are in flight to an upstream.
	runDispatched
	// runAbandoned calls were given up before they were dispatched. Their intent
	// may be in the log, but they are never dispatched.
	runAbandoned
	// runDecided calls have their result.
	runDecided
)

// keyRun is this node's own attempt to run the call under a key.
type keyRun struct {
	call    KeyCall
	digest  uint64
	step    runStep
	waiters []waiter
	// maybeLogged is set once an append of the intent failed without showing
	// whether it took effect.
	maybeLogged bool
	// dispatchBy is the deadline for dispatching the call.
	dispatchBy Instant
	tried      []EngineID
}

// pending reports whether the call may still be dispatched for the first time.
func (r *keyRun) pending() bool { return r.step <= runLogged }

// handleKeyCall handles a call that another node or this one has sent to this node as
// the writer of its key: it joins the call to what is known of the key, rejects it, or
// begins an attempt.
func (s *serviceCalls) handleKeyCall(n *Node, from NodeID, incarnation Incarnation, m KeyCall) {
	if s.isDuplicate(n, receivedCall{from: from, incarnation: incarnation, call: m.Call}) {
		return
	}
	s.lastKeyCallAt = n.now
	w := waiter{from: from, call: m.Call}
	if m.Writer != n.Incarnation {
		answerWaiter(n, w, KeyAnswer{Outcome: Unknown, Reason: OwnerUnreachable, RetryAfter: n.jitteredDelay(callRetryAfter)})
		return
	}
	digest := CallDigest(m.Profile, m.Customer, m.Body)
	if st, ok := s.keys[m.Key]; ok && s.joinExisting(n, st, w, digest) {
		return
	}
	if reason, outcome, ok := s.rejection(n, m); ok {
		answerWaiter(n, w, KeyAnswer{Outcome: outcome, Reason: reason, RetryAfter: n.jitteredDelay(callRetryAfter)})
		return
	}
	s.begin(n, m, digest, w)
}

// isDuplicate reports whether the message of a call was received before, and
// remembers it.
func (s *serviceCalls) isDuplicate(n *Node, id receivedCall) bool {
	if _, dup := s.received[id]; dup {
		return true
	}
	s.received[id] = struct{}{}
	n.afterFunc(deduplicateFor, func(*Node) { delete(s.received, id) })
	return false
}

// CallDigest returns the digest of a call's profile, customer and body. A
// KeyIntent holds it as Digest.
func CallDigest(profile ProfileID, customer CustomerID, body []byte) uint64 {
	return hash64(string(profile), string(customer), string(body))
}

// rejection decides whether to reject a call whose key has no intent in the log
// and no attempt in progress here. It reports false if the call may start.
func (s *serviceCalls) rejection(n *Node, m KeyCall) (RejectionReason, Outcome, bool) {
	profile, known := n.config.profile(m.Profile)
	_, usable := s.pick(n, m.Profile, nil)
	switch {
	case s.expired(n, m.KeyMinted):
		return KeyExpired, Unknown, true
	case s.logUnavailable(n):
		return LogUnavailable, outcomeWithoutIntent(m.First), true
	case n.resumedAt != 0 && n.now.Sub(n.resumedAt) < rejectAfterPause:
		return OwnerUnreachable, outcomeWithoutIntent(m.First), true
	case !known || profile.Kind != Service || profile.Repeatable:
		return UnknownProfile, outcomeWithoutIntent(m.First), true
	case !usable:
		return NoUpstream, outcomeWithoutIntent(m.First), true
	case s.undecided >= maxUndecided:
		return NoCapacity, outcomeWithoutIntent(m.First), true
	default:
		return NoReason, NotRun, false
	}
}

// logUnavailable reports whether the last read failed, or the last append
// failed and the next one is not due yet.
func (s *serviceCalls) logUnavailable(n *Node) bool {
	return !s.reader.reachable || n.now < s.batch.notBefore && s.batch.lastFailed
}

// expired reports whether the log may no longer keep a key's records, judged by
// when the key was minted. A time too far in the future counts as expired too.
func (s *serviceCalls) expired(n *Node, minted int64) bool {
	clock, retention := s.reader.clock, s.reader.retention
	if minted == 0 || !clock.valid || retention == 0 {
		return false
	}
	age := time.Duration(clock.latest(n.now) - minted)
	return age > retention-n.Settings.KeyMargin || age < -n.Settings.KeyMargin
}

// begin starts an attempt at a call by queueing its intent.
func (s *serviceCalls) begin(n *Node, m KeyCall, digest uint64, w waiter) {
	st, ok := s.keys[m.Key]
	if !ok {
		st = &keyState{}
		s.keys[m.Key] = st
	}
	r := &keyRun{
		call: m, digest: digest, waiters: []waiter{w},
		dispatchBy:  n.now.Add(intentTimeout),
		maybeLogged: st.run != nil && st.run.maybeLogged,
	}
	st.run = r
	s.undecided++
	s.batch.intents = append(s.batch.intents, r)
	n.afterFunc(intentTimeout, func(n *Node) { s.intentTimedOut(n, r) })
	if !s.reader.caughtUp {
		s.reader.poll(n)
	}
	s.flush(n)
}

// intentTimedOut gives up a call whose intent was not read back in time.
func (s *serviceCalls) intentTimedOut(n *Node, r *keyRun) {
	if !r.pending() {
		return
	}
	s.undecided--
	if r.step == runQueued && !r.maybeLogged {
		s.forget(r)
		answerWaiters(n, r, KeyAnswer{Outcome: outcomeWithoutIntent(r.call.First), Reason: LogUnavailable, RetryAfter: n.jitteredDelay(callRetryAfter)})
		return
	}
	s.abandon(n, r)
}

// abandon gives up a call whose intent may be in the log.
func (s *serviceCalls) abandon(n *Node, r *keyRun) {
	r.step = runAbandoned
	answerWaiters(n, r, KeyAnswer{Outcome: Unknown, Reason: LogUnavailable, RetryAfter: n.jitteredDelay(callRetryAfter)})
	n.afterFunc(forgetAbandonedAfter, func(*Node) {
		if r.step == runAbandoned {
			s.forget(r)
		}
	})
}

// forget drops an attempt whose intent did not appear in the log.
func (s *serviceCalls) forget(r *keyRun) {
	r.step = runAbandoned
	st, ok := s.keys[r.call.Key]
	if !ok || st.run != r {
		return
	}
	st.run = nil
	if !st.logged {
		delete(s.keys, r.call.Key)
	}
}

// won dispatches a call whose intent is the first of its key. If the call was
// given up or is too late, the key's result is NotRun.
func (s *serviceCalls) won(n *Node, r *keyRun) {
	late := n.now > r.dispatchBy || s.expired(n, r.call.KeyMinted)
	if !r.pending() || late {
		s.decide(n, r, KeyResult{Outcome: NotRun}, LogUnavailable)
		return
	}
	s.dispatch(n, r)
}

// dispatch sends a call whose key this node has won to an upstream.
func (s *serviceCalls) dispatch(n *Node, r *keyRun) {
	engine, ok := s.pick(n, r.call.Profile, r.tried)
	if !ok || n.now > r.dispatchBy {
		s.decide(n, r, KeyResult{Outcome: NotRun}, NoUpstream)
		return
	}
	key := r.call.Key
	n.checkInvariant(AtMostOnce, !s.mayHaveRun.Has(key) && s.keys[key].wonHere(n), "key "+string(key)+" is dispatched twice")
	s.mayHaveRun.Add(key)
	r.step = runDispatched
	r.tried = append(r.tried, engine)
	logCallDecision(n, r.call.Call, r.call.Profile, r.call.Customer, engine, len(r.tried))
	s.send(n, inFlightCall{engine: engine, run: r}, r.call.Profile, r.call.Body, key)
}

// runFailed tries another upstream only if the failed one provably did not run
// the call.
func (s *serviceCalls) runFailed(n *Node, r *keyRun, m ServiceFailed) {
	if !m.NotRun {
		s.decide(n, r, KeyResult{Outcome: Unknown}, UpstreamFailed)
		return
	}
	s.mayHaveRun.Remove(r.call.Key)
	if len(r.tried) < maxDispatches {
		s.dispatch(n, r)
		return
	}
	s.decide(n, r, KeyResult{Outcome: NotRun}, UpstreamFailed)
}

// decide makes a key's result final: it stores the result, queues it for the
// log and answers the calls that wait for it.
func (s *serviceCalls) decide(n *Node, r *keyRun, result KeyResult, reason RejectionReason) {
	key := r.call.Key
	if result.Outcome == NotRun {
		n.checkInvariant(NotRunTrue, !s.mayHaveRun.Has(key), "key "+string(key)+" is decided NotRun but may have run")
	}
	if r.step != runAbandoned {
		s.undecided--
	}
	r.step = runDecided
	result.Key, result.Writer, result.Incarnation = key, n.Self.ID, n.Incarnation
	st := s.keys[key]
	st.result = Some(result)
	s.batch.results = append(s.batch.results, result)
	answerWaiters(n, r, answerOf(result, reason))
	s.flush(n)
}

func answerOf(result KeyResult, reason RejectionReason) KeyAnswer {
	return KeyAnswer{Outcome: result.Outcome, Reason: reason, Status: result.Status, Body: result.Body}
}

// answerWaiters answers the calls that wait for a key's result.
func answerWaiters(n *Node, r *keyRun, answer KeyAnswer) {
	for _, w := range r.waiters {
		answerWaiter(n, w, answer)
	}
	r.waiters = nil
}

func answerWaiter(n *Node, w waiter, answer KeyAnswer) {
	answer.Call = w.call
	n.send(w.from, answer)
}
