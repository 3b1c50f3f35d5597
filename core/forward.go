package core

import (
	"slices"
	"time"
)

// lateAnswerTime is how long an answer that has begun may go on after the time for which
// its caller waits.
const lateAnswerTime = time.Second

// forwardPhase is the stage of processing that a forwarded request has reached.
type forwardPhase int

const (
	// forwardWaiting requests are in this node's queue until a decode engine
	// has memory.
	forwardWaiting forwardPhase = iota
	// forwardAwaitingOwner requests wait for the owner of the engine group to
	// place or reject them.
	forwardAwaitingOwner
	// forwardAwaitingVersion requests wait for nodes that may know which version began the
	// stream that their caller resumes.
	forwardAwaitingVersion
	// forwardAwaitingPath requests wait before they are placed again, because no connection to
	// the chosen upstream could be opened.
	forwardAwaitingPath
	// forwardAwaitingUsage requests wait for a share of the usage cap of their tenant, to be placed by
	// this node.
	forwardAwaitingUsage
	// forwardLeasing requests wait for an engine to answer a lease request.
	forwardLeasing
	// forwardPrefilling requests wait for a prefill engine to compute the
	// prompt's KV cache.
	forwardPrefilling
	// forwardVerifying requests wait until it is known which incarnation of their upstream is at
	// the other end of a held connection.
	forwardVerifying
	// forwardRunning requests were sent to an upstream that runs them.
	forwardRunning
	// forwardResponding requests have sent part of the answer to their caller.
	forwardResponding
)

// forwardedRequest is a request in progress, with its placement and the
// resources that it holds.
type forwardedRequest struct {
	Forward
	queueEntry
	route Route
	spec  ServiceSpec
	// tenant is the tenant of the caller's key; empty if there is none. tenantRank is the rank of the
	// tenant. hidesKey is set if the state by which the request was admitted has tenants, and
	// keyProblem tells the log why the check of the key has rejected the request.
	tenant     TenantID
	tenantRank Option[int]
	hidesKey   bool
	keyProblem string
	deadline   Instant
	phase      forwardPhase
	// step counts the steps taken. A timer does nothing if step has changed
	// since the timer was set. timers are those of the request that may not have fired.
	step   int
	timers []*timer

	// group and owner are set while an owner has the request in its allocation
	// table. ownerAcked is set once the owner has confirmed that the request is
	// queued, and advisedPrefill is the prefill engine that the owner chose.
	group DispatchGroup
	owner NodeID
	// placement is the id of the request's present placement towards owners.
	placement  ForwardID
	ownerAcked bool
	// asked is the request for a placement that an owner has not answered yet.
	asked ownerAsk
	// placedAlone says that this node placed the request by itself and has reported that to owner.
	placedAlone bool
	// placer is the owner that chose the upstream of the latest run; empty if this node did.
	placer         NodeID
	outcome        RunOutcome
	output         Tokens
	advisedPrefill EngineID
	// charged is set once the request is charged to the usage cap of its tenant, by this node or an
	// owner, and notRun once it has ended and provably no upstream has run it.
	charged, notRun bool
	// prefillAtDecode says that the owner wants the decode engine to prefill the prompt.
	prefillAtDecode bool

	// version is the version that the request's stream is bound to, once it has begun or if its
	// caller resumes it. lookup is the search for it, keepers are the other nodes that were
	// notified of it and may keep it still, reported are all that were notified, and logged is
	// set once it was sent to be appended to the store.
	version  Option[SoftwareVersion]
	lookup   *versionLookup
	keepers  Set[NodeID]
	reported Set[NodeID]
	logged   bool
	// origin is the upstream that began the stream; nil if none did for this node, or if it is
	// verified that the stream is of its listed version.
	origin *streamOrigin
	// hold is the connection that the upstream of a stream which has begun is to be reached on;
	// nil if there is none. holds counts those of the request.
	hold  *heldConnection
	holds HoldNumber

	decode *upstream
	lease  LeaseID
	// leasedUntil is when the lease expires at its engine.
	leasedUntil Instant
	reserved    Tokens
	prefill     *upstream
	handle      HandleID
	placedAt    Instant

	// sends counts the upstreams that the request was sent to, including those that
	// rejected it, and prefills the prefill engines that were asked to compute its
	// prompt. tried are the upstreams to avoid.
	sends    int
	prefills int
	// pathRetries counts how often the request was placed again for a failure of this node's
	// own path, and overdue is the step that had no answer in time.
	pathRetries int
	overdue     int
	tried       Set[EngineID]
	// lastSend is the number of the latest send, and current the one whose result the
	// request waits for; zero if it waits for none. runRecords are the runs among the
	// sends. sentTo are the upstreams that the request was sent to, for a prefill or a run.
	lastSend   SendNumber
	current    SendNumber
	runRecords []runRecord
	sentTo     Set[EngineID]
	// silent is the run that goes on while the request is placed a second time; nil if
	// there is none. The fields from phase to placedAt, and current, describe the second
	// placement then.
	silent *silentRun
	// goneOn counts the reports that a run has begun to answer or goes on.
	goneOn int
	// hasFailureAnswer is set while the runtime keeps an upstream's own failure
	// answer, which can be relayed to the caller.
	hasFailureAnswer bool
	// emitted is set once part of the answer has gone to the caller, and startedAt is when
	// the latest run began to answer.
	emitted   bool
	startedAt Instant
}

