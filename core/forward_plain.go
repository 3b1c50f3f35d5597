package core

import "time"

const (
	// hedgeAfter is how many objectives a repeatable request may stay without
	// an answer before it is tried elsewhere.
	hedgeAfter = 2.0
	// maxSends bounds how many upstreams are asked to take one attempt, with
	// those that refuse it.
	maxSends = 3
	// remotePenalty is the cost, in requests, of an upstream in another failure
	// domain: bytes between domains are dear, but a queue is worse.
	remotePenalty = 0.5
)

// runPlain sends a request of a plain service to the upstream with the least
// of this node's own work, in proportion to its slots and its success.
func (s *forwards) runPlain(n *Node, f *forwarded) {
	list := s.upstreams.byService[f.spec.ID]
	u := s.choosePlain(n, f, list)
	if u == nil {
		s.end(n, f, NoUpstream, 0)
		return
	}
	s.runPlainAt(n, f, u)
}

// runPlainAt sends a request of a plain service to an upstream.
func (s *forwards) runPlainAt(n *Node, f *forwarded, u *upstream) {
	f.phase = forwardRunning
	f.placedAt = n.now
	f.decode = u
	u.requests++
	f.step++
	f.sends++
	f.runs++
	f.tried.Add(u.ID)
	s.decide(n, f, "run", NoReason)
	n.do(RunForward{
		ID: f.ID, Engine: u.ID, Address: u.Address, Patience: f.patienceLeft(n.now),
		FreshConnection: f.route.Repeat == Once && u.failures > 0,
	})
	if f.route.Repeat == Repeatable {
		s.hedge(n, f)
	}
}

func (s *forwards) choosePlain(n *Node, f *forwarded, list []*upstream) *upstream {
	cost := func(u *upstream) float64 {
		c := float64(u.requests+1) / float64(max(u.Slots, 1))
		if u.Domain != n.Self.Domain {
			c += remotePenalty / float64(max(u.Slots, 1))
		}
		return c / max(u.success*u.success, 0.01)
	}
	u := cheapest(n, list, func(u *upstream) bool { return f.tried.Has(u.ID) || u.avoidUntil > n.now }, cost)
	if u == nil {
		u = cheapest(n, list, func(u *upstream) bool { return f.tried.Has(u.ID) }, cost)
	}
	return u
}

// hedge tries a repeatable request elsewhere if its upstream stays silent.
func (s *forwards) hedge(n *Node, f *forwarded) {
	step := f.step
	n.afterFunc(time.Duration(hedgeAfter*float64(f.route.Objective)), func(n *Node) {
		if s.live[f.ID] != f || f.step != step || f.phase != forwardRunning {
			return
		}
		if f.runs >= f.route.MaxRuns || len(s.upstreams.byService[f.spec.ID]) < 2 || !s.mayRepeat(n, f, 1) {
			return
		}
		f.decode.failed(n.now)
		s.release(n, f)
		s.runPlain(n, f)
	})
}

// plainRefused takes in that an upstream did not take a plain request.
func (s *forwards) plainRefused(n *Node, f *forwarded) {
	f.runs--
	s.release(n, f)
	if f.sends < maxSends && s.mayRepeat(n, f, 1) {
		s.runPlain(n, f)
		return
	}
	s.end(n, f, NoCapacity, 0)
}

// plainFailed takes in that a plain request got no usable answer.
func (s *forwards) plainFailed(n *Node, f *forwarded, m StepFailed) {
	f.failure = m.Status != 0
	s.release(n, f)
	again := s.mayRunAgain(f) && !f.emitted && f.sends < maxSends
	if again && s.mayRepeat(n, f, 1) {
		s.runPlain(n, f)
		return
	}
	s.end(n, f, UpstreamFailed, 0)
}
