package core

import (
	"cmp"
	"time"
)

// phase is the step that an attempt of a request has reached.
type phase int

const (
	// waiting attempts have no placement yet.
	waiting phase = iota
	prefilling
	importing
	decoding
)

// servedRequest is the state of one caller's request that this node serves.
type servedRequest struct {
	request    CallerRequest
	arrived    Instant
	allocation Allocation
	phase      phase
	placed     Placed
	// group is the group of engines chosen for the request, and owner the node
	// that places requests on it. askedAt is when owner was chosen.
	group   GroupID
	owner   NodeID
	askedAt Instant
	// placeTimeouts numbers the placement timeouts; only the latest one takes
	// effect.
	placeTimeouts uint64
	// acknowledged is set once the owner has confirmed that it queued the
	// request.
	acknowledged bool
	// unreachable names the owners that did not answer in time, or rejected the
	// request because they are shutting down.
	unreachable Set[NodeID]
	// leavingRejections counts the rejections by owners that are shutting down.
	leavingRejections int
	// fullGroups names the groups that rejected the request for lack of capacity.
	fullGroups Set[GroupID]
	// avoid names the engines that failed the request or that it moves off.
	avoid []EngineID
	// emitted is the number of output tokens that the caller already has.
	emitted Tokens
	// failures counts the attempts that failed.
	failures int
	// importTries counts the repetitions of the current attempt's import after
	// rejections for lack of memory.
	importTries int
	// stepBegan is when the current step began, and firstAt when the first token
	// was emitted.
	stepBegan Instant
	firstAt   Option[Instant]
	// source is the decode engine that a stream is being moved off, and
	// sourceAllocation its allocation there. source is empty if no move is
	// under way.
	source           EngineID
	sourceAllocation Allocation
	// sourceLost is set if the stream fails at source during the move.
	sourceLost bool
	// firstAttempt is the first attempt for the caller's current connection.
	firstAttempt Attempt
	// placedBefore is set once an attempt for this connection has been placed, so
	// that each later Place is a retry.
	placedBefore bool
}

// moving reports whether a running stream is being moved to another engine.
func (r *servedRequest) moving() bool { return r.source != "" }

// entry serves the callers that are connected to this node.
type entry struct {
	requests map[RequestID]*servedRequest
	// unacknowledgedEnds are the ended attempts whose owners have yet to acknowledge
	// the end.
	unacknowledgedEnds map[Allocation]*unacknowledgedEnd
	// answered is when each recent request received its complete answer.
	answered map[RequestID]Instant
	// attempts holds the latest attempt of each recent request, so that no
	// allocation is ever used twice.
	attempts map[RequestID]lastAttempt
	// meanFirstToken is an exponentially weighted average of the time to first
	// token that a group's owner predicts for the requests it places.
	meanFirstToken map[GroupID]time.Duration
}

// lastAttempt is the latest attempt of a request and when it was made.
type lastAttempt struct {
	attempt Attempt
	at      Instant
}

const (
	// attemptRetention is how long an entry remembers the latest attempt of a
	// request. It is longer than the endedRetention for which owners remember
	// ended attempts.
	attemptRetention = 2 * endedRetention
	// answeredRetention is how long an entry remembers that a request received its
	// complete answer.
	answeredRetention = time.Minute
	// maxFailures is the number of failed attempts after which a request is
	// rejected.
	maxFailures = 5
	// maxImportTries bounds the repetitions of an import that is rejected for
	// lack of memory.
	maxImportTries = 30
	// importRetryAfter is the delay before each repetition of an import.
	importRetryAfter = 15 * time.Millisecond
	// leavingRetryAfter is the delay after which a caller may retry at another
	// node when this one accepts no new requests.
	leavingRetryAfter = 100 * time.Millisecond
)

func (s *entry) start(n *Node) {
	s.requests = make(map[RequestID]*servedRequest)
	s.unacknowledgedEnds = make(map[Allocation]*unacknowledgedEnd)
	s.answered = make(map[RequestID]Instant)
	s.attempts = make(map[RequestID]lastAttempt)
	s.meanFirstToken = make(map[GroupID]time.Duration)
	n.every(answeredRetention, func(n *Node) { n.entry.expireRecords(n) })
}

func (s *entry) expireRecords(n *Node) {
	for id, at := range s.answered {
		if n.now.Sub(at) > answeredRetention {
			delete(s.answered, id)
		}
	}
	for id, last := range s.attempts {
		if _, running := s.requests[id]; !running && n.now.Sub(last.at) > attemptRetention {
			delete(s.attempts, id)
		}
	}
}

// rejectReason returns why the node rejects new requests, or NoReason if it
// accepts them.
func (n *Node) rejectReason() RejectionReason {
	if n.leaving {
		return Leaving
	}
	if !n.config.fresh(n) || n.config.folded.Offset() == 0 {
		return StaleConfiguration
	}
	return NoReason
}

