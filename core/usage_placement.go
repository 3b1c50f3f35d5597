package core

import "time"

// admitPlacement charges a request that another node, or this one, wants placed here to the usage cap
// of its tenant, unless it was charged before. It calls accept if the request is not over the cap.
// Nothing is spent on one that is.
func (s *usage) admitPlacement(n *Node, from NodeID, m PlaceForward, accept func(*Node, NodeID, PlaceForward)) {
	if from != n.Self.ID {
		s.placedAt = n.now
	}
	if m.Usage <= 0 {
		// The entry may have an older desired state without the cap.
		m.Usage = s.amountOf(m.Tenant, m.Prompt, m.MaxOutput)
	}
	if _, limited := s.tenants[m.Tenant]; !limited || m.Charged {
		accept(n, from, m)
		return
	}
	receivedAt := n.now
	s.admit(n, &usageRequest{
		key: jobKey{node: from, id: m.ID}, tenant: m.Tenant, amount: float64(m.Usage), patience: m.Patience, attempt: m.Attempt,
		profile: ProfileID(m.Group.Service),
		done: func(n *Node, v usageVerdict) {
			if v.over {
				n.dispatcher.rememberOverCap(n, m.PromptKey)
				n.send(from, ForwardTurnedAway{ID: m.ID, RetryAfter: v.retryAfter, OverCap: true})
				return
			}
			m.Charged = v.charged
			accept(n, from, m.after(n.now.Sub(receivedAt)))
		},
	})
}

// after returns the placement request as it would be if it was sent a time later.
func (m PlaceForward) after(d time.Duration) PlaceForward {
	m.Waited += d
	m.OnTime -= d
	m.Patience -= d
	return m
}

// rememberOverCap remembers when a request over the cap arrived, unless an earlier attempt is known, so
// that a retry is recognised.
func (d *dispatcher) rememberOverCap(n *Node, key PromptKey) {
	if _, known := d.rejectedPrompts[key]; !known && key != 0 && len(d.rejectedPrompts) < maxRejectedPrompts {
		d.rejectedPrompts[key] = n.now
	}
}

// refund gives back what a job was charged, because no upstream has run the request.
func (d *dispatcher) refund(n *Node, j *dispatchJob) {
	if j.charged {
		j.charged = false
		n.usage.refund(n, j.tenant, float64(j.usage))
	}
}

// mustCharge reports whether a request counts towards a usage cap and was not charged yet.
func (s *forwards) mustCharge(n *Node, f *forwardedRequest) bool {
	return !f.charged && s.usageOf(n, f) > 0
}

// usageOf returns what a request counts towards the usage cap of its tenant.
func (s *forwards) usageOf(n *Node, f *forwardedRequest) Tokens {
	g, _ := f.Generation.Get()
	return n.usage.amountOf(f.tenant, g.Prompt, g.MaxOutput)
}

// charge charges a request that this node places itself, and then goes on with it. One that is over the
// cap is rejected.
func (s *forwards) charge(n *Node, f *forwardedRequest, then func(*Node, *forwardedRequest)) {
	f.phase = forwardAwaitingUsage
	f.step++
	step := f.step
	n.usage.admit(n, &usageRequest{
		key: jobKey{node: n.Self.ID, id: f.placement}, tenant: f.tenant, amount: float64(s.usageOf(n, f)), patience: f.timeLeft(n.now),
		attempt: f.Attempt, profile: ProfileID(f.spec.ID),
		done: func(n *Node, v usageVerdict) {
			waits := s.live[f.ID] == f && f.step == step
			switch {
			case v.over && waits:
				s.end(n, f, OverShare, v.retryAfter)
			case v.over:
			case !waits:
				n.usage.refund(n, f.tenant, float64(s.usageOf(n, f)))
			default:
				f.charged = true
				then(n, f)
			}
		},
	})
}

// chargeReturned records that an owner which has rejected the request has given back what was charged.
// One that does not know of usage caps has not.
func (s *forwards) chargeReturned(n *Node, f *forwardedRequest, owner NodeID) {
	if f.charged && !n.usage.reports.knows(n, owner, usageProtocol) {
		n.usage.refund(n, f.tenant, float64(s.usageOf(n, f)))
	}
	f.charged = false
}

// endCharge records whether a request that ends was run, and gives back what this node has charged for
// it. An owner that placed it gives back what was charged once the request is released there.
func (s *forwards) endCharge(n *Node, f *forwardedRequest) {
	n.usage.cancel(jobKey{node: n.Self.ID, id: f.placement})
	f.notRun = f.unprovenRuns() == 0 && f.prefills == 0 && !f.emitted
	if f.notRun && f.charged && (f.owner == "" || f.placedAlone) {
		n.usage.refund(n, f.tenant, float64(s.usageOf(n, f)))
	}
}
