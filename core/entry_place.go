package core

import (
	"slices"
	"time"
)

// maxPlaceTries bounds, for one request, the owners that do not answer and the
// rejections by owners that are shutting down.
const maxPlaceTries = 4

// place asks the owner of a suitable group of engines to place the request.
func (s *entry) place(n *Node, r *servedRequest) {
	profile, ok := n.config.profile(r.request.Profile)
	if !ok {
		s.placementFailed(n, r, UnknownProfile, time.Minute)
		return
	}
	g, ok := n.owner.groupFor(n, r, profile)
	if !ok {
		s.placementFailed(n, r, NoUpstream, n.jitteredDelay(noUpstreamRetryAfter))
		return
	}
	r.phase = waiting
	r.group = g.id
	r.askedAt = n.now
	r.acknowledged = false
	r.placed = Placed{}
	r.owner = n.placer(g, r.unreachable)
	s.sendPlace(n, r)
}

// placementFailed rejects a request that cannot be placed. A running stream that
// was to be moved continues on its present engine instead.
func (s *entry) placementFailed(n *Node, r *servedRequest, reason RejectionReason, after time.Duration) {
	if r.moving() {
		s.moveFailed(n, r)
		return
	}
	s.rejectServed(n, r, reason, after)
}

// noUpstreamRetryAfter is the lower bound of a caller's retry delay if no engine
// may serve its profile.
const noUpstreamRetryAfter = 2 * time.Second

// placer returns the node that places requests on a group: the group's owner, or
// the fallback owner if that one is unreachable. Without joint placement each
// node places its own requests.
func (n *Node) placer(g *group, unreachable Set[NodeID]) NodeID {
	if n.Policy.Placement != Joint {
		return n.Self.ID
	}
	owner := n.groupOwner(g)
	if !unreachable.Has(owner) {
		return owner
	}
	return n.members.fallbackOwner(n, g.region, groupKeyPrefix+string(g.id), unreachable)
}

// startPlaceTimeout calls placementTimedOut unless the request is placed within d.
// A later call replaces an earlier one, so that one Place does not time out twice.
func (s *entry) startPlaceTimeout(n *Node, r *servedRequest, d time.Duration) {
	r.placeTimeouts++
	allocation, timeout := r.allocation, r.placeTimeouts
	n.afterFunc(d, func(n *Node) {
		now, ok := n.entry.current(allocation)
		if !ok || now.phase != waiting || now.placeTimeouts != timeout {
			return
		}
		n.entry.placementTimedOut(n, now)
	})
}

// placementTimedOut handles a Place that timed out. It is repeated if the owner had
// queued it and is still a member; otherwise the request is placed through
// another owner, up to maxPlaceTries.
func (s *entry) placementTimedOut(n *Node, r *servedRequest) {
	if r.acknowledged && n.groupOwnerAlive(r.owner) {
		r.acknowledged = false
		s.sendPlace(n, r)
		return
	}
	r.unreachable.Add(r.owner)
	if r.moving() {
		s.reportEnded(n, r.owner, AttemptEnded{Allocation: r.allocation, Reason: Expired})
		s.moveFailed(n, r)
		return
	}
	if len(r.unreachable) >= maxPlaceTries || r.owner == n.Self.ID {
		s.endAttempt(n, r, Expired, "", 0)
		s.rejectServed(n, r, OwnerUnreachable, n.jitteredDelay(time.Second))
		return
	}
	s.endAttempt(n, r, Expired, "", 0)
	s.nextAttempt(n, r)
	s.place(n, r)
}

// sendPlace sends the request's Place to the owner. It may be sent again, because
// owners handle a Place idempotently.
func (s *entry) sendPlace(n *Node, r *servedRequest) {
	n.send(r.owner, Place{
		Allocation: r.allocation,
		Group:      r.group,
		Profile:    r.request.Profile,
		Customer:   r.request.Customer,
		Prompt:     r.request.Prompt,
		MaxTokens:  r.request.MaxTokens,
		Emitted:    r.emitted,
		Adopt:      r.request.Resumed,
		Retry:      r.placedBefore,
		Waited:     n.now.Sub(r.arrived),
		Source:     r.source,
		Avoid:      r.avoid,
	})
	s.startPlaceTimeout(n, r, n.Settings.PlaceTimeout)
}

// groupOwnerAlive reports whether a node that was asked for a placement is not
// known to be dead, and so may still answer.
func (n *Node) groupOwnerAlive(id NodeID) bool {
	return id == n.Self.ID || n.members.possiblyAlive(id)
}

func (s *entry) handlePlaceQueued(n *Node, b PlaceQueued) {
	r, ok := s.current(b.Allocation)
	if !ok || r.phase != waiting {
		return
	}
	r.acknowledged = true
	s.startPlaceTimeout(n, r, max(b.Expected, n.Settings.PlaceTimeout))
}

