package core

import "slices"

// plainCall is a call of a repeatable profile.
type plainCall struct {
	call     CallID
	profile  ProfileID
	customer CustomerID
	body     []byte
	// tried holds the upstreams that the call was sent to.
	tried []EngineID
}

// inFlightCall is a call in flight to an upstream. Either plain or run is set.
type inFlightCall struct {
	engine EngineID
	plain  *plainCall
	run    *keyRun
}

// dispatchPlain sends a repeatable call to an upstream that it was not sent to
// before.
func (s *serviceCalls) dispatchPlain(n *Node, c *plainCall) {
	engine, ok := s.pick(n, c.profile, c.tried)
	if !ok {
		reason := NoUpstream
		if len(c.tried) > 0 {
			reason = UpstreamFailed
		}
		rejectCall(n, c.call, reason, callRetryAfter)
		return
	}
	if len(c.tried) == 0 {
		s.retriesLeft = min(retryBudget, s.retriesLeft+retryShare)
	}
	c.tried = append(c.tried, engine)
	logCallDecision(n, c.call, c.profile, c.customer, engine, len(c.tried))
	s.send(n, inFlightCall{engine: engine, plain: c}, c.profile, c.body, "")
}

// send sends a call to the upstream named in f and records it as in flight.
func (s *serviceCalls) send(n *Node, f inFlightCall, profile ProfileID, body []byte, key IdempotencyKey) {
	n.checkInvariant(WithdrawnIdle, n.usable(profile, f.engine), string(f.engine)+" is withdrawn but was sent a call")
	ticket := n.nextTicket()
	s.inFlight[ticket] = f
	s.load[f.engine]++
	n.do(CallService{
		Ticket: ticket, Engine: f.engine, Body: body, Key: key, Timeout: n.Settings.CallTimeout,
	})
}

// removeInFlight removes a call that is no longer in flight and returns it.
func (s *serviceCalls) removeInFlight(ticket Ticket) (inFlightCall, bool) {
	f, ok := s.inFlight[ticket]
	if !ok {
		return f, false
	}
	delete(s.inFlight, ticket)
	s.load[f.engine]--
	if s.load[f.engine] == 0 {
		delete(s.load, f.engine)
	}
	return f, true
}

func (s *serviceCalls) handleServiceAnswered(n *Node, m ServiceAnswered) {
	f, ok := s.removeInFlight(m.Ticket)
	switch {
	case !ok:
	case f.plain != nil:
		n.do(AnswerCall{Call: f.plain.call, Outcome: Ran, Status: m.Status, Body: m.Body})
	default:
		s.decide(n, f.run, KeyResult{Outcome: Ran, Status: m.Status, Body: m.Body}, NoReason)
	}
}

func (s *serviceCalls) handleServiceFailed(n *Node, m ServiceFailed) {
	f, ok := s.removeInFlight(m.Ticket)
	switch {
	case !ok:
	case f.plain != nil:
		s.plainFailed(n, f.plain, m)
	default:
		s.runFailed(n, f.run, m)
	}
}

// plainFailed retries the call at another upstream if the retry budget allows
// it. The budget keeps retries from adding to an overload.
func (s *serviceCalls) plainFailed(n *Node, c *plainCall, m ServiceFailed) {
	if len(c.tried) < maxDispatches && s.retriesLeft >= 1 {
		if _, ok := s.pick(n, c.profile, c.tried); ok {
			s.retriesLeft--
			s.dispatchPlain(n, c)
			return
		}
	}
	outcome := Unknown
	if m.NotRun && len(c.tried) == 1 {
		outcome = NotRun
	}
	n.do(AnswerCall{
		Call: c.call, Outcome: outcome, Reason: UpstreamFailed, RetryAfter: n.jitteredDelay(callRetryAfter),
	})
}

// pick chooses the usable upstream with the fewest calls of this node in
// flight. Upstreams of other regions are used only if this region has none.
func (s *serviceCalls) pick(n *Node, profile ProfileID, tried []EngineID) (EngineID, bool) {
	var near, far []EngineID
	for _, u := range s.plainUpstreams(n) {
		switch {
		case slices.Contains(tried, u.ID) || !n.usableUpstream(profile, u):
		case u.Region == n.Self.Region:
			near = append(near, u.ID)
		default:
			far = append(far, u.ID)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return "", false
	}
	n.rng.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	return slices.MinFunc(near, func(a, b EngineID) int { return s.load[a] - s.load[b] }), true
}

// plainUpstreams returns the plain services of the VM list.
func (s *serviceCalls) plainUpstreams(n *Node) []Upstream {
	if s.plainServicesReadAt == n.members.list.readAt && len(s.plainServices) > 0 {
		return s.plainServices
	}
	s.plainServicesReadAt = n.members.list.readAt
	s.plainServices = nil
	for _, u := range n.members.upstreams() {
		if pool, ok := n.config.pool(u.Pool); ok && pool.Role == Plain {
			s.plainServices = append(s.plainServices, u)
		}
	}
	return s.plainServices
}

// usable reports whether a plain service may get new calls of a profile.
func (n *Node) usable(profile ProfileID, engine EngineID) bool {
	for _, u := range n.members.upstreams() {
		if u.ID == engine {
			return n.usableUpstream(profile, u)
		}
	}
	return false
}

// usableUpstream reports whether an upstream may get new calls of a profile: one of the
// profile's service pools contains it, it is not leaving and the pool is not withdrawn.
func (n *Node) usableUpstream(id ProfileID, u Upstream) bool {
	profile, ok := n.config.profile(id)
	if !ok || u.Leaving || !slices.Contains(profile.ServicePools, u.Pool) {
		return false
	}
	pool, ok := n.config.pool(u.Pool)
	return ok && !pool.Withdrawn && !slices.Contains(profile.Withdrawn, u.Pool)
}

// logCallDecision logs which upstream a call is sent to.
func logCallDecision(n *Node, call CallID, profile ProfileID, customer CustomerID, engine EngineID, attempt int) {
	n.do(LogDecision{Decision: Decision{
		At: n.now, Node: n.Self.ID, Request: RequestID(call), Attempt: Attempt(attempt),
		Profile: profile, Customer: customer, Step: "call", Decode: engine,
	}})
}
