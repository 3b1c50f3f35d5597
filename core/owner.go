package core

import "time"

// owner keeps the allocation tables of the engines that this node owns and
// places requests on them.
type owner struct {
	upstreams        map[EngineID]Upstream
	groups           map[GroupID]*group
	groupByEngine    map[EngineID]*group
	byModel          map[ModelID][]*group
	allocationTables map[EngineID]*allocationTable
	// rates are the measured speeds of each pool's engines.
	rates map[PoolID]*rates
	jobs  map[Allocation]*job
	// byRequest is the latest allocation of each request that has jobs.
	byRequest map[RequestID]Allocation
	// ended is when recent allocations ended.
	ended   map[Allocation]Instant
	history map[RequestID]requestHistory
	// lengths are the mean answer lengths of each profile.
	lengths map[ProfileID]*answerLength
	// withdrawn is when this node first saw a pool withdrawn, for one profile or
	// for all, and leaving when it first saw an engine leaving in the VM list.
	withdrawn map[poolUse]Instant
	leaving   map[EngineID]Instant
	// regroupPending is set while a regroup is scheduled.
	regroupPending bool
	// passes counts passes over queues.
	passes uint64
}

// poolUse is the use of a pool by a profile, or by all if profile is empty.
type poolUse struct {
	pool    PoolID
	profile ProfileID
}

const (
	// regroupDelay is the time for which changes are collected before they are
	// applied together.
	regroupDelay = 20 * time.Millisecond
	// endedRetention is how long an owner remembers ended allocations.
	endedRetention = time.Minute
	// sweepEvery is the period of [owner.sweep].
	sweepEvery = time.Second
)

func (s *owner) start(n *Node) {
	s.upstreams = make(map[EngineID]Upstream)
	s.groups = make(map[GroupID]*group)
	s.groupByEngine = make(map[EngineID]*group)
	s.allocationTables = make(map[EngineID]*allocationTable)
	s.rates = make(map[PoolID]*rates)
	s.jobs = make(map[Allocation]*job)
	s.byRequest = make(map[RequestID]Allocation)
	s.ended = make(map[Allocation]Instant)
	s.history = make(map[RequestID]requestHistory)
	s.lengths = make(map[ProfileID]*answerLength)
	s.withdrawn = make(map[poolUse]Instant)
	s.leaving = make(map[EngineID]Instant)
	n.every(sweepEvery, func(n *Node) { n.owner.sweep(n) })
}

// reconcile schedules a regroup after a change of the configuration, the
// membership or the VM list.
func (s *owner) reconcile(n *Node) {
	if s.regroupPending {
		return
	}
	s.regroupPending = true
	n.afterFunc(regroupDelay, func(n *Node) {
		n.owner.regroupPending = false
		n.owner.regroup(n)
		n.owner.recordWithdrawals(n)
		n.owner.trackEngines(n)
		n.owner.serveQueues(n)
	})
}

// inVMList reports whether the VM list still has an upstream.
func (s *owner) inVMList(id EngineID) bool {
	_, ok := s.upstreams[id]
	return ok
}

// missingFromVMList reports whether the VM list is known and no longer has an upstream.
func (s *owner) missingFromVMList(id EngineID) bool { return len(s.upstreams) > 0 && !s.inVMList(id) }

// trackEngines starts to poll the engines of all groups that this node acts for.
func (s *owner) trackEngines(n *Node) {
	for _, id := range sortedKeys(s.groupByEngine) {
		if s.acting(n, s.groupByEngine[id]) {
			s.trackEngine(n, id)
		}
	}
}

// trackEngine creates the allocation table of an engine if there is none, and starts
// to poll the engine.
func (s *owner) trackEngine(n *Node, id EngineID) {
	b, ok := s.allocationTables[id]
	if !ok {
		b = newAllocationTable(s.upstreams[id])
		s.allocationTables[id] = b
	}
	b.upstream = s.upstreams[id]
	if !b.polling {
		b.polling = true
		s.poll(n, id)
	}
}

// poll requests a report from an engine and repeats that periodically, for as
// long as this node acts for the engine's group or has jobs on the engine. The
// allocation table is dropped when there are no jobs left.
func (s *owner) poll(n *Node, id EngineID) {
	b, ok := s.allocationTables[id]
	if !ok {
		return
	}
	g, grouped := s.groupByEngine[id]
	if !grouped || (!s.acting(n, g) && len(b.jobs) == 0) {
		b.polling = false
		if len(b.jobs) == 0 {
			delete(s.allocationTables, id)
		}
		return
	}
	n.do(PollEngine{Engine: id, EventsAfter: b.eventsThrough})
	n.afterFunc(n.jitter(n.Settings.PollEvery), func(n *Node) { n.owner.poll(n, id) })
}

func (s *owner) handleReport(n *Node, m EngineReport) {
	b, ok := s.allocationTables[m.Engine]
	if !ok {
		return
	}
	b.applyReport(n.now, m)
	s.compareReport(n, b, m)
	s.drain(n, b)
	if g, ok := s.groupByEngine[m.Engine]; ok {
		s.serveQueue(n, g)
	}
}

func (s *owner) handleUnreachable(m EngineUnreachable) {
	if b, ok := s.allocationTables[m.Engine]; ok {
		b.failedPolls++
		if b.failedPolls >= maxFailedPolls {
			b.reachable = false
		}
	}
}

// maxFailedPolls is the number of consecutive failed polls from which an
// engine receives no new requests.
const maxFailedPolls = 2

