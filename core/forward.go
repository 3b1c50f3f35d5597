package core

import (
	"slices"
	"time"
)

// forwardPhase is how far a forwarded request has come.
type forwardPhase int

const (
	// forwardWaiting requests wait for decode memory.
	forwardWaiting forwardPhase = iota
	// forwardAsking requests wait for the owner of the engines.
	forwardAsking
	// forwardLeasing requests have asked an engine for memory.
	forwardLeasing
	// forwardReading requests have their prompt read.
	forwardReading
	// forwardRunning requests were sent to an upstream that runs them.
	forwardRunning
	// forwardAnswering requests have sent their caller a part of the answer.
	forwardAnswering
)

// forwarded is a request in progress.
type forwarded struct {
	Forward
	queueEntry
	route    Route
	spec     ServiceSpec
	deadline Instant
	phase    forwardPhase
	// step counts the steps taken, so that timers know whether theirs is over.
	step int

	// group and owner are set while an owner has the request in its books;
	// acked once it answered, and advised is the prefill engine that it chose.
	group   DispatchGroup
	owner   NodeID
	acked   bool
	outcome RunOutcome
	output  Tokens
	advised EngineID

	decode   *upstream
	lease    LeaseID
	reserved Tokens
	prefill  *upstream
	handle   HandleID
	placedAt Instant

	// runs counts the upstreams that may have run the request, and sends all
	// that were asked to, also those that refused.
	runs  int
	sends int
	reads int
	tried Set[EngineID]
	// failure is set while the runtime keeps an upstream's failure answer.
	failure bool
	emitted bool
}

// forwards serves opaque requests by the desired state.
type forwards struct {
	state     DesiredState
	known     bool
	routes    routeTable
	upstreams upstreams
	live      map[ForwardID]*forwarded
	queue     []*forwarded
	budgets   map[ServiceID]*repeatBudget
	grants    grants
	// pipelines holds each service's usual time from a placement to the first
	// bytes of the answer.
	pipelines map[ServiceID]*spread
	// pumpDue is set while a later look at the queue is scheduled, inPump while
	// one goes on.
	pumpDue bool
	inPump  bool
	// outputs predict the output of each service's requests, as far as this node
	// saw them itself.
	outputs map[ServiceID]*outputModel
	// muted holds until when owners that did not answer are not asked.
	muted map[NodeID]Instant
	// announced is set once the node was ready. askedAt and listAskedAt are when
	// a peer was last asked for the desired state, and for the upstreams.
	announced   bool
	askedAt     Instant
	listAskedAt Instant
}

func (s *forwards) start() {
	s.live = map[ForwardID]*forwarded{}
	s.outputs = map[ServiceID]*outputModel{}
	s.muted = map[NodeID]Instant{}
	s.budgets = map[ServiceID]*repeatBudget{}
	s.pipelines = map[ServiceID]*spread{}
}

// desired takes in a desired state. A node never goes back to an older one.
func (s *forwards) desired(n *Node, d DesiredState) {
	if s.known && d.Version <= s.state.Version {
		return
	}
	s.state, s.known = d, true
	s.routes = newRouteTable(d.Routes)
	s.announceReady(n)
	n.do(LogDecision{Decision: Decision{
		At: n.now, Node: n.Self.ID, Step: "desired", Version: d.Version, Tokens: Tokens(len(d.Routes)),
	}})
}

// instances takes in the list of upstreams, and looks whether it has room for
// requests that wait.
func (s *forwards) instances(n *Node, list InstanceList) {
	before := len(s.upstreams.byID)
	s.upstreams.take(list)
	n.roles.listed(n)
	s.announceReady(n)
	if before != len(list.Instances) {
		n.do(LogDecision{Decision: Decision{At: n.now, Node: n.Self.ID, Step: "upstreams", Tokens: Tokens(len(list.Instances))}})
	}
	s.pump(n)
}

