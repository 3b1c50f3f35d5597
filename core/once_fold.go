package core

import "time"

// keyState is what is known of one key.
type keyState struct {
	// logged is set once an intent was read; the fields to result are the
	// first intent's.
	logged      bool
	writer      NodeID
	incarnation Incarnation
	digest      uint64
	at          int64
	result      Option[KeyResult]
	// run is this node's own attempt, if it made one.
	run *keyRun
}

// agingKey is a key with the log's time of its intent.
type agingKey struct {
	key IdempotencyKey
	at  int64
}

// mine reports whether this start of this node wrote the first intent.
func (st *keyState) mine(n *Node) bool {
	return st.logged && st.writer == n.Self.ID && st.incarnation == n.Incarnation
}

// join answers a call from what is known of its key, or has it wait for this
// node's own attempt. It reports false if the call has to be begun.
func (s *onceOnly) join(n *Node, st *keyState, w waiter, digest uint64) bool {
	running := st.run != nil && (st.run.pending() || st.run.step == runDispatched)
	switch {
	case st.digestDiffers(digest):
		tell(n, w, KeyAnswer{Outcome: st.reusedOutcome(), Reason: KeyReused})
	case running && len(st.run.waiters) < maxWaiters:
		st.run.waiters = append(st.run.waiters, w)
	case st.logged || running:
		s.tellKnown(n, st, w)
	default:
		return false
	}
	return true
}

// digestDiffers reports whether a call is another than the one that its key
// was used for.
func (st *keyState) digestDiffers(digest uint64) bool {
	if st.logged {
		return st.digest != digest
	}
	return st.run != nil && st.run.digest != digest
}

// reusedOutcome returns what is certain of a second call under a used key: it
// will not run if the log shows that the key belongs to the other call.
func (st *keyState) reusedOutcome() Outcome {
	if st.logged {
		return NotRun
	}
	return Unknown
}

// tellKnown answers a call whose key is in the log.
func (s *onceOnly) tellKnown(n *Node, st *keyState, w waiter) {
	result, decided := st.result.Get()
	if !decided {
		tell(n, w, KeyAnswer{Outcome: Unknown, Reason: InProgress, RetryAfter: n.spread(callRetryAfter)})
		return
	}
	reason := NoReason
	if result.Outcome != Ran {
		reason = UpstreamFailed
	}
	tell(n, w, answerOf(result, reason))
}

// read folds a stretch of the stream of keys.
func (s *onceOnly) read(n *Node, m LogRead) {
	s.reader.answered(n, m)
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

func (s *onceOnly) readFailed(_ *Node, _ LogReadFailed) { s.reader.failed() }

func (s *onceOnly) fold(n *Node, r LogRecord) {
	switch record := r.Record.(type) {
	case KeyIntent:
		s.foldIntent(n, r.At, record)
	case KeyResult:
		s.foldResult(record)
	}
}

// foldIntent takes in an intent. Only the first of a key counts, until the log
// has kept it for the whole retention; that rule rests on the log's times
// alone, so every reader comes to the same.
func (s *onceOnly) foldIntent(n *Node, at int64, m KeyIntent) {
	st, ok := s.keys[m.Key]
	if !ok {
		st = &keyState{}
		s.keys[m.Key] = st
	}
	if st.logged && !s.outlived(st.at, at) {
		return
	}
	st.logged, st.writer, st.incarnation = true, m.Writer, m.Incarnation
	st.digest, st.at, st.result = m.Digest, at, None[KeyResult]()
	s.aging = append(s.aging, agingKey{key: m.Key, at: at})
	s.settle(n, m.Key, st)
}

// settle tells this node's own attempt who has won its key.
func (s *onceOnly) settle(n *Node, key IdempotencyKey, st *keyState) {
	switch {
	case st.mine(n) && st.run != nil:
		s.won(n, st.run)
	case st.mine(n):
		r := &keyRun{call: KeyCall{Key: key}, digest: st.digest, step: runAbandoned}
		st.run = r
		s.decide(n, r, KeyResult{Outcome: NotRun}, LogUnavailable)
	case st.run != nil:
		s.lost(n, st)
	}
}

// lost ends this node's attempt at a key that another one has won.
func (s *onceOnly) lost(n *Node, st *keyState) {
	r := st.run
	st.run = nil
	if r.pending() {
		s.open--
	}
	r.step = runAbandoned
	waiters := r.waiters
	r.waiters = nil
	for _, w := range waiters {
		s.join(n, st, w, r.digest)
	}
}

// foldResult takes in a result, which counts only from the key's writer.
func (s *onceOnly) foldResult(m KeyResult) {
	st, ok := s.keys[m.Key]
	if !ok || !st.logged || st.writer != m.Writer || st.incarnation != m.Incarnation {
		return
	}
	if _, decided := st.result.Get(); !decided {
		st.result = Some(m)
	}
}

// outlived reports whether a record of one time has left the log by another.
func (s *onceOnly) outlived(at, by int64) bool {
	return s.reader.retention > 0 && time.Duration(by-at) >= s.reader.retention
}

// expire drops the keys that the log no longer keeps. The horizon is a time of
// the log that all records still to be read have reached.
func (s *onceOnly) expire(horizon int64) {
	for len(s.aging) > 0 && s.outlived(s.aging[0].at, horizon) {
		old := s.aging[0]
		s.aging = s.aging[1:]
		st, ok := s.keys[old.key]
		if ok && st.at == old.at && (st.run == nil || st.run.step == runDecided) {
			delete(s.keys, old.key)
			s.sent.Remove(old.key)
		}
	}
}
