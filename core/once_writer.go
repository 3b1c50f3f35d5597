package core

import "time"

const (
	// takenFor is how long a writer remembers which calls it has taken, so
	// that a repeated message does not run a call that was refused.
	takenFor = 5 * time.Minute
	// doubtfulFor is how long a writer remembers an intent that may still turn
	// up in the log.
	doubtfulFor = 10 * time.Minute
	// resumedFor is how long after a pause a writer refuses calls, since they
	// may have waited through the pause and been given up.
	resumedFor = time.Second
	// maxWaiters bounds the repetitions of a call that wait for one result.
	maxWaiters = 16
	// maxOpen bounds the keyed calls that are not decided yet.
	maxOpen = 4096
)

// takenCall names a call as one start of a node accepted it.
type takenCall struct {
	from        NodeID
	incarnation Incarnation
	call        CallID
}

// waiter is a call that waits for a key's result.
type waiter struct {
	from NodeID
	call CallID
}

// runStep says how far a keyed call has come.
type runStep int

const (
	// runQueued calls wait for their intent to be appended.
	runQueued runStep = iota
	// runAppending calls have their intent in an append under way.
	runAppending
	// runLogged calls wait for their intent to be read back.
	runLogged
	// runDispatched calls are at an upstream.
	runDispatched
	// runAbandoned calls were given up with their intent perhaps in the log.
	// They are never dispatched.
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
	// doubtful is set once an append of the intent got no clear answer.
	doubtful bool
	// dispatchBy is when the call is given up unless it was dispatched.
	dispatchBy Instant
	tried      []EngineID
}

// pending reports whether the call may still be dispatched for the first time.
func (r *keyRun) pending() bool { return r.step <= runLogged }

func (s *onceOnly) keyCall(n *Node, from NodeID, incarnation Incarnation, m KeyCall) {
	if s.repeated(n, takenCall{from: from, incarnation: incarnation, call: m.Call}) {
		return
	}
	s.wantedAt = n.now
	w := waiter{from: from, call: m.Call}
	if m.Writer != n.Incarnation {
		tell(n, w, KeyAnswer{Outcome: Unknown, Reason: OwnerUnreachable, RetryAfter: n.spread(callRetryAfter)})
		return
	}
	digest := CallDigest(m.Profile, m.Customer, m.Body)
	if st, ok := s.keys[m.Key]; ok && s.join(n, st, w, digest) {
		return
	}
	if reason, outcome, ok := s.refusal(n, m); ok {
		tell(n, w, KeyAnswer{Outcome: outcome, Reason: reason, RetryAfter: n.spread(callRetryAfter)})
		return
	}
	s.begin(n, m, digest, w)
}

// repeated reports whether the message of a call came before.
func (s *onceOnly) repeated(n *Node, id takenCall) bool {
	if _, dup := s.taken[id]; dup {
		return true
	}
	s.taken[id] = struct{}{}
	n.afterFunc(takenFor, func(*Node) { delete(s.taken, id) })
	return false
}

// CallDigest identifies what a call asks for. It is the Digest of a KeyIntent.
func CallDigest(profile ProfileID, customer CustomerID, body []byte) uint64 {
	return hash64(string(profile), string(customer), string(body))
}

// refusal decides whether to refuse a call whose key this node has not met.
func (s *onceOnly) refusal(n *Node, m KeyCall) (RefusalReason, Outcome, bool) {
	profile, known := n.config.profile(m.Profile)
	_, usable := s.pick(n, m.Profile, nil)
	switch {
	case s.expired(n, m.KeyMinted):
		return KeyExpired, Unknown, true
	case s.logDown(n):
		return LogUnavailable, unsent(m.First), true
	case n.resumedAt != 0 && n.now.Sub(n.resumedAt) < resumedFor:
		return OwnerUnreachable, unsent(m.First), true
	case !known || profile.Kind != Service || profile.Repeatable:
		return UnknownProfile, unsent(m.First), true
	case !usable:
		return NoUpstream, unsent(m.First), true
	case s.open >= maxOpen:
		return NoCapacity, unsent(m.First), true
	default:
		return NoReason, NotRun, false
	}
}

// logDown reports whether the last thing heard of the log was a failure.
func (s *onceOnly) logDown(n *Node) bool {
	return !s.reader.reachable || n.now < s.batch.notBefore && s.batch.failed
}

// expired reports whether a key's records may have left the log already.
func (s *onceOnly) expired(n *Node, minted int64) bool {
	clock, retention := s.reader.clock, s.reader.retention
	if minted == 0 || !clock.known || retention == 0 {
		return false
	}
	age := time.Duration(clock.latest(n.now) - minted)
	return age > retention-n.Settings.KeyMargin || age < -n.Settings.KeyMargin
}

