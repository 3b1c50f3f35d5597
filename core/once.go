package core

import "time"

const (
	// intentTimeout bounds the time from a call's arrival at the writer of its
	// key to its dispatch.
	intentTimeout = 2 * time.Second
	// answerMargin is how much longer than the key's writer the forwarding node
	// waits for a result.
	answerMargin = 500 * time.Millisecond
	// callRetryAfter is the delay after which a caller may retry a call that
	// was rejected or got no result.
	callRetryAfter = time.Second
	// keepReadingFor is how long a node that is not a key writer keeps reading
	// KeyStream after another node sent it a KeyCall.
	keepReadingFor = 30 * time.Second
	// maxDispatches bounds the dispatches of one call.
	maxDispatches = 2
	// retryBudget is the upper bound of the retries that a node may accumulate.
	// Each first attempt adds retryShare of a retry.
	retryBudget = 10.0
	retryShare  = 0.1
)

// serviceCalls runs the calls to plain services. Calls that are not repeatable run at
// most once.
//
// A call that is not repeatable is forwarded to the writer of its key. The
// writer appends an intent to the log and dispatches the call only after it
// has read back that its intent is the first one of that key. No other node
// that reads the intent ever dispatches the call. The result is appended to
// the log as well, so that a repeated call gets the same answer.
//
// NotRun means that nothing has run under the key, not only that this one
// message did not cause a run. A node answers NotRun in three cases:
//   - The call was rejected before its intent was sent to the log, and its
//     caller states that it has never sent the key before.
//   - The writer won the key and decided that the call never runs. It appends
//     that result to the log.
//   - The key was used for another call. Here NotRun applies to the rejected
//     call only.
type serviceCalls struct {
	reader logReader
	keys   map[IdempotencyKey]*keyState
	// expiring holds the keys of the intents read, in the order of the log.
	expiring []expiringKey
	batch    keyBatch
	// mayHaveRun holds the keys under which this node dispatched a call that
	// may have run.
	mayHaveRun Set[IdempotencyKey]
	// received holds the calls of the KeyCalls received within deduplicateFor.
	received map[receivedCall]struct{}
	// lastKeyCallAt is when this node last received a KeyCall.
	lastKeyCallAt Instant
	// undecided is the number of this node's keyed calls that have no result
	// yet and were not given up.
	undecided int

	// forwarded holds the calls that wait for an answer from their key's
	// writer.
	forwarded map[CallID]forwardedCall
	inFlight  map[Ticket]inFlightCall
	// load is the number of this node's calls in flight at each upstream.
	load map[EngineID]int
	// retriesLeft is how many retries the budget allows now.
	retriesLeft float64
	// plainServices caches the plain services of the VM list that was read at
	// plainServicesReadAt.
	plainServices       []Upstream
	plainServicesReadAt Instant
}

func (s *serviceCalls) start(n *Node) {
	s.reader.stream = KeyStream
	s.keys = map[IdempotencyKey]*keyState{}
	s.mayHaveRun = Set[IdempotencyKey]{}
	s.received = map[receivedCall]struct{}{}
	s.forwarded = map[CallID]forwardedCall{}
	s.inFlight = map[Ticket]inFlightCall{}
	s.load = map[EngineID]int{}
	s.retriesLeft = retryBudget
	s.reader.poll(n)
	n.every(n.Settings.LogReadEvery, func(n *Node) { s.pollIfNeeded(n) })
}

// pollIfNeeded reads KeyStream while this node is a key writer, has undecided
// calls or has recently received a KeyCall. Otherwise it stops reading, so
// that the reader no longer counts as caught up.
func (s *serviceCalls) pollIfNeeded(n *Node) {
	wanted := s.lastKeyCallAt != 0 && n.now.Sub(s.lastKeyCallAt) < keepReadingFor
	if s.undecided > 0 || wanted || s.isKeyWriter(n) {
		s.reader.poll(n)
		return
	}
	s.reader.caughtUp = false
}

// isKeyWriter reports whether this node is one of the region's key writers.
func (s *serviceCalls) isKeyWriter(n *Node) bool {
	for _, id := range n.members.keyWriters(n) {
		if id == n.Self.ID {
			return true
		}
	}
	return false
}

// handleCall handles a caller's call.
func (s *serviceCalls) handleCall(n *Node, m ServiceCall) {
	profile, known := n.config.profile(m.Profile)
	switch {
	case n.leaving:
		rejectKeyed(n, m, Leaving, leavingRetryAfter)
	case !n.config.fresh(n):
		rejectKeyed(n, m, StaleConfiguration, leavingRetryAfter)
	case !known || profile.Kind != Service:
		rejectKeyed(n, m, UnknownProfile, 0)
	case profile.Repeatable:
		s.dispatchPlain(n, &plainCall{call: m.Call, profile: m.Profile, customer: m.Customer, body: m.Body})
	case m.Key == "":
		rejectCall(n, m.Call, KeyMissing, 0)
	default:
		s.forward(n, m)
	}
}

// rejectKeyed rejects a call that may have a key and was not sent to the
// key's writer. The outcome is Unknown unless the call has no key or its caller
// states that it never sent the key before, because an earlier call under the
// key may have run.
func rejectKeyed(n *Node, m ServiceCall, reason RejectionReason, after time.Duration) {
	n.do(AnswerCall{
		Call: m.Call, Outcome: outcomeWithoutIntent(m.Key == "" || m.First), Reason: reason, RetryAfter: n.jitteredDelay(after),
	})
}

// outcomeWithoutIntent returns the outcome of a call whose intent was not sent
// to the log. The call itself did not run, but unless it is the first under
// its key an earlier one may have.
func outcomeWithoutIntent(first bool) Outcome {
	if first {
		return NotRun
	}
	return Unknown
}

// rejectCall rejects a call that was not sent to any other node or upstream.
func rejectCall(n *Node, call CallID, reason RejectionReason, after time.Duration) {
	n.do(AnswerCall{Call: call, Outcome: NotRun, Reason: reason, RetryAfter: n.jitteredDelay(after)})
}

// blocksShutdown reports whether a graceful shutdown has to wait for calls in progress
// or for results that can still be appended to the log.
func (s *serviceCalls) blocksShutdown() bool {
	unsaved := len(s.batch.results) > 0 && s.reader.reachable
	return s.running() > 0 || s.undecided > 0 || unsaved
}

// running returns the number of callers' calls in progress at this node.
func (s *serviceCalls) running() int {
	count := len(s.forwarded)
	for _, f := range s.inFlight {
		if f.plain != nil {
			count++
		}
	}
	return count
}
