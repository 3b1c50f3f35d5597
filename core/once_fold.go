package core

import "time"

// keyState is what this node knows about one key.
type keyState struct {
	// logged is set once an intent was read from the log. The fields from
	// writer to at are those of the first intent.
	logged      bool
	writer      NodeID
	incarnation Incarnation
	digest      uint64
	at          int64
	// result is the result from the key's writer, if there is one.
	result Option[KeyResult]
	// run is this node's own attempt, if it made one.
	run *keyRun
}

// expiringKey is a key with the log's time of an intent, for expiry.
type expiringKey struct {
	key IdempotencyKey
	at  int64
}

// wonHere reports whether this incarnation of this node wrote the key's first
// intent.
func (st *keyState) wonHere(n *Node) bool {
	return st.logged && st.writer == n.Self.ID && st.incarnation == n.Incarnation
}

// joinExisting answers a call from what is known about its key, or makes it
// wait for this node's own attempt. It reports false if this node has to start
// an attempt.
func (s *serviceCalls) joinExisting(n *Node, st *keyState, w waiter, digest uint64) bool {
	running := st.run != nil && (st.run.pending() || st.run.step == runDispatched)
	switch {
	case st.digestDiffers(digest):
		answerWaiter(n, w, KeyAnswer{Outcome: st.reusedOutcome(), Reason: KeyReused})
	case running && len(st.run.waiters) < maxWaiters:
		st.run.waiters = append(st.run.waiters, w)
	case st.logged || running:
		s.answerFromLog(n, st, w)
	default:
		return false
	}
	return true
}

// digestDiffers reports whether the key was used for another call than the one
// with this digest.
func (st *keyState) digestDiffers(digest uint64) bool {
	if st.logged {
		return st.digest != digest
	}
	return st.run != nil && st.run.digest != digest
}

// reusedOutcome returns the outcome of a call whose key was used for another
// call. It is NotRun only if the log shows that the key belongs to that other
// call.
func (st *keyState) reusedOutcome() Outcome {
	if st.logged {
		return NotRun
	}
	return Unknown
}

// answerFromLog answers a call whose key has an intent in the log or an
// attempt in progress: with the result if there is one, else with Unknown.
func (s *serviceCalls) answerFromLog(n *Node, st *keyState, w waiter) {
	result, decided := st.result.Get()
	if !decided {
		answerWaiter(n, w, KeyAnswer{Outcome: Unknown, Reason: InProgress, RetryAfter: n.jitteredDelay(callRetryAfter)})
		return
	}
	reason := NoReason
	if result.Outcome != Ran {
		reason = UpstreamFailed
	}
	answerWaiter(n, w, answerOf(result, reason))
}

// handleLogRead applies a page of records of KeyStream.
func (s *serviceCalls) handleLogRead(n *Node, m LogRead) {
	s.reader.readSucceeded(n, m)
	horizon := int64(0)
	for _, r := range m.Records {
		if r.Offset <= s.reader.cursor {
			continue
		}
		s.reader.cursor = r.Offset
		horizon = r.At
		s.fold(n, r)
	}
	s.reader.cursor = max(s.reader.cursor, m.First-1)
	if s.reader.cursor >= m.End {
		s.reader.caughtUp = true
		horizon = m.Now
	} else if len(m.Records) > 0 {
		s.reader.poll(n)
	}
	s.expire(horizon)
	s.flush(n)
}

func (s *serviceCalls) readFailed(_ *Node, _ LogReadFailed) { s.reader.readFailed() }

func (s *serviceCalls) fold(n *Node, r LogRecord) {
	switch record := r.Record.(type) {
	case KeyIntent:
		s.foldIntent(n, r.At, record)
	case KeyResult:
		s.foldResult(record)
	}
}

// foldIntent applies an intent. Only the first intent of a key counts until the
// log's retention has passed. Every reader decides this from the log's own
// times, so all agree on which intent counts.
func (s *serviceCalls) foldIntent(n *Node, at int64, m KeyIntent) {
	st, ok := s.keys[m.Key]
	if !ok {
		st = &keyState{}
		s.keys[m.Key] = st
	}
	if st.logged && !s.retentionPassed(st.at, at) {
		return
	}
	st.logged, st.writer, st.incarnation = true, m.Writer, m.Incarnation
	st.digest, st.at, st.result = m.Digest, at, None[KeyResult]()
	s.expiring = append(s.expiring, expiringKey{key: m.Key, at: at})
	s.resolveAttempt(n, m.Key, st)
}

// resolveAttempt continues or ends this node's own attempt after an intent
// decided which writer has won the key. If the winning intent is this node's
// but the attempt was forgotten, the key's result is NotRun.
func (s *serviceCalls) resolveAttempt(n *Node, key IdempotencyKey, st *keyState) {
	switch {
	case st.wonHere(n) && st.run != nil:
		s.won(n, st.run)
	case st.wonHere(n):
		r := &keyRun{call: KeyCall{Key: key}, digest: st.digest, step: runAbandoned}
		st.run = r
		s.decide(n, r, KeyResult{Outcome: NotRun}, LogUnavailable)
	case st.run != nil:
		s.lost(n, st)
	}
}

// lost ends this node's attempt at a key that another writer or incarnation
// has won, and answers its waiters from the log.
func (s *serviceCalls) lost(n *Node, st *keyState) {
	r := st.run
	st.run = nil
	if r.pending() {
		s.undecided--
	}
	r.step = runAbandoned
	waiters := r.waiters
	r.waiters = nil
	for _, w := range waiters {
		s.joinExisting(n, st, w, r.digest)
	}
}

// foldResult applies a result, which counts only if it comes from the key's
// writer.
func (s *serviceCalls) foldResult(m KeyResult) {
	st, ok := s.keys[m.Key]
	if !ok || !st.logged || st.writer != m.Writer || st.incarnation != m.Incarnation {
		return
	}
	if _, decided := st.result.Get(); !decided {
		st.result = Some(m)
	}
}

// retentionPassed reports whether the log's retention of a record that was appended
// at time at has passed by time by. Both are times of the log's clock.
func (s *serviceCalls) retentionPassed(at, by int64) bool {
	return s.reader.retention > 0 && time.Duration(by-at) >= s.reader.retention
}

// expire drops the keys whose intents the log no longer keeps. The horizon is a
// lower bound of the log's times of all records still to be read.
func (s *serviceCalls) expire(horizon int64) {
	for len(s.expiring) > 0 && s.retentionPassed(s.expiring[0].at, horizon) {
		old := s.expiring[0]
		s.expiring = s.expiring[1:]
		st, ok := s.keys[old.key]
		if ok && st.at == old.at && (st.run == nil || st.run.step == runDecided) {
			delete(s.keys, old.key)
			s.mayHaveRun.Remove(old.key)
		}
	}
}
