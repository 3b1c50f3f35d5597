package core

import (
	"slices"
	"time"
)

const (
	// ownerDelayDeviations is how many mean deviations above the mean delay of an owner's
	// first answers an entry waits for one.
	ownerDelayDeviations = 4
	// maxOwnerTimeout bounds that time: a request of the shortest objectives, 800 ms, can be
	// placed without its owner after it.
	maxOwnerTimeout = 300 * time.Millisecond
	// repeatedAskTime is the time within which a request for a placement that the owner has
	// already handled is the same one, asked again.
	repeatedAskTime = 2 * maxOwnerTimeout
)

// ownerDelays is how long owners take for their first answer to a request.
//
// Load pattern: messages between nodes take tens of milliseconds during a load peak. An entry
// that takes a slow owner for a dead one places its requests by itself for two seconds. All
// entries then compete for leases without regard to ranks and tenants, and requests with short
// objectives lose most.
type ownerDelays map[NodeID]*durationStats

// timeout returns how long an entry waits for the first answer of an owner.
func (d ownerDelays) timeout(owner NodeID) time.Duration {
	s, ok := d[owner]
	if !ok {
		return ownerTimeout
	}
	return min(max(time.Duration(s.mean+ownerDelayDeviations*s.deviation), ownerTimeout), maxOwnerTimeout)
}

// ownerTimeout returns how long a request waits for the first answer of its owner.
func (s *forwards) ownerTimeout(n *Node, f *forwardedRequest) time.Duration {
	if !s.toleratesSlowOwner(n, f) {
		return ownerTimeout
	}
	return s.ownerDelays.timeout(f.owner)
}

// maxAsks returns how often an owner is asked before it counts as unresponsive: a message may
// be lost with the connection on which it was sent.
func (s *forwards) maxAsks(n *Node, f *forwardedRequest) int {
	if !s.toleratesSlowOwner(n, f) {
		return 1
	}
	return 2
}

func (s *forwards) toleratesSlowOwner(n *Node, f *forwardedRequest) bool {
	return s.divides(f.group.Service) && n.uses(SlowOwners)
}

// ownerAsk is a request for a placement that its owner has not answered. gaveUp is set once the
// entry no longer waits for the answer.
type ownerAsk struct {
	owner  NodeID
	at     Instant
	gaveUp bool
}

// observeOwner observes the first answer of an owner to a request. It reports whether the entry had
// taken the owner for unresponsive, which it is not then, only slow.
func (s *forwards) observeOwner(n *Node, from NodeID, id ForwardID) (late bool) {
	f, ok := s.placed(id)
	if !ok || f.asked.owner != from || !s.toleratesSlowOwner(n, f) {
		return false
	}
	getOrCreate(s.ownerDelays, from).add(n.now.Sub(f.asked.at))
	late = f.asked.gaveUp && s.unresponsiveUntil[from] > n.now
	f.asked = ownerAsk{}
	if late {
		s.logDecision(n, f, "owner-late", NoReason)
	}
	return late
}

// returnToOwner has an owner place what waits at this node because the owner was slow.
func (s *forwards) returnToOwner(n *Node, owner NodeID) {
	delete(s.unresponsiveUntil, owner)
	for _, f := range slices.Clone(s.queue) {
		if f.phase == forwardWaiting && s.live[f.ID] == f && s.groupOwner(n, f.group) == owner {
			s.dequeue(f)
			s.requestPlacement(n, f)
		}
	}
}

// answerAgain answers an entry that asks again for a placement because no answer has reached it,
// and reports whether it does. One that has been denied or has failed is released before the
// entry asks for another.
func (d *dispatcher) answerAgain(n *Node, j *dispatchJob, m PlaceForward) bool {
	asked := n.now.Sub(max(j.addedAt, j.placedAt)) < repeatedAskTime
	if !asked || d.sharesOf(n, j.group) == nil || !n.uses(SlowOwners) || j.attempt != m.Attempt || slices.Contains(m.Avoid, j.decode) {
		return false
	}
	if j.waiting {
		n.send(j.key.node, ForwardQueued{ID: j.key.id})
		return true
	}
	n.send(j.key.node, ForwardPlaced{ID: j.key.id, Decode: j.decode, Prefill: j.prefill, PrefillAtDecode: j.prefillAtDecode, Memory: j.memory})
	return true
}

// reportPlacement reports to the owner of a group what a request holds that this node has placed by
// itself. Without that, an owner that was slow, or a new one, places requests for seconds where
// engines have no memory left, and none of them in its order.
func (s *forwards) reportPlacement(n *Node, f *forwardedRequest) {
	if f.owner != "" || !s.toleratesSlowOwner(n, f) || !n.uses(OwnedGroups) {
		return
	}
	if f.owner = s.groupOwner(n, f.group); f.owner != "" {
		f.placedAlone = true
		n.send(f.owner, ForwardHeld{ID: f.placement, Group: f.group, Decode: f.decode.ID, Memory: f.reserved})
	}
}
