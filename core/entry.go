package core

import (
	"cmp"
	"time"
)

// phase is how far an attempt has come.
type phase int

const (
	// waiting attempts have no placement yet.
	waiting phase = iota
	prefilling
	importing
	decoding
)

// serving is one request that this node is serving.
type serving struct {
	request    CallerRequest
	arrived    Instant
	allocation Allocation
	phase      phase
	placed     Placed
	// group is the group of engines asked, and owner the node asked for it.
	group GroupID
	owner NodeID
	asked Instant
	// watch numbers the latest watch over the placement.
	watch uint64
	// acknowledged is set when the owner said that it has queued the request.
	acknowledged bool
	// unreachable names owners that did not answer.
	unreachable Set[NodeID]
	// ownersLeft counts the owners that refused because they leave.
	ownersLeft int
	// crowded names groups that refused the request for lack of capacity.
	crowded Set[GroupID]
	avoid   []EngineID
	emitted Tokens
	// attempts counts placements that an engine failed.
	failures int
	// importTries counts imports refused for lack of memory.
	importTries int
	stepAt      Instant
	firstAt     Option[Instant]
	// source is the engine that a moving stream leaves, under the allocation
	// that it was placed with.
	source           EngineID
	sourceAllocation Allocation
	// sourceLost is set if that engine fails meanwhile.
	sourceLost bool
	// firstAttempt is the first attempt for the caller's present connection.
	firstAttempt Attempt
	// retrying is set once an attempt of this connection has been placed.
	retrying bool
}

// moving reports whether a running stream is on its way to another engine.
func (r *serving) moving() bool { return r.source != "" }

// entry serves the callers that are connected to this node.
type entry struct {
	serving  map[RequestID]*serving
	ending   map[Allocation]*ending
	answered map[RequestID]Instant
	// attempts remembers the latest attempt of each recent request, so that no
	// allocation is ever used twice.
	attempts map[RequestID]lastAttempt
	// pressure remembers each group's recent time to first token.
	pressure map[GroupID]time.Duration
}

// lastAttempt is the latest attempt of a request and when it was made.
type lastAttempt struct {
	attempt Attempt
	at      Instant
}

const (
	// attemptsFor is how long attempts are remembered; it is longer than
	// owners remember ended ones.
	attemptsFor = 2 * endedFor
	// answeredFor is how long the entry remembers whole answers.
	answeredFor = time.Minute
	// maxFailures bounds the placements of one request that engines may fail.
	maxFailures = 5
	// maxImportTries bounds repeated imports to an engine without memory.
	maxImportTries = 30
	// importRetryAfter is the time between such imports.
	importRetryAfter = 15 * time.Millisecond
	// leavingRetryAfter is how soon a caller may try another node when this
	// one takes no new work.
	leavingRetryAfter = 100 * time.Millisecond
)

func (s *entry) start(n *Node) {
	s.serving = make(map[RequestID]*serving)
	s.ending = make(map[Allocation]*ending)
	s.answered = make(map[RequestID]Instant)
	s.attempts = make(map[RequestID]lastAttempt)
	s.pressure = make(map[GroupID]time.Duration)
	n.every(answeredFor, func(n *Node) { n.entry.forgetAnswered(n) })
}

func (s *entry) forgetAnswered(n *Node) {
	for id, at := range s.answered {
		if n.now.Sub(at) > answeredFor {
			delete(s.answered, id)
		}
	}
	for id, last := range s.attempts {
		if _, running := s.serving[id]; !running && n.now.Sub(last.at) > attemptsFor {
			delete(s.attempts, id)
		}
	}
}

// refusesNew says why the node takes no new work, or NoReason if it does.
func (n *Node) refusesNew() RefusalReason {
	if n.leaving {
		return Leaving
	}
	if !n.config.fresh(n) || n.config.folded.Offset() == 0 {
		return StaleConfiguration
	}
	return NoReason
}