// forwards routes, places and tracks opaque requests according to the desired
// state.
type forwards struct {
	state         DesiredState
	stateKnown    bool
	routes        routeTable
	tenants       tenantTable
	keyChecks     KeyChecks
	upstreams     upstreams
	live          map[ForwardID]*forwardedRequest
	queue         []*forwardedRequest
	budgets       map[ServiceID]*retryBudgetShare
	placementRate placementRate
	// firstByteTimes holds each service's usual time from a placement to the
	// first bytes of the answer.
	firstByteTimes map[ServiceID]*durationStats
	// placeScheduled is set while a timer is pending that processes the queue
	// again. placing is set while the queue is being processed, so that a
	// request which ends meanwhile does not start it again.
	placeScheduled bool
	placing        bool
	// outputModels predict the output of each service's requests from the
	// answers that this node has seen itself.
	outputModels map[ServiceID]*outputModel
	// unresponsiveUntil holds, for owners that did not answer in time, until
	// when no placement is requested from them.
	unresponsiveUntil map[NodeID]Instant
	// ownerDelays is how long owners take to answer.
	ownerDelays ownerDelays
	// ranked are the services whose routes have different ranks, and weights are those of tenants.
	ranked  Set[ServiceID]
	weights tenantWeights
	// readyAnnounced is set while the node is announced to be ready, and everReady once it
	// has been.
	// listQueriedAt is when a peer was last queried for the list of upstreams.
	readyAnnounced bool
	everReady      bool
	listQueriedAt  Instant
	// lag tracks the later versions of the desired state that peers have, and spread gets
	// them and notifies peers of new ones.
	lag    stateLag
	spread stateSpread
	// proof is the latest proof that no later version existed.
	proof stateProof
	// versions knows which versions have begun streams.
	versions streamVersions
	// suspects tells which requests end upstreams.
	suspects suspectList
	// lastCrash is the latest end of an upstream that counts, and lastCrashAt when it was seen.
	// Others that end at the same moment have a cause in common, such as connections that are
	// reset.
	lastCrash   EngineCrash
	lastCrashAt Instant
}

func (s *forwards) start() {
	s.live = map[ForwardID]*forwardedRequest{}
	s.outputModels = map[ServiceID]*outputModel{}
	s.unresponsiveUntil = map[NodeID]Instant{}
	s.ownerDelays = ownerDelays{}
	s.upstreams.signals = map[EngineID]*upstreamSignals{}
	s.budgets = map[ServiceID]*retryBudgetShare{}
	s.firstByteTimes = map[ServiceID]*durationStats{}
	s.versions.start()
}

// applyDesiredState applies a desired state, unless the node has the same or a
// newer version already.
func (s *forwards) applyDesiredState(n *Node, d DesiredState) {
	if d.Source == StateFromStore {
		s.spread.storeAt, s.spread.receiving = n.now, false
	}
	if s.stateKnown && d.Version <= s.state.Version {
		return
	}
	lag := s.lag.apply(n.now, d.Version)
	s.state, s.stateKnown = d, true
	s.routes, s.tenants = newRouteTable(d.Routes), newTenantTable(d.Tenants)
	s.ranked, s.weights = rankedServices(d.Routes), newTenantWeights(d.Tenants)
	n.usage.configure(n)
	n.do(LimitCallers{d.Limits})
	s.updateReady(n)
	n.do(LogDecision{Decision: Decision{
		At: n.now, Node: n.Self.ID, Step: "desired", Version: d.Version, Tokens: Tokens(len(d.Routes)),
		Detail: d.Source.String(), Waited: lag,
	}})
	s.logTenants(n)
	s.spread.notify(n)
	s.spread.answerParked(n)
}

