package core

import (
	"slices"
	"time"
)

const (
	// maxBatch bounds the records of one append.
	maxBatch = 256
	// appendRetryAfter is the delay between a failed append and the next one.
	appendRetryAfter = 500 * time.Millisecond
)

// keyBatch collects intents and results into batches, so that the rate of
// appends does not grow with the rate of calls. At most one append is in
// flight.
type keyBatch struct {
	intents []*keyRun
	results []KeyResult

	ticket   Ticket
	inFlight bool
	// sentIntents and sentResults are the records of the append in flight.
	sentIntents []*keyRun
	sentResults []KeyResult
	// notBefore is the earliest time of the next append, and lastFailed is set
	// if the last one failed.
	notBefore  Instant
	lastFailed bool
	timerSet   bool
}

// flush appends the collected records, provided that no append is in flight
// and the reader has caught up with the log. Before notBefore it only sets a
// timer for then.
func (s *serviceCalls) flush(n *Node) {
	b := &s.batch
	if b.inFlight || !s.reader.caughtUp || len(b.intents)+len(b.results) == 0 {
		return
	}
	if n.now < b.notBefore {
		s.flushLater(n)
		return
	}
	b.sentResults = popFront(&b.results, maxBatch)
	b.intents = slices.DeleteFunc(b.intents, func(r *keyRun) bool { return r.step != runQueued })
	b.sentIntents = popFront(&b.intents, maxBatch-len(b.sentResults))
	for _, r := range b.sentIntents {
		r.step = runAppending
	}
	s.append(n)
}

func (s *serviceCalls) flushLater(n *Node) {
	if s.batch.timerSet {
		return
	}
	s.batch.timerSet = true
	n.afterFunc(s.batch.notBefore.Sub(n.now), func(n *Node) {
		s.batch.timerSet = false
		s.flush(n)
	})
}

// append sends the records that flush has moved to sentIntents and
// sentResults.
func (s *serviceCalls) append(n *Node) {
	b := &s.batch
	var records []Record
	for _, result := range b.sentResults {
		records = append(records, result)
	}
	for _, r := range b.sentIntents {
		records = append(records, KeyIntent{
			Key: r.call.Key, Profile: r.call.Profile, Digest: r.digest,
			Writer: n.Self.ID, Incarnation: n.Incarnation,
		})
	}
	if len(records) == 0 {
		return
	}
	b.inFlight = true
	b.ticket = n.nextTicket()
	b.notBefore = n.now.Add(n.Settings.KeyBatchEvery)
	n.do(AppendLog{Ticket: b.ticket, Stream: KeyStream, Records: records})
}

// popFront removes up to count items from the front of a queue.
func popFront[T any](queue *[]T, count int) []T {
	count = min(count, len(*queue))
	taken := (*queue)[:count:count]
	*queue = (*queue)[count:]
	return taken
}

func (s *serviceCalls) appended(n *Node, m LogAppended) {
	b := &s.batch
	if !b.inFlight || m.Ticket != b.ticket {
		return
	}
	b.inFlight, b.lastFailed = false, false
	for _, r := range b.sentIntents {
		if r.step == runAppending {
			r.step = runLogged
		}
	}
	s.reader.poll(n)
	s.flush(n)
}

// appendFailed handles an append that got no confirmation. Unless the failure
// shows that nothing was appended, the intents may be in the log. Appending
// them again is harmless, because only the first intent of a key counts.
func (s *serviceCalls) appendFailed(n *Node, m LogAppendFailed) {
	b := &s.batch
	if !b.inFlight || m.Ticket != b.ticket {
		return
	}
	b.inFlight, b.lastFailed = false, true
	b.notBefore = n.now.Add(n.jitter(appendRetryAfter))
	b.results = append(b.sentResults, b.results...)
	for _, r := range b.sentIntents {
		if m.NotAppended {
			s.notAppended(n, r)
		} else {
			s.markMaybeLogged(r)
		}
	}
	s.reader.poll(n)
	s.flush(n)
}

// notAppended handles an intent whose append provably did not take effect. The
// call is rejected, unless an earlier append of the same intent may have taken
// effect.
func (s *serviceCalls) notAppended(n *Node, r *keyRun) {
	switch {
	case r.maybeLogged && r.step == runAppending:
		s.requeue(r)
	case r.maybeLogged:
	case r.step == runAppending:
		s.undecided--
		s.forget(r)
		answerWaiters(n, r, KeyAnswer{Outcome: outcomeWithoutIntent(r.call.First), Reason: LogUnavailable, RetryAfter: n.jitteredDelay(callRetryAfter)})
	case r.step == runAbandoned:
		s.forget(r)
	}
}

// markMaybeLogged notes that an intent may be in the log, and queues it again
// if its call is still wanted.
func (s *serviceCalls) markMaybeLogged(r *keyRun) {
	r.maybeLogged = true
	if r.step == runAppending {
		s.requeue(r)
	}
}

func (s *serviceCalls) requeue(r *keyRun) {
	r.step = runQueued
	s.batch.intents = append(s.batch.intents, r)
}