// begin queues the intent of a call.
func (s *onceOnly) begin(n *Node, m KeyCall, digest uint64, w waiter) {
	st, ok := s.keys[m.Key]
	if !ok {
		st = &keyState{}
		s.keys[m.Key] = st
	}
	r := &keyRun{
		call: m, digest: digest, waiters: []waiter{w},
		dispatchBy: n.now.Add(intentTimeout),
		doubtful:   st.run != nil && st.run.doubtful,
	}
	st.run = r
	s.open++
	s.batch.intents = append(s.batch.intents, r)
	n.afterFunc(intentTimeout, func(n *Node) { s.timeout(n, r) })
	if !s.reader.caughtUp {
		s.reader.poll(n)
	}
	s.flush(n)
}

// timeout gives up a call whose intent was not read back in time.
func (s *onceOnly) timeout(n *Node, r *keyRun) {
	if !r.pending() {
		return
	}
	s.open--
	if r.step == runQueued && !r.doubtful {
		s.forget(r)
		answerAll(n, r, KeyAnswer{Outcome: unsent(r.call.First), Reason: LogUnavailable, RetryAfter: n.spread(callRetryAfter)})
		return
	}
	s.abandon(n, r)
}

// abandon gives up a call whose intent may be in the log.
func (s *onceOnly) abandon(n *Node, r *keyRun) {
	r.step = runAbandoned
	answerAll(n, r, KeyAnswer{Outcome: Unknown, Reason: LogUnavailable, RetryAfter: n.spread(callRetryAfter)})
	n.afterFunc(doubtfulFor, func(*Node) {
		if r.step == runAbandoned {
			s.forget(r)
		}
	})
}

// forget drops a call of whose key the log holds nothing.
func (s *onceOnly) forget(r *keyRun) {
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

// won dispatches a call whose intent is the first of its key.
func (s *onceOnly) won(n *Node, r *keyRun) {
	late := n.now > r.dispatchBy || s.expired(n, r.call.KeyMinted)
	if !r.pending() || late {
		s.decide(n, r, KeyResult{Outcome: NotRun}, LogUnavailable)
		return
	}
	s.dispatch(n, r)
}

// dispatch sends a call that this node has won to an upstream.
func (s *onceOnly) dispatch(n *Node, r *keyRun) {
	engine, ok := s.pick(n, r.call.Profile, r.tried)
	if !ok || n.now > r.dispatchBy {
		s.decide(n, r, KeyResult{Outcome: NotRun}, NoUpstream)
		return
	}
	key := r.call.Key
	n.require(AtMostOnce, !s.sent.Has(key) && s.keys[key].mine(n), "key "+string(key)+" is dispatched twice")
	s.sent.Add(key)
	r.step = runDispatched
	r.tried = append(r.tried, engine)
	decided(n, r.call.Call, r.call.Profile, r.call.Customer, engine, len(r.tried))
	s.send(n, flight{engine: engine, run: r}, r.call.Profile, r.call.Body, key)
}

// runFailed tries another upstream only if this one provably did not run the
// call.
func (s *onceOnly) runFailed(n *Node, r *keyRun, m ServiceFailed) {
	if !m.NotRun {
		s.decide(n, r, KeyResult{Outcome: Unknown}, UpstreamFailed)
		return
	}
	s.sent.Remove(r.call.Key)
	if len(r.tried) < plainTries {
		s.dispatch(n, r)
		return
	}
	s.decide(n, r, KeyResult{Outcome: NotRun}, UpstreamFailed)
}

// decide makes a key's result final: it is kept, appended to the log and told
// to all who wait.
func (s *onceOnly) decide(n *Node, r *keyRun, result KeyResult, reason RefusalReason) {
	key := r.call.Key
	if result.Outcome == NotRun {
		n.require(NotRunTrue, !s.sent.Has(key), "key "+string(key)+" may have run")
	}
	if r.step != runAbandoned {
		s.open--
	}
	r.step = runDecided
	result.Key, result.Writer, result.Incarnation = key, n.Self.ID, n.Incarnation
	st := s.keys[key]
	st.result = Some(result)
	s.batch.results = append(s.batch.results, result)
	answerAll(n, r, answerOf(result, reason))
	s.flush(n)
}

func answerOf(result KeyResult, reason RefusalReason) KeyAnswer {
	return KeyAnswer{Outcome: result.Outcome, Reason: reason, Status: result.Status, Body: result.Body}
}

// answerAll answers the calls that wait for a key's result.
func answerAll(n *Node, r *keyRun, answer KeyAnswer) {
	for _, w := range r.waiters {
		tell(n, w, answer)
	}
	r.waiters = nil
}

func tell(n *Node, w waiter, answer KeyAnswer) {
	answer.Call = w.call
	n.send(w.from, answer)
}
