package core

import (
	"slices"
	"time"
)

const (
	// dispatchLead is how long before an engine becomes free its next prefill is
	// sent, so that the engine does not idle for a round trip.
	dispatchLead = 10 * time.Millisecond
	// roundTripMargin is the time allowed for the messages between entry, owner
	// and engines.
	roundTripMargin = 4 * time.Millisecond
	// stepSafety is the share of the per-token target that the predicted time per
	// token of a batch may reach.
	stepSafety = 0.95
	// overlapShare is the share of the memory expected to be released during a
	// prefill that may be promised before it is released.
	overlapShare = 0.4
	// maxCandidates bounds the candidates in a decision's record.
	maxCandidates = 6
	// maxOverlapWaste is the [Profile.WasteWeight] from which memory is promised
	// only once it is free: otherwise a prefill may be wasted.
	maxOverlapWaste = 0.5
	// maxReportAge is the greatest age of an engine's latest report at which the
	// engine may receive requests.
	maxReportAge = 4 * time.Second
)

// placementChoice is a possible placement of a request.
type placementChoice struct {
	prefill *allocationTable
	// decode is nil if no engine has memory for the request, or if the policy
	// chooses the decode engine after the prefill.
	decode *allocationTable
	// start is when the prefill is predicted to begin, and prefillDuration how
	// long it is predicted to take; firstToken is the predicted time of the first
	// token.
	start      Instant
	firstToken Instant
	// uncached is the number of tokens that the prefill is expected to compute,
	// and predictedHit the number of tokens thought to be in the prefix cache.
	uncached        Tokens
	predictedHit    Tokens
	prefillDuration time.Duration
}

func (s *owner) serveQueues(n *Node) {
	for _, id := range sortedKeys(s.groups) {
		s.serveQueue(n, s.groups[id])
	}
}

// serveQueue passes over the queue once: it places the requests that can start now,
// rejects those that can no longer meet their targets, and leaves the rest.
func (s *owner) serveQueue(n *Node, g *group) {
	if g.queue.len() == 0 {
		return
	}
	p := s.newPlan(n.now)
	for i, it := range g.queue.ordered() {
		switch {
		case i >= n.Settings.MaxQueue:
			s.rejectQueued(n, g, it, OverShare)
		case it.isMove():
			s.placeMove(n, g, it, p)
		case n.Policy.Placement != Joint:
			s.placeBaseline(n, g, it)
		default:
			s.placeOrReject(n, g, it, p)
		}
	}
	s.schedulePass(n, g, p.nextPass)
}

// schedulePass schedules the next pass over the queue for the given time.
func (s *owner) schedulePass(n *Node, g *group, at Instant) {
	if at == 0 || g.passScheduled || g.queue.len() == 0 {
		return
	}
	g.passScheduled = true
	id := g.id
	n.afterFunc(max(at.Sub(n.now), time.Millisecond), func(n *Node) {
		if g, ok := n.owner.groups[id]; ok {
			g.passScheduled = false
			n.owner.serveQueue(n, g)
		}
	})
}

// placeOrReject places, rejects or keeps one queued request. It is rejected if its
// first token is predicted later than the profile's target plus its maximum wait,
// unless it serves as a probe.
func (s *owner) placeOrReject(n *Node, g *group, it *queued, p *plan) {
	deadline := it.arrived.Add(it.profile.FirstTokenTarget + it.profile.MaxWait)
	e := s.eligible(n, g, it, p)
	c, ok := s.choosePrefill(n, e, it, p)
	if !ok {
		s.waitOrReject(n, g, it, p, deadline)
		return
	}
	need := memoryFor(it.place).Pieces()
	if e.largest == 0 {
		s.waitOrReject(n, g, it, p, deadline)
		return
	}
	if need > e.largest {
		s.rejectQueued(n, g, it, TooLong)
		return
	}
	c.decode = s.chooseDecode(n, g, e, it, p, c.start.Add(c.prefillDuration).Sub(p.now))
	wait := time.Duration(0)
	if c.decode == nil {
		wait = s.memoryWait(g, p, need)
		p.queuedPieces += need
	}
	s.predict(p, it, &c, wait)
	it.predicted = c.firstToken.Sub(it.arrived)
	it.expected = c.start.Sub(p.now)
	if !n.Policy.NoAdmission && c.firstToken > deadline && !g.shouldProbe(p.now, c) {
		s.rejectQueued(n, g, it, NoCapacity)
		return
	}
	if c.decode == nil {
		// A message that reports released memory starts a pass by itself; only the
		// deadline needs a timer.
		p.reserveUntil(c.prefill, c.start.Add(c.prefillDuration))
		p.scheduleNextPass(p.now.Add(max(deadline.Sub(c.firstToken), minPassInterval)))
		return
	}
	if c.start > p.now.Add(dispatchLead) {
		p.reserveUntil(c.prefill, c.start.Add(c.prefillDuration))
		p.scheduleNextPass(max(c.start.Add(-dispatchLead), p.now.Add(time.Millisecond)))
		return
	}
	s.dispatch(n, g, it, c)
	p.applyDispatch(e, c, need)
}