func (s *entry) handleRequest(n *Node, m CallerRequest) {
	if r, ok := s.requests[m.Request]; ok {
		s.reattach(n, r, m)
		return
	}
	if reason := n.rejectReason(); reason != NoReason {
		n.reject(m, reason, leavingRetryAfter)
		return
	}
	profile, ok := n.config.profile(m.Profile)
	if !ok || profile.Kind != Generate {
		n.reject(m, UnknownProfile, time.Minute)
		return
	}
	if _, done := s.answered[m.Request]; done && !m.Resumed {
		n.reject(m, AlreadyAnswered, answeredRetention)
		return
	}
	m.MaxTokens = cmp.Or(min(cmp.Or(m.MaxTokens, profile.MaxTokens), cmp.Or(profile.MaxTokens, m.MaxTokens)), defaultMaxTokens)
	r := &servedRequest{
		request:     m,
		arrived:     n.now,
		emitted:     m.ResumeAfter,
		unreachable: SetOf[NodeID](),
		fullGroups:  SetOf[GroupID](),
	}
	s.requests[m.Request] = r
	s.nextAttempt(n, r)
	r.firstAttempt = r.allocation.Attempt
	s.place(n, r)
}

// defaultMaxTokens bounds an answer if neither the profile nor the caller does.
const defaultMaxTokens Tokens = 1024

// reattach continues a request on its caller's newest connection. A running
// stream resumes after the last token that the caller has.
func (s *entry) reattach(n *Node, r *servedRequest, m CallerRequest) {
	r.emitted = m.ResumeAfter
	r.request.Resumed = m.Resumed
	r.request.ResumeAfter = m.ResumeAfter
	engine, allocation := r.placed.Decode, r.allocation
	switch {
	case r.moving():
		engine, allocation = r.source, r.sourceAllocation
	case r.phase != decoding:
		return
	}
	n.do(StartDecode{
		Engine:     engine,
		Allocation: allocation,
		Emitted:    r.emitted,
		MaxTokens:  r.request.MaxTokens,
		Priority:   n.priority(r.request.Profile),
	})
}

func (n *Node) priority(id ProfileID) int {
	profile, _ := n.config.profile(id)
	return profile.Priority
}

// reject rejects a request before this node has begun to serve it.
func (n *Node) reject(m CallerRequest, reason RejectionReason, after time.Duration) {
	after = n.jitteredDelay(after)
	n.do(RejectRequest{Request: m.Request, Reason: reason, Outcome: NotRun, RetryAfter: after, Emitted: m.ResumeAfter})
	n.do(LogDecision{Decision: Decision{
		At: n.now, Node: n.Self.ID, Request: m.Request, Profile: m.Profile, Customer: m.Customer,
		Step: "refuse", Reason: reason, RetryAfter: after,
	}})
}

// jitteredDelay returns a random retry delay between d and twice d, so that callers
// rejected together do not retry at the same time.
func (n *Node) jitteredDelay(d time.Duration) time.Duration {
	return d + time.Duration(n.rng.Float64()*float64(d))
}

// nextAttempt gives the request a new allocation, with a higher attempt than
// all that this node has used for it.
func (s *entry) nextAttempt(n *Node, r *servedRequest) {
	r.allocation = Allocation{
		Request:     r.request.Request,
		Attempt:     max(r.allocation.Attempt, s.attempts[r.request.Request].attempt) + 1,
		Holder:      n.Self.ID,
		Incarnation: n.Incarnation,
	}
	r.importTries = 0
	s.recordAttempt(n, r)
}

func (s *entry) recordAttempt(n *Node, r *servedRequest) {
	s.attempts[r.request.Request] = lastAttempt{attempt: r.allocation.Attempt, at: n.now}
}

// current returns the request whose current allocation is a.
func (s *entry) current(a Allocation) (*servedRequest, bool) {
	r, ok := s.requests[a.Request]
	if !ok || r.allocation != a {
		return nil, false
	}
	return r, true
}

func (s *entry) handleCallerDisconnected(n *Node, m CallerDisconnected) {
	r, ok := s.requests[m.Request]
	if !ok {
		return
	}
	s.endAttempt(n, r, Cancelled, "", 0)
	delete(s.requests, m.Request)
}

// rejectServed stops serving a request and rejects it. The outcome is Unknown if
// tokens were emitted, and otherwise NotRun.
func (s *entry) rejectServed(n *Node, r *servedRequest, reason RejectionReason, after time.Duration) {
	delete(s.requests, r.request.Request)
	outcome := NotRun
	if _, begun := r.firstAt.Get(); begun || r.emitted > 0 {
		outcome = Unknown
	}
	n.do(RejectRequest{
		Request: r.request.Request, Reason: reason, Outcome: outcome, RetryAfter: after, Emitted: r.emitted,
	})
	n.do(LogDecision{Decision: s.decision(n, r, "refuse", reason, after)})
}

func (s *entry) decision(n *Node, r *servedRequest, step string, reason RejectionReason, after time.Duration) Decision {
	d := Decision{
		At: n.now, Node: n.Self.ID, Request: r.request.Request, Attempt: r.allocation.Attempt,
		Profile: r.request.Profile, Customer: r.request.Customer, Step: step, Reason: reason,
		Prefill: r.placed.Prefill, Decode: r.placed.Decode, Predicted: r.placed.FirstToken,
		RetryAfter: after, Waited: n.now.Sub(r.arrived),
	}
	if at, ok := r.firstAt.Get(); ok {
		d.Actual = at.Sub(r.arrived)
	}
	return d
}