// applyInstances applies a new list of upstreams, and then processes the queue,
// because the list may bring room for waiting requests.
func (s *forwards) applyInstances(n *Node, list InstanceList) {
	before := len(s.upstreams.byID)
	s.upstreams.replaceAll(list, &n.feed)
	s.checkOrigins(n)
	if s.versions.observeList(n, s.upstreams.byID) {
		s.versionsChanged(n)
	}
	s.endStreamsOfGoneVersions(n)
	n.roles.forgetCompleted(n)
	s.updateReady(n)
	if before != len(list.Instances) {
		n.do(LogDecision{Decision: Decision{At: n.now, Node: n.Self.ID, Step: "upstreams", Tokens: Tokens(len(list.Instances))}})
	}
	s.placeWaiting(n)
}

// handleRequest handles a caller's request: it finds the route, the tenant and the service, and
// requests a placement or rejects the request.
func (s *forwards) handleRequest(n *Node, m Forward) {
	f := &forwardedRequest{Forward: m, placement: m.ID, tried: Set[EngineID]{}, sentTo: Set[EngineID]{}}
	f.arrived = n.now
	s.live[m.ID] = f
	if !s.servesState(n) {
		s.reject(n, f, StaleConfiguration, retryAfter(f.Patience, n.rng.Float64()))
		return
	}
	route, ok := s.routes.find(m.Host, m.Path)
	if !ok && !s.knowsLatest(n) {
		// A later version may have the route.
		s.reject(n, f, StaleConfiguration, retryAfter(f.Patience, n.rng.Float64()))
		return
	}
	if !ok {
		s.reject(n, f, NoRoute, 0)
		return
	}
	f.route = route
	if !s.checkKey(n, f) {
		return
	}
	service := route.pick(n.rng.Float64())
	f.spec = s.specOf(service)
	if n.mayOutliveNode(min(f.Patience, route.Timeout)) {
		s.reject(n, f, Leaving, retryAfter(f.Patience, n.rng.Float64()))
		return
	}
	s.setDeadlines(n, f)
	s.budget(service).addRequest(n.now, n.Settings.Retries.Window)
	if s.rejectIfBlocked(n, f) || s.rejectIfHeldBack(n, f) {
		return
	}
	if attempt, resumes := f.Resumes.Get(); resumes && route.RetryPolicy == ResumeOnly {
		f.rank--
		s.resume(n, f, attempt)
		return
	}
	s.requestPlacement(n, f)
}

func (s *forwards) specOf(id ServiceID) ServiceSpec {
	if spec, ok := s.state.Services[id]; ok {
		return spec
	}
	return ServiceSpec{ID: id}
}

// setDeadlines computes until when the request can be placed and still be on
// time, and until when its caller waits. It sets the timer for the latter.
func (s *forwards) setDeadlines(n *Node, f *forwardedRequest) {
	patience := min(f.Patience, f.route.Timeout)
	f.deadline = n.now.Add(patience)
	f.queueEntry = queueEntry{
		rank:           s.ownRank(f),
		arrived:        n.now,
		latestOnTime:   n.now.Add(f.route.Objective - s.usualFirstByteTime(f)),
		callerDeadline: f.deadline,
		objective:      f.route.Objective,
	}
	s.whileLive(n, f, patience, func(n *Node) { s.expire(n, f) })
}

// usualFirstByteTime returns the time from a placement to the first bytes of
// the answer that most requests of the service do not exceed.
func (s *forwards) usualFirstByteTime(f *forwardedRequest) time.Duration {
	if p, ok := s.firstByteTimes[f.spec.ID]; ok {
		return p.upperEstimate()
	}
	return fractionOf(f.route.Objective, firstByteGuess)
}

// expire ends a request whose deadline has passed. An answer that has begun continues for
// as long as its caller may be reading it.
func (s *forwards) expire(n *Node, f *forwardedRequest) {
	if s.live[f.ID] != f {
		return
	}
	hasSilentRun := f.silent != nil && f.emitted
	if f.phase == forwardResponding || hasSilentRun {
		s.whileLive(n, f, max(f.Patience+lateAnswerTime-f.waited(n.now), 0), func(n *Node) { s.endOverdue(n, f) })
	}
	takingOver := hasSilentRun && f.phase == forwardRunning
	if f.phase == forwardResponding || takingOver {
		return
	}
	// A silent run is kept, but the search for another engine ends.
	s.end(n, f, DeadlinePassed, 0)
}

