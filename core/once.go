package core

import "time"

const (
	// intentTimeout bounds the time from a call's arrival at the writer of its
	// key to its dispatch.
	intentTimeout = 2 * time.Second
	// answerMargin is how much longer than its writer the node that accepted a
	// call waits.
	answerMargin = 500 * time.Millisecond
	// callRetryAfter is when a caller may ask again about a call.
	callRetryAfter = time.Second
	// readOnFor is how long a node that is not a writer reads the keys after
	// it was taken for one.
	readOnFor = 30 * time.Second
	// plainTries bounds the dispatches of one call.
	plainTries = 2
	// retryBudget is how many retries a node may save up, and retryShare the
	// share of first attempts that it adds to them.
	retryBudget = 10.0
	retryShare  = 0.1
)

// onceOnly runs calls to plain services, and those that may not be repeated at
// most once.
//
// A call that may not be repeated goes to the writer of its key. The writer
// appends an intent to the log and dispatches the call only after it has read
// back that its intent is the first one of that key. Whoever else meets the
// intent in the log leaves the call alone, for ever. The result follows into
// the log, so that a repeated call gets the same answer.
//
// NotRun speaks of whatever ran under the key. It is said in three cases: the
// call was refused before its intent was sent to the log, and its caller said
// that it had never sent the key before; the writer won the key and then a
// result in the log makes it final that the key never runs; or the key was
// used for another call.
type onceOnly struct {
	reader logReader
	keys   map[IdempotencyKey]*keyState
	// aging holds the keys in the order of their intents.
	aging []agingKey
	batch keyBatch
	// sent holds the keys that this node dispatched and that may have run.
	sent Set[IdempotencyKey]
	// taken holds the calls that this node, as a writer, took lately.
	taken map[takenCall]struct{}
	// wantedAt is when this node was last asked to run a call under a key.
	wantedAt Instant
	// open is the number of keyed calls that are not decided yet.
	open int

	// forwarded are the calls whose key's writer is to answer.
	forwarded map[CallID]forward
	flights   map[Ticket]flight
	// load is the number of calls in flight at each upstream.
	load    map[EngineID]int
	budget  float64
	plain   []Upstream
	plainAt Instant
}

func (s *onceOnly) start(n *Node) {
	s.reader.stream = KeyStream
	s.keys = map[IdempotencyKey]*keyState{}
	s.sent = Set[IdempotencyKey]{}
	s.taken = map[takenCall]struct{}{}
	s.forwarded = map[CallID]forward{}
	s.flights = map[Ticket]flight{}
	s.load = map[EngineID]int{}
	s.budget = retryBudget
	s.reader.poll(n)
	n.every(n.Settings.LogReadEvery, func(n *Node) { s.tail(n) })
}

// tail reads on while this node writes intents or waits for any.
func (s *onceOnly) tail(n *Node) {
	wanted := s.wantedAt != 0 && n.now.Sub(s.wantedAt) < readOnFor
	if s.open > 0 || wanted || s.writes(n) {
		s.reader.poll(n)
		return
	}
	s.reader.caughtUp = false
}

// writes reports whether this node is one of the region's writers.
func (s *onceOnly) writes(n *Node) bool {
	for _, id := range n.members.keyWriters(n) {
		if id == n.Self.ID {
			return true
		}
	}
	return false
}

// call takes in a caller's call.
func (s *onceOnly) call(n *Node, m CallerCall) {
	profile, known := n.config.profile(m.Profile)
	switch {
	case n.leaving:
		refuseKeyed(n, m, Leaving, leavingRetryAfter)
	case !n.config.fresh(n):
		refuseKeyed(n, m, StaleConfiguration, leavingRetryAfter)
	case !known || profile.Kind != Service:
		refuseKeyed(n, m, UnknownProfile, 0)
	case profile.Repeatable:
		s.dispatchPlain(n, &plainCall{call: m.Call, profile: m.Profile, customer: m.Customer, body: m.Body})
	case m.Key == "":
		refuseCall(n, m.Call, KeyMissing, 0)
	default:
		s.forward(n, m)
	}
}

// refuseKeyed answers a call that may have a key, without having asked the
// key's writer. An earlier call under the key may have run, unless the caller
// says that there was none.
func refuseKeyed(n *Node, m CallerCall, reason RefusalReason, after time.Duration) {
	n.do(AnswerCall{
		Call: m.Call, Outcome: unsent(m.Key == "" || m.First), Reason: reason, RetryAfter: n.spread(after),
	})
}

// unsent returns what is certain of a call whose intent was not sent to the
// log: the call did not run, but an earlier one under its key may have.
func unsent(first bool) Outcome {
	if first {
		return NotRun
	}
	return Unknown
}

// refuseCall answers a call that was not sent anywhere.
func refuseCall(n *Node, call CallID, reason RefusalReason, after time.Duration) {
	n.do(AnswerCall{Call: call, Outcome: NotRun, Reason: reason, RetryAfter: n.spread(after)})
}

// busy reports whether calls are in progress, for a graceful shutdown.
func (s *onceOnly) busy() bool {
	unsaved := len(s.batch.results) > 0 && s.reader.reachable
	return s.running() > 0 || s.open > 0 || unsaved
}

// running returns the number of callers' calls in progress at this node.
func (s *onceOnly) running() int {
	count := len(s.forwarded)
	for _, f := range s.flights {
		if f.plain != nil {
			count++
		}
	}
	return count
}