// handlePlaced starts the attempt that an owner promised in a Placed. If the Place
// was sent before this node was paused, the promise may have expired: it is
// declined, and the request is placed again.
func (s *entry) handlePlaced(n *Node, from NodeID, b Placed) {
	r, ok := s.requests[b.Allocation.Request]
	if !ok || !s.accepts(n, r, b) {
		s.decline(n, from, b)
		return
	}
	if r.askedAt < n.resumedAt {
		s.decline(n, from, b)
		s.nextAttempt(n, r)
		s.place(n, r)
		return
	}
	r.allocation = b.Allocation
	if !r.placedBefore {
		r.firstAttempt = b.Allocation.Attempt
	}
	r.placedBefore = true
	s.recordAttempt(n, r)
	r.placed = b
	r.owner = from
	s.updateMeanFirstToken(r.group, b.FirstToken)
	s.begin(n, r)
}

// accepts reports whether a promise answers the Place that the request waits
// for. Its attempt may be higher than the one sent, because the owner raises it
// above any other attempt of the request that it knows of.
func (s *entry) accepts(n *Node, r *servedRequest, b Placed) bool {
	return r.phase == waiting &&
		b.Allocation.Holder == n.Self.ID &&
		b.Allocation.Incarnation == n.Incarnation &&
		b.Allocation.Attempt >= r.allocation.Attempt
}

// decline notifies the owner that a promise is not used, unless its allocation
// is live.
func (s *entry) decline(n *Node, from NodeID, b Placed) {
	if s.live(b.Allocation) {
		return
	}
	s.reportEnded(n, from, AttemptEnded{Allocation: b.Allocation, Reason: Expired})
}

func (s *entry) updateMeanFirstToken(g GroupID, d time.Duration) {
	s.meanFirstToken[g] = (3*s.meanFirstToken[g] + d) / 4
}

// begin starts the first step of a promised attempt: an import if a stream is
// being moved, a decode if the engine already has the KV cache, and otherwise a
// prefill.
func (s *entry) begin(n *Node, r *servedRequest) {
	r.stepBegan = n.now
	switch {
	case r.placed.Source != "":
		s.startImport(n, r, r.placed.Source)
	case r.placed.Prefill == "":
		s.startDecode(n, r)
	default:
		s.startPrefill(n, r)
	}
	s.startStepTimeout(n, r)
}

func (s *entry) handlePlaceRefused(n *Node, b PlaceRefused) {
	r, ok := s.current(b.Allocation)
	if !ok || r.phase != waiting {
		return
	}
	switch {
	case r.moving():
		s.moveFailed(n, r)
	case b.Reason == Leaving:
		s.placeAfterRegroup(n, r)
	case b.Reason == NoCapacity && s.hasOtherGroup(n, r):
		s.nextAttempt(n, r)
		s.place(n, r)
	default:
		s.rejectServed(n, r, b.Reason, b.RetryAfter)
	}
}

// placeAfterRegroup places a request again that an owner rejected because it is
// shutting down. It waits for twice regroupDelay, after which this node may know
// another owner of the group.
func (s *entry) placeAfterRegroup(n *Node, r *servedRequest) {
	r.unreachable.Add(r.owner)
	r.leavingRejections++
	if r.leavingRejections > maxPlaceTries {
		s.rejectServed(n, r, Leaving, leavingRetryAfter)
		return
	}
	s.nextAttempt(n, r)
	allocation := r.allocation
	n.afterFunc(2*regroupDelay, func(n *Node) {
		if r, ok := n.entry.current(allocation); ok && r.phase == waiting {
			n.entry.place(n, r)
		}
	})
}

// hasOtherGroup records that the request's group has no capacity, and reports
// whether another group can be tried. At most one other group is tried.
func (s *entry) hasOtherGroup(n *Node, r *servedRequest) bool {
	r.fullGroups.Add(r.group)
	profile, ok := n.config.profile(r.request.Profile)
	if !ok || len(r.fullGroups) > 1 {
		return false
	}
	g, ok := n.owner.groupFor(n, r, profile)
	return ok && !r.fullGroups.Has(g.id)
}

// handleMoveAway handles an owner's request to move a running stream off its decode
// engine.
func (s *entry) handleMoveAway(n *Node, b MoveAway) {
	r, ok := s.current(b.Allocation)
	if !ok || r.phase != decoding || r.moving() {
		return
	}
	r.source = r.placed.Decode
	r.sourceAllocation = r.allocation
	r.sourceLost = false
	r.avoid = append(slices.Clone(r.avoid), r.source)
	s.nextAttempt(n, r)
	s.place(n, r)
}

// moveFailed continues a stream on the engine that it was to be moved off, or
// retries the request if the stream failed there during the move.
func (s *entry) moveFailed(n *Node, r *servedRequest) {
	r.allocation = r.sourceAllocation
	r.placed = Placed{Allocation: r.allocation, Decode: r.source}
	r.source = ""
	r.phase = decoding
	if r.sourceLost {
		s.retry(n, r, r.placed.Decode)
	}
}