// minPassInterval is the lower bound of the time until the next pass over a queue
// that waits for memory only.
const minPassInterval = 5 * time.Millisecond

// probeAfter is the time without a placement after which a request is placed even
// if it is predicted to be late.
const probeAfter = 500 * time.Millisecond

// shouldProbe reports whether to place a request even though it is predicted to be
// late. If the group has placed nothing for a while and the chosen engines are
// free, the prediction itself may be wrong, and only a running request can show
// that.
func (g *group) shouldProbe(now Instant, c placementChoice) bool {
	idle := c.decode != nil && c.start <= now
	return idle && now.Sub(g.placedAt) > probeAfter
}

// waitOrReject handles a request for which no engine is usable. The request stays
// in the queue until its deadline if some engine has yet to send its first
// report, and is rejected otherwise.
func (s *owner) waitOrReject(n *Node, g *group, it *queued, p *plan, deadline Instant) {
	if s.hasUnreported(g) && p.now < deadline {
		it.expected = n.Settings.PollEvery
		p.scheduleNextPass(min(p.now.Add(n.Settings.PollEvery/4), deadline))
		return
	}
	s.rejectQueued(n, g, it, NoUpstream)
}

// hasUnreported reports whether a group has engines that have not sent a report
// yet.
func (s *owner) hasUnreported(g *group) bool {
	for _, id := range g.engines {
		if b, ok := s.allocationTables[id]; ok && !b.reported {
			return true
		}
	}
	return false
}

// predict sets the choice's predicted time of the first token, if decode memory
// becomes free after wait.
func (s *owner) predict(p *plan, it *queued, c *placementChoice, wait time.Duration) {
	step := time.Duration(0)
	pool := c.prefill.upstream.Pool
	sharing := c.prefill.transfers + 1
	if c.decode != nil {
		pool = c.decode.upstream.Pool
		sharing = max(sharing, c.decode.transfers+1)
		step = s.ratesOf(pool).stepTime(c.decode.batch + 1)
	}
	r := s.ratesOf(pool)
	moved := r.transferTime(it.place.Prompt.Tokens, sharing)
	begin := max(c.start, p.now.Add(wait))
	margin := roundTripMargin + s.ratesOf(c.prefill.upstream.Pool).error() + r.error()
	c.firstToken = begin.Add(c.prefillDuration + moved + step + margin)
}

// memoryWait predicts how long a request waits for decode memory, including what
// the requests before it in the queue need, from the rate at which memory is
// released.
func (s *owner) memoryWait(g *group, p *plan, need int) time.Duration {
	reserved := 0
	for _, id := range g.engines {
		if b, ok := s.allocationTables[id]; ok && b.role == Decode {
			reserved += b.reservedPieces
		}
	}
	if reserved == 0 || g.residence <= 0 {
		return 0
	}
	perSecond := float64(reserved) / g.residence.Seconds()
	return seconds(float64(p.queuedPieces+need) / perSecond)
}

// memoryFor returns the most memory that a request may need on a decode engine.
func memoryFor(b Place) Tokens { return b.Prompt.Tokens + b.MaxTokens }

// usable reports whether an engine of a pool may receive new requests of a
// profile, in the role that the engine reports.
func (s *owner) usable(n *Node, b *allocationTable, pool Pool, profile *Profile) bool {
	if !b.reported || !b.reachable || b.state != Serving || b.upstream.Leaving {
		return false
	}
	if n.now.Sub(b.reportedAt) > maxReportAge {
		return false
	}
	if pool.ID != b.upstream.Pool || pool.Withdrawn || (b.model != "" && b.model != profile.Model) {
		return false
	}
	allowed := profile.PrefillPools
	if b.role == Decode {
		allowed = profile.DecodePools
	}
	return slices.Contains(allowed, pool.ID) && !slices.Contains(profile.Withdrawn, pool.ID)
}

// choosePrefill picks the prefill engine that is predicted to finish the prompt
// first, given its queue and the part of the prompt that it has cached.
func (s *owner) choosePrefill(n *Node, e *eligible, it *queued, p *plan) (placementChoice, bool) {
	var best placementChoice
	var bestReady Instant
	it.candidates = it.candidates[:0]
	for _, o := range e.prefill {
		id := o.table.upstream.ID
		if slices.Contains(it.place.Avoid, id) || (o.borrowed && e.prefillShareUsed(it.profile.BorrowedShare)) {
			continue
		}
		c := s.prefillChoice(n, o.table, it, p)
		it.addCandidate(Candidate{Engine: id, Predicted: c.start.Add(c.prefillDuration).Sub(p.now)})
		if ready := o.readyAt(c); best.prefill == nil || ready < bestReady {
			best, bestReady = c, ready
		}
	}
	return best, best.prefill != nil
}