// request takes in a caller's request.
func (s *forwards) request(n *Node, m Forward) {
	f := &forwarded{Forward: m, tried: Set[EngineID]{}}
	f.arrived = n.now
	s.live[m.ID] = f
	if !s.known {
		s.refuse(n, f, StaleConfiguration, comeBack(f.Patience, n.rng.Float64()))
		return
	}
	route, ok := s.routes.find(m.Host, m.Path)
	if !ok {
		s.refuse(n, f, NoRoute, 0)
		return
	}
	service := route.pick(n.rng.Float64())
	spec, ok := s.state.Services[service]
	if !ok {
		spec = ServiceSpec{ID: service}
	}
	f.route, f.spec = route, spec
	if n.outlivesNode(min(f.Patience, route.Timeout)) {
		s.refuse(n, f, Leaving, comeBack(f.Patience, n.rng.Float64()))
		return
	}
	s.schedule(n, f)
	s.budget(service).arrived(n.now, n.Settings.Retries.Window)
	s.ask(n, f)
}

// schedule works out until when the request can be on time and until when its
// caller waits.
func (s *forwards) schedule(n *Node, f *forwarded) {
	patience := min(f.Patience, f.route.Timeout)
	f.deadline = n.now.Add(patience)
	f.queueEntry = queueEntry{
		rank:      f.route.Rank,
		arrived:   n.now,
		onTimeBy:  n.now.Add(f.route.Objective - s.pipelineOf(f)),
		goneBy:    f.deadline,
		objective: f.route.Objective,
	}
	n.afterFunc(patience, func(n *Node) { s.expire(n, f) })
}

// pipelineOf returns the time from a placement to the first bytes of the answer
// that most requests keep to.
func (s *forwards) pipelineOf(f *forwarded) time.Duration {
	if p, ok := s.pipelines[f.spec.ID]; ok {
		return p.most()
	}
	return share(f.route.Objective, pipelineGuess)
}

// expire ends a request whose time is over. A stream that has begun goes on:
// its caller is not kept waiting any more.
func (s *forwards) expire(n *Node, f *forwarded) {
	if s.live[f.ID] != f || f.phase == forwardAnswering {
		return
	}
	s.end(n, f, DeadlinePassed, 0)
}

func (s *forwards) budget(id ServiceID) *repeatBudget { return made(s.budgets, id) }

// mayRepeat takes extra arrivals from the budget.
func (s *forwards) mayRepeat(n *Node, f *forwarded, arrivals int) bool {
	return s.budget(f.spec.ID).take(n.now, arrivals, n.Settings.Retries, n.members.widest)
}

// mayRunAgain reports whether the request may be sent to one more upstream
// after one that may have run it.
func (s *forwards) mayRunAgain(f *forwarded) bool {
	switch f.route.Repeat {
	case Repeatable, ResumeOnly:
		return f.runs < f.route.MaxRuns
	default:
		return f.runs == 0
	}
}

// gone takes in that the caller left.
func (s *forwards) gone(n *Node, m ForwardGone) {
	f, ok := s.live[m.ID]
	if !ok {
		return
	}
	s.decide(n, f, "gone", NoReason)
	s.close(n, f)
}

// refuse ends a request that no upstream has run, with a time to come back.
func (s *forwards) refuse(n *Node, f *forwarded, reason RefusalReason, after time.Duration) {
	s.decide(n, f, "refuse", reason)
	n.do(EndForward{ID: f.ID, Reason: reason, NotRun: true, RetryAfter: after})
	s.close(n, f)
}

// end ends a request without a whole answer: as refused if it has provably not
// run, with the upstream's own failure if there is one, else as failed.
func (s *forwards) end(n *Node, f *forwarded, reason RefusalReason, after time.Duration) {
	switch {
	case f.runs == 0 && !f.emitted:
		if after == 0 {
			after = comeBack(f.deadline.Sub(n.now), n.rng.Float64())
		}
		s.refuse(n, f, reason, after)
		return
	case f.failure && !f.emitted:
		s.decide(n, f, "relay-failure", reason)
		n.do(RelayFailure{ID: f.ID})
	default:
		s.decide(n, f, "fail", reason)
		n.do(EndForward{ID: f.ID, Reason: reason})
	}
	s.close(n, f)
}

