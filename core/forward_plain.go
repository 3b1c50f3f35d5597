package core

import "time"

const (
	// silentObjectives is the number of objectives without an answer after
	// which a repeatable request is sent to another upstream.
	silentObjectives = 2.0
	// maxSends bounds how many upstreams one attempt is sent to, including
	// those that reject it. It also bounds the prefill engines that are tried.
	maxSends = 3
	// remotePenalty is the cost, in requests, of an upstream in another failure
	// domain: traffic between domains is expensive, but a queue is worse.
	remotePenalty = 0.5
)

// runPlain sends a request of a plain service to the upstream with the fewest
// of this node's own requests, in proportion to its slots and its success rate.
// Upstreams in this node's failure domain are preferred. Those with a limit get what this
// node may send them by itself.
func (s *forwards) runPlain(n *Node, f *forwardedRequest) {
	u := s.choosePlain(n, f)
	if u == nil {
		s.end(n, f, s.noUpstreamReason(f), s.quietFor(n, f))
		return
	}
	f.placer = ""
	u.takeShare()
	s.runPlainAt(n, f, u)
}

// runPlainAgain sends a request of a plain service to another upstream. If only upstreams
// with a limit are left, their owner has to place it.
func (s *forwards) runPlainAgain(n *Node, f *forwardedRequest) {
	if s.choosePlain(n, f) == nil && s.noUpstreamReason(f) == NoCapacity {
		s.requestPlacement(n, f)
		return
	}
	s.runPlain(n, f)
}

// noUpstreamReason returns why no upstream can run a plain request: only those with a limit
// are left, or none.
func (s *forwards) noUpstreamReason(f *forwardedRequest) RejectionReason {
	for _, u := range s.upstreams.byService[f.spec.ID] {
		if _, limited := u.limit().Get(); limited && u.usable() && !f.tried.Has(u.ID) {
			return NoCapacity
		}
	}
	return NoUpstream
}

// runPlainAt sends a request of a plain service to the given upstream.
func (s *forwards) runPlainAt(n *Node, f *forwardedRequest, u *upstream) {
	f.placedAt = n.now
	f.decode = u
	u.ownRequests++
	if !s.mayRunAt(n, f, u) {
		return
	}
	f.phase = forwardRunning
	f.step++
	f.sends++
	f.tried.Add(u.ID)
	s.checkBeforeRun(n, f)
	newConnection := f.sentTo.Has(u.ID) || f.route.RetryPolicy == Once && u.failures > 0
	number := f.recordRun(n.now, u)
	s.logRun(n, f)
	n.do(RunForward{
		ID: f.ID, Send: number, Engine: u.ID, Address: u.Address, Hold: f.takeHold(), Patience: f.timeLeft(n.now),
		Once: f.route.RetryPolicy == Once, Repeatable: f.route.RetryPolicy == Repeatable, NewConnection: newConnection, TakesOver: f.silent != nil, GoneOn: f.goneOn,
		Tenant: f.tenant, HideKey: s.mustHideKey(f),
	})
	s.watchNoAnswer(n, f, u, time.Duration(silentObjectives*float64(f.route.Objective)))
	if f.route.RetryPolicy == Repeatable {
		s.retryIfSilent(n, f)
	}
}

func (s *forwards) choosePlain(n *Node, f *forwardedRequest) *upstream {
	list := s.upstreams.byService[f.spec.ID]
	excluded := func(u *upstream) bool { return f.tried.Has(u.ID) || !u.nodeMaySend(n) || !f.fits(u) }
	cost := func(u *upstream) float64 {
		c := float64(u.ownRequests+1) / float64(max(u.Slots, 1))
		if u.Domain != n.Self.Domain {
			c += remotePenalty / float64(max(u.Slots, 1))
		}
		return c / max(u.successRate*u.successRate, 0.01)
	}
	u := cheapest(n, list, func(u *upstream) bool { return excluded(u) || u.avoidUntil > n.now }, cost)
	if u == nil {
		u = cheapest(n, list, excluded, cost)
	}
	return u
}

// retryIfSilent sends a repeatable request to another upstream too if the present one
// does not answer in time. The present one may be sound and answer first.
func (s *forwards) retryIfSilent(n *Node, f *forwardedRequest) {
	s.retryIfSilentAfter(n, f, time.Duration(silentObjectives*float64(f.route.Objective)))
}

func (s *forwards) retryIfSilentAfter(n *Node, f *forwardedRequest, after time.Duration) {
	step := f.step
	s.whileLive(n, f, after, func(n *Node) {
		if s.live[f.ID] != f || f.step != step || f.phase != forwardRunning {
			return
		}
		if n.justResumed() {
			s.retryIfSilentAfter(n, f, resumeGrace)
			return
		}
		if f.silent != nil || f.unprovenRuns() >= f.route.MaxRuns || f.sends >= maxSends {
			return
		}
		u := s.choosePlain(n, f)
		if held, _ := s.heldBack(n, f); held > 0 || u == nil || !s.spendRetryBudget(n, f, 1) {
			s.retryIfSilent(n, f)
			return
		}
		s.setAside(n, f)
		f.placer = ""
		u.takeShare()
		s.runPlainAt(n, f, u)
	})
}

// plainRejected handles the rejection of a plain request by its upstream.
func (s *forwards) plainRejected(n *Node, f *forwardedRequest) {
	s.release(n, f)
	if f.sends < maxSends && s.spendRetryBudget(n, f, 1) {
		s.runPlainAgain(n, f)
		return
	}
	s.end(n, f, NoCapacity, 0)
}

// plainFailed handles a plain request that got no usable answer.
func (s *forwards) plainFailed(n *Node, f *forwardedRequest, m StepFailed) {
	f.hasFailureAnswer = m.Status != 0
	s.release(n, f)
	again := s.mayRunAgain(f) && !f.emitted && f.sends < maxSends
	if again && s.rejectIfHeldBack(n, f) {
		return
	}
	if again && s.spendRetryBudget(n, f, 1) {
		s.runPlainAgain(n, f)
		return
	}
	s.end(n, f, UpstreamFailed, 0)
}
