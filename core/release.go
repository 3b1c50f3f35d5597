package core

import "time"

// unacknowledgedEnd is an ended attempt that its owner has not acknowledged yet.
type unacknowledgedEnd struct {
	owner NodeID
	body  AttemptEnded
}

// releaseKey identifies an allocation on an engine that is being released.
type releaseKey struct {
	engine     EngineID
	allocation Allocation
}

const (
	// minReleaseBackoff and maxReleaseBackoff bound the retry delay of a release.
	minReleaseBackoff = 250 * time.Millisecond
	maxReleaseBackoff = 2 * time.Second
	// endedRetryAfter is the retry interval of an AttemptEnded message.
	endedRetryAfter = 500 * time.Millisecond
)

// endAttempt releases the memory that an attempt may hold and notifies its owner.
func (s *entry) endAttempt(n *Node, r *servedRequest, reason EndReason, failed EngineID, tokens Tokens) {
	n.releaseAll(r)
	if r.owner == "" {
		return
	}
	body := AttemptEnded{Allocation: r.allocation, Reason: reason, Tokens: tokens, FailedEngine: failed}
	if at, ok := r.firstAt.Get(); ok {
		body.Decoded = n.now.Sub(at)
	}
	s.reportEnded(n, r.owner, body)
}

// releaseAll releases the memory of an attempt on every engine that the attempt may
// have reached.
func (n *Node) releaseAll(r *servedRequest) {
	if r.moving() {
		n.release(r.source, r.sourceAllocation)
		n.entry.reportEnded(n, r.owner, AttemptEnded{Allocation: r.sourceAllocation, Reason: Failed})
		r.source = ""
	}
	if r.phase == waiting {
		return
	}
	if r.placed.Prefill != "" && r.phase != decoding {
		n.release(r.placed.Prefill, r.allocation)
	}
	if r.placed.Decode != "" && r.phase != prefilling {
		n.release(r.placed.Decode, r.allocation)
	}
}

// sendOwner sends a message to an owner, which may be this node.
func (s *entry) sendOwner(n *Node, owner NodeID, body PeerBody) {
	if owner != "" {
		n.send(owner, body)
	}
}

// reportEnded notifies an owner that an attempt has ended, and retries until the owner
// acknowledges it.
func (s *entry) reportEnded(n *Node, owner NodeID, body AttemptEnded) {
	if owner == "" {
		return
	}
	if _, pending := s.unacknowledgedEnds[body.Allocation]; pending {
		return
	}
	s.unacknowledgedEnds[body.Allocation] = &unacknowledgedEnd{owner: owner, body: body}
	s.sendEnded(n, body.Allocation)
}

func (s *entry) sendEnded(n *Node, a Allocation) {
	e, ok := s.unacknowledgedEnds[a]
	if !ok {
		return
	}
	if !n.groupOwnerAlive(e.owner) {
		delete(s.unacknowledgedEnds, a)
		return
	}
	n.send(e.owner, e.body)
	n.afterFunc(endedRetryAfter, func(n *Node) { n.entry.sendEnded(n, a) })
}

func (s *entry) handleEndedAck(_ *Node, b AttemptEndedAck) {
	delete(s.unacknowledgedEnds, b.Allocation)
}

// handleHolderQuery answers an owner that asks which allocations are still in use.
func (s *entry) handleHolderQuery(n *Node, from NodeID, b HolderQuery) {
	var ended []Allocation
	for _, a := range b.Allocations {
		if !s.live(a) {
			ended = append(ended, a)
		}
	}
	n.send(from, HolderAnswer{Asked: b.Allocations, Ended: ended})
}

// live reports whether an allocation may still be used.
func (s *entry) live(a Allocation) bool {
	r, ok := s.requests[a.Request]
	if !ok {
		return false
	}
	return r.allocation == a || (r.moving() && r.sourceAllocation == a)
}

// release frees an allocation on an engine, and retries until the engine
// acknowledges it.
func (n *Node) release(engine EngineID, a Allocation) {
	key := releaseKey{engine: engine, allocation: a}
	if _, pending := n.releases[key]; pending {
		return
	}
	n.releases[key] = minReleaseBackoff
	n.sendRelease(key)
}

func (n *Node) sendRelease(key releaseKey) {
	wait, pending := n.releases[key]
	if !pending {
		return
	}
	if n.owner.missingFromVMList(key.engine) {
		delete(n.releases, key)
		delete(n.heldAllocations, key)
		return
	}
	n.do(ReleaseMemory{Engine: key.engine, Allocation: key.allocation})
	n.releases[key] = min(2*wait, maxReleaseBackoff)
	n.afterFunc(n.jitter(wait), func(n *Node) { n.sendRelease(key) })
}

func (n *Node) handleReleaseDone(m ReleaseDone) {
	key := releaseKey{engine: m.Engine, allocation: m.Allocation}
	delete(n.releases, key)
	delete(n.heldAllocations, key)
}

// handleReleaseFailed needs no action: the release is retried until it is
// acknowledged.
func (n *Node) handleReleaseFailed(_ ReleaseFailed) {}
