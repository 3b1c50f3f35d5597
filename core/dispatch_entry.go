package core

import "time"

const (
	// ownerTimeout is how long an entry waits for an owner's first answer. It
	// delays a request by that much when the owner has died or hangs.
	ownerTimeout = 80 * time.Millisecond
	// ownerUnresponsiveFor is how long no placement is requested from an owner
	// that did not answer.
	ownerUnresponsiveFor = 2 * time.Second
)

// requestPlacement asks the owner of a group of engines to place a request. If
// there is no owner, or it does not answer, this node places the request by
// itself.
func (s *forwards) requestPlacement(n *Node, f *forwardedRequest) {
	if n.pathless() {
		s.end(n, f, NoUpstream, n.jitter(pathRetryAfter))
		return
	}
	if quiet := s.quietFor(n, f); quiet > 0 {
		s.end(n, f, NoCapacity, quiet)
		return
	}
	if s.versionGone(f) {
		s.endWithoutVersion(n, f)
		return
	}
	f.group = s.groupFor(n, f)
	f.prefillAtDecode = false
	owner := s.groupOwner(n, f.group)
	if owner == "" || !n.uses(OwnedGroups) || s.unresponsiveUntil[owner] > n.now {
		s.placeLocally(n, f)
		return
	}
	if !n.usage.reports.knows(n, owner, usageProtocol) && s.mustCharge(n, f) {
		// The owner does not know of usage caps.
		s.charge(n, f, s.requestPlacement)
		return
	}
	f.phase = forwardAwaitingOwner
	f.owner = owner
	f.ownerAcked = false
	f.asked = ownerAsk{owner: owner, at: n.now}
	f.placedAlone = false
	s.askOwner(n, f, 1)
}

// askOwner sends the request for a placement to the owner, the first time or once more, and
// waits for its first answer.
func (s *forwards) askOwner(n *Node, f *forwardedRequest, times int) {
	g, _ := f.Generation.Get()
	f.step++
	n.send(f.owner, PlaceForward{
		ID: f.placement, Group: f.group, Prompt: f.prompt(), Expected: f.expectedOutput(), MaxOutput: g.MaxOutput, Rank: f.rank,
		OnTime: f.latestOnTime.Sub(n.now), Patience: f.callerDeadline.Sub(n.now), Objective: f.objective, MaxPause: f.route.MaxPause,
		Waited: f.waited(n.now), PromptKey: g.PromptKey, Attempt: f.Attempt, Version: f.version, Again: f.sends > 0, Avoid: s.unwanted(n, f),
		Tenant: f.tenant, Usage: s.usageOf(n, f), Charged: f.charged,
	})
	step := f.step
	s.whileLive(n, f, s.ownerTimeout(n, f), func(n *Node) {
		if s.live[f.ID] != f || f.step != step || f.ownerAcked {
			return
		}
		if times < s.maxAsks(n, f) {
			s.askOwner(n, f, times+1)
			return
		}
		f.asked.gaveUp = true
		s.unresponsiveUntil[f.owner] = n.now.Add(n.jitter(ownerUnresponsiveFor))
		s.logDecision(n, f, "owner-silent", OwnerUnreachable)
		s.releaseAtOwner(n, f)
		s.placeLocally(n, f)
	})
}

// releaseAtOwner notifies the owner that the request holds nothing any more.
func (s *forwards) releaseAtOwner(n *Node, f *forwardedRequest) {
	if f.owner != "" {
		n.send(f.owner, ForwardReleased{ID: f.placement, Outcome: f.outcome, Output: f.output, NotRun: f.notRun || s.mustCharge(n, f)})
		f.owner = ""
	}
	f.outcome = RunUnknown
}

// placed returns the live request to which a placement belongs; nil if there is none. It
// reports whether the placement is the request's present one.
func (s *forwards) placed(id ForwardID) (*forwardedRequest, bool) {
	f, ok := s.live[id&^secondPlacement]
	return f, ok && f.placement == id
}

// handleQueued records that the owner has queued the request.
func (s *forwards) handleQueued(n *Node, from NodeID, m ForwardQueued) {
	if s.observeOwner(n, from, m.ID) {
		defer s.returnToOwner(n, from)
	}
	if f, ok := s.placed(m.ID); ok && f.phase == forwardAwaitingOwner && f.owner == from {
		f.ownerAcked = true
		f.charged = true
	}
}