// answering takes in that the caller got the first bytes of its answer.
func (s *forwards) answering(n *Node, m ForwardAnswering) {
	f, ok := s.live[m.ID]
	if !ok || f.phase != forwardRunning {
		return
	}
	f.phase = forwardAnswering
	f.emitted = true
	f.outcome = RunSucceeded
	if f.decode != nil {
		f.decode.succeeded()
	}
	if f.placedAt != 0 {
		made(s.pipelines, f.spec.ID).add(n.now.Sub(f.placedAt))
	}
}

// ended takes in that the caller got its whole answer.
func (s *forwards) ended(n *Node, m ForwardEnded) {
	f, ok := s.live[m.ID]
	if !ok {
		return
	}
	if f.decode != nil {
		f.decode.succeeded()
	}
	d := s.decision(n, f, "answered", NoReason)
	if engine, ok := f.spec.Engine.Get(); ok {
		d.Expected = f.expectedOutput()
		d.Output = Tokens(m.Events) * engine.EventTokens
		f.output = d.Output
		s.outputsOf(f).note(f.expectedOutput(), d.Output)
	}
	n.do(LogDecision{Decision: d})
	s.close(n, f)
}

// close forgets a request and gives back what it holds at upstreams.
func (s *forwards) close(n *Node, f *forwarded) {
	delete(s.live, f.ID)
	s.unqueue(f)
	s.release(n, f)
	s.pump(n)
}

// release gives back what the request holds at upstreams.
func (s *forwards) release(n *Node, f *forwarded) {
	f.step++
	if f.lease != "" {
		n.do(DropLease{Engine: f.decode.ID, Address: f.decode.Address, Lease: f.lease})
	}
	if f.handle != "" {
		n.do(FreeHandle{Engine: f.prefill.ID, Address: f.prefill.Address, Handle: f.handle})
	}
	s.leavePrefill(f)
	s.leaveDecode(f)
	s.leaveOwner(n, f)
}

func (s *forwards) leavePrefill(f *forwarded) {
	if f.prefill != nil {
		f.prefill.requests--
		f.prefill.reading -= f.prompt()
	}
	f.prefill, f.handle = nil, ""
}

func (s *forwards) leaveDecode(f *forwarded) {
	if f.decode != nil {
		f.decode.requests--
		f.decode.tokens -= f.reserved
		f.decode.fullUntil = 0
	}
	f.decode, f.lease, f.reserved = nil, "", 0
}

func (s *forwards) unqueue(f *forwarded) {
	if i := slices.Index(s.queue, f); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
	}
}

// prompt returns the length of the request's prompt.
func (f *forwarded) prompt() Tokens {
	g, _ := f.Generation.Get()
	return g.Prompt
}

// waited returns the time since the request came.
func (f *forwarded) waited(now Instant) time.Duration { return now.Sub(f.arrived) }

// patienceLeft returns how long an upstream may work on the request.
func (f *forwarded) patienceLeft(now Instant) time.Duration { return f.deadline.Sub(now) }

// decide logs one decision on a request.
func (s *forwards) decide(n *Node, f *forwarded, step string, reason RefusalReason) {
	n.do(LogDecision{Decision: s.decision(n, f, step, reason)})
}

// decision returns the record of a decision on a request.
func (s *forwards) decision(n *Node, f *forwarded, step string, reason RefusalReason) Decision {
	d := Decision{
		At: n.now, Node: n.Self.ID, Request: RequestID(f.Attempt), Attempt: Attempt(f.sends),
		Profile: ProfileID(f.route.ID), Step: step, Reason: reason, Waited: f.waited(n.now),
		Version: s.state.Version, Tokens: f.reserved, Slack: f.onTimeBy.Sub(f.arrived),
	}
	if f.prefill != nil {
		d.Prefill = f.prefill.ID
	}
	if f.decode != nil {
		d.Decode = f.decode.ID
	}
	return d
}