// handlePlace handles a Place. A repeated one is answered as before. If this node
// does not own the group, an entry could not reach the owner: this node acts for
// the group for a while.
func (s *owner) handlePlace(n *Node, from NodeID, b Place) {
	if j, ok := s.jobs[s.byRequest[b.Allocation.Request]]; ok && j.proposed == b.Allocation {
		n.send(from, j.placed)
		return
	}
	if n.leaving {
		n.send(from, PlaceRefused{Allocation: b.Allocation, Reason: Leaving})
		return
	}
	g, ok := s.groups[b.Group]
	profile, known := n.config.profile(b.Profile)
	if !ok || !known {
		n.send(from, PlaceRefused{Allocation: b.Allocation, Reason: NoUpstream, RetryAfter: n.jitteredDelay(noUpstreamRetryAfter)})
		return
	}
	if _, over := s.ended[b.Allocation]; over {
		return
	}
	if n.groupOwner(g) != n.Self.ID {
		g.actingUntil = n.now.Add(actingFor)
		s.trackEngines(n)
	}
	s.enqueue(n, g, from, b, profile)
}

func (s *owner) enqueue(n *Node, g *group, from NodeID, b Place, profile Profile) {
	if it, ok := g.queue.find(b.Allocation); ok {
		n.send(from, PlaceQueued{Allocation: b.Allocation, Expected: it.expected})
		return
	}
	if reason := s.staleReason(b); reason != NoReason {
		n.send(from, PlaceRefused{Allocation: b.Allocation, Reason: reason, RetryAfter: answeredRetention})
		return
	}
	s.supersede(n, g, b)
	if b.Source == "" && s.adopt(n, from, b) {
		return
	}
	it := &queued{
		place:          b,
		from:           from,
		profile:        profile,
		arrived:        n.now.Add(-b.Waited),
		arrivedAtOwner: n.now,
		cost:           s.cost(b),
		weight:         profile.weight(b.Customer),
	}
	g.queue.add(it)
	s.serveQueue(n, g)
	if _, still := g.queue.find(b.Allocation); still && from != n.Self.ID {
		n.send(from, PlaceQueued{Allocation: b.Allocation, Expected: it.expected})
	}
}

// weight returns a customer's weight in the fair queue: its configured share, or
// else the profile's default, or else 1.
func (p Profile) weight(id CustomerID) float64 {
	if w, ok := p.Shares[id]; ok && w > 0 {
		return w
	}
	if p.DefaultShare > 0 {
		return p.DefaultShare
	}
	return 1
}

// outputTokenCost is the cost of one output token in prompt tokens.
const outputTokenCost = 20

// cost is the engine time that a request is expected to need, in prompt tokens.
func (s *owner) cost(b Place) float64 {
	return float64(b.Prompt.Tokens) + outputTokenCost*s.length(b.Profile).expected(b.MaxTokens)
}

// adopt hands a stream that an engine still decodes to the entry to which its
// caller reconnected. It reports whether there is such a stream.
func (s *owner) adopt(n *Node, from NodeID, b Place) bool {
	last, ok := s.byRequest[b.Allocation.Request]
	if !ok || !b.Adopt {
		return false
	}
	j, ok := s.jobs[last]
	if !ok || !j.decoding || j.allocation.Holder == b.Allocation.Holder {
		return false
	}
	s.removeJob(j)
	j.allocation = Allocation{
		Request:     b.Allocation.Request,
		Attempt:     last.Attempt + 1,
		Holder:      from,
		Incarnation: b.Allocation.Incarnation,
	}
	j.entry = from
	j.proposed = b.Allocation
	j.orphanedAt = None[Instant]()
	j.prefill = ""
	j.discovered = false
	j.placed = Placed{Allocation: j.allocation, Decode: j.decode, Memory: j.memory}
	s.addJob(j)
	n.send(from, j.placed)
	n.do(LogDecision{Decision: s.jobDecision(n, j, "adopt")})
	return true
}

// rejectQueued removes a request from the queue and rejects it.
func (s *owner) rejectQueued(n *Node, g *group, it *queued, reason RejectionReason) {
	g.queue.remove(it)
	g.rejections += rejectionWeight * (1 - g.rejections)
	after := g.retryAfter(n)
	n.send(it.from, PlaceRefused{Allocation: it.place.Allocation, Reason: reason, RetryAfter: after})
	n.do(LogDecision{Decision: Decision{
		At: n.now, Node: n.Self.ID, Request: it.place.Allocation.Request, Attempt: it.place.Allocation.Attempt,
		Profile: it.place.Profile, Customer: it.place.Customer, Step: "refuse", Reason: reason,
		Predicted: it.predicted, RetryAfter: after, Waited: n.now.Sub(it.arrived), Candidates: it.candidates,
	}})
}

const (
	// rejectionWeight is the weight of one request in the exponentially weighted
	// share of rejected requests.
	rejectionWeight = 0.02
	// retryBase is the lower bound of a rejected caller's retry delay.
	retryBase = 400 * time.Millisecond
	// retryMax is the upper bound of that delay before jitter.
	retryMax = 8 * time.Second
)

// retryAfter returns the retry delay of a rejected caller. It grows with the
// share of requests that are rejected, so that the retries of all rejected
// callers fit into the free capacity.
func (g *group) retryAfter(n *Node) time.Duration {
	factor := 1 + 4*g.rejections/(1.05-min(g.rejections, 1))
	return n.jitteredDelay(min(time.Duration(float64(retryBase)*factor), retryMax))
}

func (s *owner) rejectAllQueued(n *Node, g *group, reason RejectionReason) {
	for _, it := range g.queue.ordered() {
		s.rejectQueued(n, g, it, reason)
	}
}