// handlePlaced requests the lease at the engine that the owner chose, or sends a
// plain request to its upstream.
func (s *forwards) handlePlaced(n *Node, from NodeID, m ForwardPlaced) {
	if s.observeOwner(n, from, m.ID) {
		defer s.returnToOwner(n, from)
	}
	f, ok := s.placed(m.ID)
	if !ok || f.phase != forwardAwaitingOwner || f.owner != from {
		if held := ok && f.owner == from || f.holdsSilently(from, m.ID); !held {
			n.send(from, ForwardReleased{ID: m.ID})
		}
		return
	}
	u, ok := s.upstreams.byID[m.Decode]
	if ok && (u.leaving() || u.quiet(n.now)) {
		s.releaseAtOwner(n, f)
		s.requestPlacement(n, f)
		return
	}
	if !ok || !u.usable() || u.Service != f.spec.ID || !f.fits(u) {
		s.releaseAtOwner(n, f)
		s.placeLocally(n, f)
		return
	}
	f.placer = from
	f.charged = true
	if _, engine := f.spec.Engine.Get(); !engine {
		s.runPlainAt(n, f, u)
		return
	}
	f.advisedPrefill, f.prefillAtDecode = m.Prefill, m.PrefillAtDecode
	s.requestLease(n, f, u, m.Memory)
}

// handleOwnerRejection rejects a request that the owner cannot place in time.
func (s *forwards) handleOwnerRejection(n *Node, from NodeID, m ForwardTurnedAway) {
	if s.observeOwner(n, from, m.ID) {
		defer s.returnToOwner(n, from)
	}
	f, ok := s.placed(m.ID)
	if !ok || f.phase != forwardAwaitingOwner || f.owner != from {
		return
	}
	// The rejection may be that of an earlier placement with this id. Releasing the present
	// one is of no effect if the owner has none.
	s.releaseAtOwner(n, f)
	if f.sends == 0 {
		s.chargeReturned(n, f, from)
	}
	if m.OverCap {
		s.end(n, f, OverShare, m.RetryAfter)
		return
	}
	s.end(n, f, NoCapacity, m.RetryAfter)
}

// placesReportDelay is how long after a node has learned that others take it for dead it reports what
// it holds a second time: they learn of that, and release it, at different times.
const placesReportDelay = time.Second

// reportPlacesAgain reports to owners what this node's requests hold, because the owners may have
// taken it for dead and have released that. Those that have not ignore it.
func (s *forwards) reportPlacesAgain(n *Node) {
	n.do(LogDecision{Decision: Decision{At: n.now, Node: n.Self.ID, Step: "taken-for-dead", Tokens: Tokens(len(s.live))}})
	s.reportPlaces(n)
	n.afterFunc(placesReportDelay, s.reportPlaces)
}

func (s *forwards) reportPlaces(n *Node) {
	for _, id := range sortedKeys(s.live) {
		f := s.live[id]
		if run := f.silent; run != nil && run.owner != "" {
			n.send(run.owner, ForwardHeld{ID: run.placement, Group: run.group, Decode: run.engine.ID, Memory: run.reserved})
		}
		if f.owner != "" && f.decode != nil {
			n.send(f.owner, ForwardHeld{ID: f.placement, Group: f.group, Decode: f.decode.ID, Memory: f.reserved})
		}
	}
}

// ownersChanged notifies new owners of what requests hold at their engines, and
// requests a new placement for those that waited at the old owners.
func (s *forwards) ownersChanged(n *Node) {
	for _, id := range sortedKeys(s.live) {
		f, ok := s.live[id]
		if !ok {
			// The end of another request in this loop has ended this one too.
			continue
		}
		s.silentOwnerChanged(n, f)
		if f.owner == "" {
			continue
		}
		owner := s.groupOwner(n, f.group)
		if owner == f.owner || owner == "" {
			continue
		}
		if f.phase == forwardAwaitingOwner {
			s.logDecision(n, f, "owner-changed", NoReason)
			s.releaseAtOwner(n, f)
			s.requestPlacement(n, f)
			continue
		}
		if f.decode != nil {
			s.releaseAtOwner(n, f)
			f.owner = owner
			n.send(owner, ForwardHeld{ID: f.placement, Group: f.group, Decode: f.decode.ID, Memory: f.reserved})
		}
	}
}