// endOverdue ends an answer that goes on although its caller no longer waits: it may have
// no end.
func (s *forwards) endOverdue(n *Node, f *forwardedRequest) {
	if s.live[f.ID] != f {
		return
	}
	if f.silent != nil {
		s.releaseSilentRun(n, f, RunUnknown)
	}
	s.end(n, f, DeadlinePassed, 0)
}

func (s *forwards) budget(id ServiceID) *retryBudgetShare { return getOrCreate(s.budgets, id) }

// spendRetryBudget takes extra arrivals from this node's share of the retry
// budget, and reports whether there was room for them.
func (s *forwards) spendRetryBudget(n *Node, f *forwardedRequest, arrivals int) bool {
	return s.budget(f.spec.ID).takeRetries(n.now, arrivals, n.Settings.Retries, n.members.maxNodes)
}

// mayRunAgain reports whether the request may be sent to one more upstream
// after one that may have run it.
func (s *forwards) mayRunAgain(f *forwardedRequest) bool {
	switch f.route.RetryPolicy {
	case Repeatable, ResumeOnly:
		return f.unprovenRuns() < f.route.MaxRuns
	default:
		return f.unprovenRuns() == 0
	}
}

// handleCallerDisconnected handles the report that a request's caller has disconnected.
func (s *forwards) handleCallerDisconnected(n *Node, m ForwardCallerDisconnected) {
	f, ok := s.live[m.ID]
	if !ok {
		return
	}
	s.checkNotClosedHere(n, f, m.ClosedHere)
	s.logDecision(n, f, "gone", NoReason)
	s.close(n, f)
}

// reject ends a request that no upstream has run, and names a time after which
// the caller may retry.
func (s *forwards) reject(n *Node, f *forwardedRequest, reason RejectionReason, after time.Duration) {
	s.checkNotRun(n, f)
	d := s.newDecision(n, f, "refuse", reason)
	d.Detail = f.describeProof() + f.keyProblem
	n.do(LogDecision{Decision: d})
	n.do(EndForward{ID: f.ID, Reason: reason, NotRun: true, RetryAfter: after})
	s.close(n, f)
}

// end ends a request without a whole answer. A request that has provably not
// run is rejected; any other gets the upstream's own failure answer if there is
// one, or else ends as failed. One with a silent run goes on with that run instead.
func (s *forwards) end(n *Node, f *forwardedRequest, reason RejectionReason, after time.Duration) {
	if s.keepSilentRun(n, f, reason) {
		return
	}
	switch {
	case f.unprovenRuns() == 0 && !f.emitted:
		if after == 0 {
			after = retryAfter(f.deadline.Sub(n.now), n.rng.Float64())
		}
		s.reject(n, f, reason, after)
		return
	case f.hasFailureAnswer && !f.emitted:
		s.logDecision(n, f, "relay-failure", reason)
		n.do(RelayFailure{ID: f.ID})
	default:
		s.logDecision(n, f, "fail", reason)
		n.do(EndForward{ID: f.ID, Reason: reason})
	}
	s.close(n, f)
}

// handleFirstBytes handles the report that the first bytes of the answer went to the
// caller.
func (s *forwards) handleFirstBytes(n *Node, m ForwardResponseStarted) {
	f, ok := s.live[m.ID]
	if !ok {
		return
	}
	f.emitted = true
	s.streamBegan(n, f, m.Send, m.OpenFor)
	s.observeAnswer(n, m.Engine, f.sentAt(m.Send))
	f.goneOn++
	s.endSilence(n, f, m.Send)
	if s.stale(n, f, RunStep, m.Engine, m.Send, "response started") || f.phase != forwardRunning {
		return
	}
	if f.silent != nil {
		s.replaceRun(n, f)
	}
	f.phase = forwardResponding
	f.startedAt = n.now
	s.watchSound(n, f)
	f.outcome = RunSucceeded
	if f.decode != nil {
		f.decode.recordSuccess()
	}
	if f.placedAt != 0 && !f.prefillAtDecode {
		getOrCreate(s.firstByteTimes, f.spec.ID).add(n.now.Sub(f.placedAt))
	}
}

