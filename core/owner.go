package core

import "time"

// owner keeps the books of the engines that this node owns and places
// requests on them.
type owner struct {
	upstreams map[EngineID]Upstream
	groups    map[GroupID]*group
	groupOf   map[EngineID]*group
	byModel   map[ModelID][]*group
	books     map[EngineID]*book
	rates     map[PoolID]*rates
	jobs      map[Allocation]*job
	byRequest map[RequestID]Allocation
	ended     map[Allocation]Instant
	history   map[RequestID]history
	lengths   map[ProfileID]*answerLength
	// withdrawn remembers since when a pool is withdrawn, for one profile or
	// for all, and leaving since when the VM list shows an engine as leaving.
	withdrawn map[poolUse]Instant
	leaving   map[EngineID]Instant
	dirty     bool
	// walks counts walks through queues.
	walks uint64
}

// poolUse is the use of a pool by a profile, or by all if Profile is empty.
type poolUse struct {
	pool    PoolID
	profile ProfileID
}

const (
	// regroupDelay lets several changes be taken in together.
	regroupDelay = 20 * time.Millisecond
	// endedFor is how long an owner remembers ended allocations.
	endedFor = time.Minute
	// sweepEvery is the period of the owner's clean-up.
	sweepEvery = time.Second
)

func (s *owner) start(n *Node) {
	s.upstreams = make(map[EngineID]Upstream)
	s.groups = make(map[GroupID]*group)
	s.groupOf = make(map[EngineID]*group)
	s.books = make(map[EngineID]*book)
	s.rates = make(map[PoolID]*rates)
	s.jobs = make(map[Allocation]*job)
	s.byRequest = make(map[RequestID]Allocation)
	s.ended = make(map[Allocation]Instant)
	s.history = make(map[RequestID]history)
	s.lengths = make(map[ProfileID]*answerLength)
	s.withdrawn = make(map[poolUse]Instant)
	s.leaving = make(map[EngineID]Instant)
	n.every(sweepEvery, func(n *Node) { n.owner.sweep(n) })
}

// reconcile takes in a change of configuration, membership or the VM list.
func (s *owner) reconcile(n *Node) {
	if s.dirty {
		return
	}
	s.dirty = true
	n.afterFunc(regroupDelay, func(n *Node) {
		n.owner.dirty = false
		n.owner.regroup(n)
		n.owner.noteWithdrawals(n)
		n.owner.openBooks(n)
		n.owner.pumpAll(n)
	})
}

// exists reports whether the VM list still shows an upstream.
func (s *owner) exists(id EngineID) bool {
	_, ok := s.upstreams[id]
	return ok
}

// gone reports whether the VM list is known and no longer shows an upstream.
func (s *owner) gone(id EngineID) bool { return len(s.upstreams) > 0 && !s.exists(id) }

// openBooks starts to poll the engines that this node acts for.
func (s *owner) openBooks(n *Node) {
	for _, id := range sortedKeys(s.groupOf) {
		if s.acting(n, s.groupOf[id]) {
			s.openBook(n, id)
		}
	}
}

func (s *owner) openBook(n *Node, id EngineID) {
	b, ok := s.books[id]
	if !ok {
		b = newBook(s.upstreams[id])
		s.books[id] = b
	}
	b.upstream = s.upstreams[id]
	if !b.polling {
		b.polling = true
		s.poll(n, id)
	}
}

// poll asks an engine for its report, again and again while this node acts
// for it.
func (s *owner) poll(n *Node, id EngineID) {
	b, ok := s.books[id]
	if !ok {
		return
	}
	g, grouped := s.groupOf[id]
	if !grouped || (!s.acting(n, g) && len(b.jobs) == 0) {
		b.polling = false
		if len(b.jobs) == 0 {
			delete(s.books, id)
		}
		return
	}
	n.do(PollEngine{Engine: id, EventsAfter: b.eventsThrough})
	n.afterFunc(n.jitter(n.Settings.PollEvery), func(n *Node) { n.owner.poll(n, id) })
}

func (s *owner) report(n *Node, m EngineReport) {
	b, ok := s.books[m.Engine]
	if !ok {
		return
	}
	b.takeReport(n.now, m)
	s.compare(n, b, m)
	s.drain(n, b)
	if g, ok := s.groupOf[m.Engine]; ok {
		s.pump(n, g)
	}
}

func (s *owner) unreachable(m EngineUnreachable) {
	if b, ok := s.books[m.Engine]; ok {
		b.missed++
		if b.missed >= maxMissedReports {
			b.reachable = false
		}
	}
}

// maxMissedReports is how many polls in a row may fail before an engine gets
// no new work.
const maxMissedReports = 2