// addCandidate records a candidate for the decision log.
func (q *queued) addCandidate(c Candidate) {
	if len(q.candidates) < maxCandidates {
		q.candidates = append(q.candidates, c)
	}
}

func (s *owner) prefillChoice(n *Node, b *allocationTable, it *queued, p *plan) placementChoice {
	c := placementChoice{prefill: b, start: p.freeAt(b), uncached: it.place.Prompt.Tokens + it.place.Emitted}
	if !n.Policy.NoPrefixLocality {
		c.predictedHit = b.cache.hit(it.place.Prompt)
		c.uncached -= Tokens(b.cache.confidence * float64(c.predictedHit))
	}
	c.prefillDuration = s.ratesOf(b.upstream.Pool).prefillTime(c.uncached)
	return c
}

// chooseDecode picks the decode engine with the smallest batch among those that
// have memory for the request, or should have it when its prefill is done, and
// that would still meet the per-token targets of all their requests.
func (s *owner) chooseDecode(n *Node, g *group, e *eligible, it *queued, p *plan, ready time.Duration) *allocationTable {
	var best engineOption
	for _, o := range e.decode {
		if best.table != nil && o.rank() >= best.rank() {
			continue
		}
		if slices.Contains(it.place.Avoid, o.table.upstream.ID) || !s.hasRoom(n, g, e, o, it, p, ready) {
			continue
		}
		best = o
	}
	return best.table
}

// hasRoom reports whether a decode engine has memory for one more request, keeps
// its per-token targets with it, and, if borrowed, stays within the profile's
// share.
func (s *owner) hasRoom(n *Node, g *group, e *eligible, o engineOption, it *queued, p *plan, ready time.Duration) bool {
	need := memoryFor(it.place).Pieces()
	if n.Policy.NoDecodeReservation {
		return true
	}
	b := o.table
	free := b.free()
	if it.profile.WasteWeight < maxOverlapWaste && !n.Policy.NoOverlap && g.residence > 0 && !it.isMove() {
		free += int(overlapShare * float64(b.reservedPieces) * ready.Seconds() / g.residence.Seconds())
	}
	if free < need {
		return false
	}
	if b.batch > 0 {
		target := time.Duration(stepSafety * float64(min(p.minPerTokenTargetAt(b), it.profile.PerTokenTarget)))
		if s.ratesOf(b.upstream.Pool).stepTime(b.batch+1) > target {
			return false
		}
	}
	return !o.borrowed || e.fitsShare(it.profile.BorrowedShare, need)
}

// dispatch places a queued request on the chosen engines and sends the promise to
// its entry.
func (s *owner) dispatch(n *Node, g *group, it *queued, c placementChoice) {
	g.queue.charge(it)
	g.placedAt = n.now
	g.rejections -= rejectionWeight * g.rejections
	j := s.newJob(n, g, it)
	j.prefill = c.prefill.upstream.ID
	j.startsAt = c.start
	j.prefillEnds = c.start.Add(c.prefillDuration)
	j.uncached = c.uncached
	j.predictedHit = c.predictedHit
	j.placed.Prefill = j.prefill
	if c.decode != nil {
		j.decode = c.decode.upstream.ID
		j.placed.Decode = j.decode
	}
	j.placed.FirstToken = c.firstToken.Sub(it.arrived)
	s.promise(n, j, it)
}

// newJob returns the job for a queued request. Its attempt is raised above any
// other attempt of the request that this owner knows of.
func (s *owner) newJob(n *Node, g *group, it *queued) *job {
	a := it.place.Allocation
	if last, ok := s.byRequest[a.Request]; ok && last.Attempt >= a.Attempt && last != a {
		a.Attempt = last.Attempt + 1
	}
	memory := memoryFor(it.place)
	return &job{
		allocation:     a,
		proposed:       it.place.Allocation,
		entry:          it.from,
		group:          g.id,
		profile:        it.place.Profile,
		customer:       it.place.Customer,
		prompt:         it.place.Prompt,
		maxTokens:      it.place.MaxTokens,
		memory:         memory,
		perTokenTarget: it.profile.PerTokenTarget,
		placedAt:       n.now,
		askedAt:        n.now,
		placed:         Placed{Allocation: a, Memory: memory},
	}
}

func (s *owner) promise(n *Node, j *job, it *queued) {
	s.addJob(j)
	n.send(it.from, j.placed)
	step := "place"
	if it.isMove() {
		step = "move"
	}
	d := s.jobDecision(n, j, step)
	d.Waited = n.now.Sub(it.arrived)
	d.Candidates = it.candidates
	n.do(LogDecision{Decision: d})
}

func (s *owner) jobDecision(n *Node, j *job, step string) Decision {
	return Decision{
		At: n.now, Node: n.Self.ID, Request: j.allocation.Request, Attempt: j.allocation.Attempt,
		Profile: j.profile, Customer: j.customer, Step: step,
		Prefill: j.prefill, Decode: j.decode, Predicted: j.placed.FirstToken,
	}
}
