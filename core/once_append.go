package core

import (
	"slices"
	"time"
)

const (
	// maxBatch bounds the records of one append.
	maxBatch = 256
	// appendRetryAfter is the time until the next append after a failed one.
	appendRetryAfter = 500 * time.Millisecond
)

// keyBatch collects intents and results, so that the log takes few appends
// however many calls there are. One append is in flight at most.
type keyBatch struct {
	intents []*keyRun
	results []KeyResult

	ticket   Ticket
	inFlight bool
	// sentIntents and sentResults are in the append under way.
	sentIntents []*keyRun
	sentResults []KeyResult
	// notBefore is the earliest time of the next append, and failed is set if
	// the last one failed.
	notBefore Instant
	failed    bool
	timerSet  bool
}

// flush appends what has been collected, once the log's records are known and
// the log may be troubled again.
func (s *onceOnly) flush(n *Node) {
	b := &s.batch
	if b.inFlight || !s.reader.caughtUp || len(b.intents)+len(b.results) == 0 {
		return
	}
	if n.now < b.notBefore {
		s.flushLater(n)
		return
	}
	b.sentResults = take(&b.results, maxBatch)
	b.intents = slices.DeleteFunc(b.intents, func(r *keyRun) bool { return r.step != runQueued })
	b.sentIntents = take(&b.intents, maxBatch-len(b.sentResults))
	for _, r := range b.sentIntents {
		r.step = runAppending
	}
	s.append(n)
}

func (s *onceOnly) flushLater(n *Node) {
	if s.batch.timerSet {
		return
	}
	s.batch.timerSet = true
	n.afterFunc(s.batch.notBefore.Sub(n.now), func(n *Node) {
		s.batch.timerSet = false
		s.flush(n)
	})
}

// append sends the records that flush has set aside.
func (s *onceOnly) append(n *Node) {
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

// take removes up to count items from the front of a queue.
func take[T any](queue *[]T, count int) []T {
	count = min(count, len(*queue))
	taken := (*queue)[:count:count]
	*queue = (*queue)[count:]
	return taken
}

func (s *onceOnly) appended(n *Node, m LogAppended) {
	b := &s.batch
	if !b.inFlight || m.Ticket != b.ticket {
		return
	}
	b.inFlight, b.failed = false, false
	for _, r := range b.sentIntents {
		if r.step == runAppending {
			r.step = runLogged
		}
	}
	s.reader.poll(n)
	s.flush(n)
}

// appendFailed takes in that an append got no confirmation. Unless the log is
// known not to have it, the intents count as appended until they are read
// back; appending them again does no harm, because the first one counts.
func (s *onceOnly) appendFailed(n *Node, m LogAppendFailed) {
	b := &s.batch
	if !b.inFlight || m.Ticket != b.ticket {
		return
	}
	b.inFlight, b.failed = false, true
	b.notBefore = n.now.Add(n.jitter(appendRetryAfter))
	b.results = append(b.sentResults, b.results...)
	for _, r := range b.sentIntents {
		if m.NotAppended {
			s.notAppended(n, r)
		} else {
			s.doubt(r)
		}
	}
	s.reader.poll(n)
	s.flush(n)
}

// notAppended refuses a call whose intent provably is not in the log.
func (s *onceOnly) notAppended(n *Node, r *keyRun) {
	switch {
	case r.doubtful && r.step == runAppending:
		s.requeue(r)
	case r.doubtful:
	case r.step == runAppending:
		s.open--
		s.forget(r)
		answerAll(n, r, KeyAnswer{Outcome: unsent(r.call.First), Reason: LogUnavailable, RetryAfter: n.spread(callRetryAfter)})
	case r.step == runAbandoned:
		s.forget(r)
	}
}

// doubt notes that an intent may be in the log.
func (s *onceOnly) doubt(r *keyRun) {
	r.doubtful = true
	if r.step == runAppending {
		s.requeue(r)
	}
}

func (s *onceOnly) requeue(r *keyRun) {
	r.step = runQueued
	s.batch.intents = append(s.batch.intents, r)
}