// place takes in a request for a placement.
func (s *owner) place(n *Node, from NodeID, b Place) {
	if j, ok := s.jobs[s.byRequest[b.Allocation.Request]]; ok && j.asked == b.Allocation {
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
		n.send(from, PlaceRefused{Allocation: b.Allocation, Reason: NoUpstream, RetryAfter: n.spread(noUpstreamRetryAfter)})
		return
	}
	if _, over := s.ended[b.Allocation]; over {
		return
	}
	if n.groupOwner(g) != n.Self.ID {
		g.actingUntil = n.now.Add(actingFor)
		s.openBooks(n)
	}
	s.enqueue(n, g, from, b, profile)
}

func (s *owner) enqueue(n *Node, g *group, from NodeID, b Place, profile Profile) {
	if it, ok := g.queue.find(b.Allocation); ok {
		n.send(from, PlaceQueued{Allocation: b.Allocation, Expected: it.expected})
		return
	}
	if reason := s.overtaken(b); reason != NoReason {
		n.send(from, PlaceRefused{Allocation: b.Allocation, Reason: reason, RetryAfter: answeredFor})
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
	s.pump(n, g)
	if _, still := g.queue.find(b.Allocation); still && from != n.Self.ID {
		n.send(from, PlaceQueued{Allocation: b.Allocation, Expected: it.expected})
	}
}

// weight returns a customer's share.
func (p Profile) weight(id CustomerID) float64 {
	if w, ok := p.Shares[id]; ok && w > 0 {
		return w
	}
	if p.DefaultShare > 0 {
		return p.DefaultShare
	}
	return 1
}

// outputCost is the cost of one output token in prompt tokens.
const outputCost = 20

// cost is what a request takes from the engines, in prompt tokens.
func (s *owner) cost(b Place) float64 {
	return float64(b.Prompt.Tokens) + outputCost*s.length(b.Profile).expected(b.MaxTokens)
}

// adopt gives a stream that an engine still holds to the entry that its
// caller came back to.
func (s *owner) adopt(n *Node, from NodeID, b Place) bool {
	last, ok := s.byRequest[b.Allocation.Request]
	if !ok || !b.Adopt {
		return false
	}
	j, ok := s.jobs[last]
	if !ok || !j.decoding || j.allocation.Holder == b.Allocation.Holder {
		return false
	}
	s.forget(j)
	j.allocation = Allocation{
		Request:     b.Allocation.Request,
		Attempt:     last.Attempt + 1,
		Holder:      from,
		Incarnation: b.Allocation.Incarnation,
	}
	j.entry = from
	j.asked = b.Allocation
	j.orphanedAt = None[Instant]()
	j.prefill = ""
	j.discovered = false
	j.placed = Placed{Allocation: j.allocation, Decode: j.decode, Memory: j.memory}
	s.remember(j)
	n.send(from, j.placed)
	n.do(LogDecision{Decision: s.jobDecision(n, j, "adopt")})
	return true
}

// refuseItem ends a queued request with its final answer.
func (s *owner) refuseItem(n *Node, g *group, it *queued, reason RefusalReason) {
	g.queue.remove(it)
	g.refusals += refusalWeight * (1 - g.refusals)
	after := g.retryAfter(n)
	n.send(it.from, PlaceRefused{Allocation: it.place.Allocation, Reason: reason, RetryAfter: after})
	n.do(LogDecision{Decision: Decision{
		At: n.now, Node: n.Self.ID, Request: it.place.Allocation.Request, Attempt: it.place.Allocation.Attempt,
		Profile: it.place.Profile, Customer: it.place.Customer, Step: "refuse", Reason: reason,
		Predicted: it.predicted, RetryAfter: after, Waited: n.now.Sub(it.arrived), Candidates: it.candidates,
	}})
}

const (
	// refusalWeight is the weight of one request in the recent share of
	// refusals.
	refusalWeight = 0.02
	// retryBase is the least time after which a refused caller comes back.
	retryBase = 400 * time.Millisecond
	// retryMax bounds that time before it is spread.
	retryMax = 8 * time.Second
)

// retryAfter grows with the share of requests that have to be refused, so
// that the retries of all refused callers fit into what is free.
func (g *group) retryAfter(n *Node) time.Duration {
	factor := 1 + 4*g.refusals/(1.05-min(g.refusals, 1))
	return n.spread(min(time.Duration(float64(retryBase)*factor), retryMax))
}

func (s *owner) refuseAll(n *Node, g *group, reason RefusalReason) {
	for _, it := range g.queue.ordered() {
		s.refuseItem(n, g, it, reason)
	}
}