func (s *entry) request(n *Node, m CallerRequest) {
	if r, ok := s.serving[m.Request]; ok {
		s.reattach(n, r, m)
		return
	}
	if reason := n.refusesNew(); reason != NoReason {
		n.refuse(m, reason, leavingRetryAfter)
		return
	}
	profile, ok := n.config.profile(m.Profile)
	if !ok || profile.Kind != Generate {
		n.refuse(m, UnknownProfile, time.Minute)
		return
	}
	if _, done := s.answered[m.Request]; done && !m.Resumed {
		n.refuse(m, AlreadyAnswered, answeredFor)
		return
	}
	m.MaxTokens = cmp.Or(min(cmp.Or(m.MaxTokens, profile.MaxTokens), cmp.Or(profile.MaxTokens, m.MaxTokens)), defaultMaxTokens)
	r := &serving{
		request:     m,
		arrived:     n.now,
		emitted:     m.ResumeAfter,
		unreachable: SetOf[NodeID](),
		crowded:     SetOf[GroupID](),
	}
	s.serving[m.Request] = r
	s.nextAttempt(n, r)
	r.firstAttempt = r.allocation.Attempt
	s.place(n, r)
}

// defaultMaxTokens bounds an answer where neither profile nor caller does.
const defaultMaxTokens Tokens = 1024

// reattach gives a request to its caller's newest connection. A stream that
// runs goes on from the offset that the caller has reached.
func (s *entry) reattach(n *Node, r *serving, m CallerRequest) {
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

// refuse ends a request that never became one of this node's.
func (n *Node) refuse(m CallerRequest, reason RefusalReason, after time.Duration) {
	after = n.spread(after)
	n.do(RefuseCaller{Request: m.Request, Reason: reason, Outcome: NotRun, RetryAfter: after, Emitted: m.ResumeAfter})
	n.do(LogDecision{Decision: Decision{
		At: n.now, Node: n.Self.ID, Request: m.Request, Profile: m.Profile, Customer: m.Customer,
		Step: "refuse", Reason: reason, RetryAfter: after,
	}})
}

// spread returns a time to come back between d and twice d, so that callers
// refused together do not come back together.
func (n *Node) spread(d time.Duration) time.Duration {
	return d + time.Duration(n.rng.Float64()*float64(d))
}

// nextAttempt gives the request a new allocation.
func (s *entry) nextAttempt(n *Node, r *serving) {
	r.allocation = Allocation{
		Request:     r.request.Request,
		Attempt:     max(r.allocation.Attempt, s.attempts[r.request.Request].attempt) + 1,
		Holder:      n.Self.ID,
		Incarnation: n.Incarnation,
	}
	r.importTries = 0
	s.noteAttempt(n, r)
}

func (s *entry) noteAttempt(n *Node, r *serving) {
	s.attempts[r.request.Request] = lastAttempt{attempt: r.allocation.Attempt, at: n.now}
}

// current returns the request that an allocation serves now.
func (s *entry) current(a Allocation) (*serving, bool) {
	r, ok := s.serving[a.Request]
	if !ok || r.allocation != a {
		return nil, false
	}
	return r, true
}

func (s *entry) gone(n *Node, m CallerGone) {
	r, ok := s.serving[m.Request]
	if !ok {
		return
	}
	s.end(n, r, Cancelled, "", 0)
	delete(s.serving, m.Request)
}

// giveUp ends a request with its final answer, at once.
func (s *entry) giveUp(n *Node, r *serving, reason RefusalReason, after time.Duration) {
	delete(s.serving, r.request.Request)
	outcome := NotRun
	if _, begun := r.firstAt.Get(); begun || r.emitted > 0 {
		outcome = Unknown
	}
	n.do(RefuseCaller{
		Request: r.request.Request, Reason: reason, Outcome: outcome, RetryAfter: after, Emitted: r.emitted,
	})
	n.do(LogDecision{Decision: s.decision(n, r, "refuse", reason, after)})
}

func (s *entry) decision(n *Node, r *serving, step string, reason RefusalReason, after time.Duration) Decision {
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