// handleAnswered handles the report that the whole answer went to the caller.
func (s *forwards) handleAnswered(n *Node, m ForwardResponseCompleted) {
	f, ok := s.live[m.ID]
	if !ok {
		return
	}
	s.observeAnswer(n, m.Engine, f.sentAt(m.Send))
	s.endSilence(n, f, m.Send)
	if !s.stale(n, f, RunStep, m.Engine, m.Send, "response completed") && f.decode != nil {
		f.decode.recordSuccess()
		s.observeSoundAnswer(n, f)
	}
	d := s.newDecision(n, f, "answered", NoReason)
	if engine, ok := f.spec.Engine.Get(); ok {
		d.Expected = f.expectedOutput()
		d.Output = Tokens(m.Events) * engine.TokensPerEvent
		f.output = d.Output
		s.outputModelOf(f).observe(f.expectedOutput(), d.Output)
	}
	n.do(LogDecision{Decision: d})
	s.close(n, f)
}

// close removes a request and releases what it holds.
func (s *forwards) close(n *Node, f *forwardedRequest) {
	delete(s.live, f.ID)
	s.doubt(n, f)
	s.dequeue(f)
	s.endLookup(f)
	s.endCharge(n, f)
	s.release(n, f)
	if f.silent != nil {
		s.releaseSilentRun(n, f, RunUnknown)
	}
	s.stopTimers(n, f)
	s.placeWaiting(n)
}

// release releases what the request holds at engines, and notifies its owner. At an
// engine that asked for quiet, leases and handles expire by themselves. Timers that were
// set for earlier steps no longer apply.
func (s *forwards) release(n *Node, f *forwardedRequest) {
	f.step++
	f.giveUpSend()
	if f.lease != "" && !f.decode.quiet(n.now) {
		n.do(ReleaseLease{Engine: f.decode.ID, Address: f.decode.Address, Lease: f.lease})
	}
	if f.handle != "" && !f.prefill.quiet(n.now) {
		n.do(ReleaseHandle{Engine: f.prefill.ID, Address: f.prefill.Address, Handle: f.handle})
	}
	s.releasePrefill(f)
	s.releaseDecode(f)
	s.releaseAtOwner(n, f)
}

func (s *forwards) releasePrefill(f *forwardedRequest) {
	if f.prefill != nil {
		f.prefill.ownRequests--
		f.prefill.prefillTokens -= f.prompt()
	}
	f.prefill, f.handle = nil, ""
}

func (s *forwards) releaseDecode(f *forwardedRequest) {
	if f.decode != nil {
		f.decode.ownRequests--
		f.decode.reservedTokens -= f.reserved
		f.decode.fullUntil = 0
	}
	f.decode, f.lease, f.reserved = nil, "", 0
	// The answer about a connection that was being opened is not waited for any more.
	f.hold = nil
}

func (s *forwards) dequeue(f *forwardedRequest) {
	if i := slices.Index(s.queue, f); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
	}
}

// prompt returns the length of the request's prompt.
func (f *forwardedRequest) prompt() Tokens {
	g, _ := f.Generation.Get()
	return g.Prompt
}

// waited returns the time since the request arrived.
func (f *forwardedRequest) waited(now Instant) time.Duration { return now.Sub(f.arrived) }

// timeLeft returns the time until the request's deadline.
func (f *forwardedRequest) timeLeft(now Instant) time.Duration { return f.deadline.Sub(now) }

// logDecision logs a decision about a request.
func (s *forwards) logDecision(n *Node, f *forwardedRequest, step string, reason RejectionReason) {
	n.do(LogDecision{Decision: s.newDecision(n, f, step, reason)})
}

// logRun logs that a request is being sent to the upstream that is to run it.
func (s *forwards) logRun(n *Node, f *forwardedRequest) {
	d := s.newDecision(n, f, "run", NoReason)
	d.Detail = f.describeRun() + f.describePlacer()
	n.do(LogDecision{Decision: d})
}

// newDecision returns the record of a decision about a request.
func (s *forwards) newDecision(n *Node, f *forwardedRequest, step string, reason RejectionReason) Decision {
	d := Decision{
		At: n.now, Node: n.Self.ID, Request: RequestID(f.Attempt), Attempt: Attempt(f.sends),
		Profile: ProfileID(f.route.ID), Customer: CustomerID(f.tenant), Step: step, Reason: reason, Waited: f.waited(n.now),
		Version: s.state.Version, Tokens: f.reserved, Slack: f.latestOnTime.Sub(f.arrived), Rank: f.rank,
	}
	if f.prefill != nil {
		d.Prefill = f.prefill.ID
	}
	if f.decode != nil {
		d.Decode = f.decode.ID
	}
	return d
}
