package core

import (
	"math/rand/v2"
	"slices"
	"time"
)

// spreadStream is the stream of random numbers that stateSpread draws from.
const spreadStream = 1 << 32

const (
	// stateNearTargets and stateFarTargets are how many members of this node's failure
	// domain, and of others, a node notifies at once of a version that it has applied.
	stateNearTargets = 3
	stateFarTargets  = 3
	// stateNotifyEvery is the least time between two such rounds.
	stateNotifyEvery = 100 * time.Millisecond
	// stateQueryGrace is how long a node waits for its own read of the store before it
	// queries a peer for a later version.
	stateQueryGrace = 50 * time.Millisecond
	// These are fractions of StateDelay, within which a new version must be in force: how
	// long a response of the store may take to arrive, and an answer of a peer, before a
	// peer is queried again; and after which time without a response the read of the store
	// counts as hung.
	stateTransferFraction = 0.25
	stateRenewFraction    = 0.2
)

// StateTransferBegan reports that the store has begun to answer a read of the desired state.
type StateTransferBegan struct{}

// RenewStateRead ends a read of the desired state that waits for a later version, and reads
// again on another connection. The new read does not wait. If Latest is set, there is a later
// version, and the newest one is read.
type RenewStateRead struct{ Latest bool }

func (StateTransferBegan) isMessage() {}
func (RenewStateRead) isCommand()     {}

// stateSpread notifies peers of new versions of the desired state, and gets those that this
// node lacks. Reads of the store bring most versions; those that hang are renewed.
type stateSpread struct {
	// rng draws the members to notify. It is not the node's, so that the number of changes
	// has no effect on other draws.
	rng             *rand.Rand
	notifiedAt      Instant
	notifyScheduled bool
	// notified is the latest version of which peers were notified.
	notified int64
	// holder is a peer that has the latest version, or will have it soon, which
	// holderHasIt tells apart.
	holder      NodeID
	holderHasIt bool
	// parked are peers whose queries are answered once this node has the version that it
	// lacks.
	parked Set[NodeID]
	// queriedAt is when a peer was last queried, queried which one, and answered is set once
	// one has answered.
	queriedAt Instant
	queried   NodeID
	answered  bool
	// storeAt is when the store last began to answer a read, and receiving is set until the
	// answer has arrived.
	storeAt   Instant
	receiving bool
	// querying and renewing are set while the timers run that repeat query and renewHung.
	querying, renewing bool
}

func (s *stateSpread) start(n *Node) {
	s.rng = rand.New(rand.NewPCG(n.Seed, spreadStream))
}

// notify sends heartbeats, which name the latest version that this node knows of, to a few
// members that are not known to have it.
func (s *stateSpread) notify(n *Node) {
	latest := max(n.stateOffset(), n.knownStateOffset())
	if s.notifyScheduled || int64(latest) <= s.notified {
		return
	}
	if wait := stateNotifyEvery - n.now.Sub(s.notifiedAt); s.notifiedAt != 0 && wait > 0 {
		s.notifyScheduled = true
		n.afterFunc(wait, func(n *Node) {
			s.notifyScheduled = false
			s.notify(n)
		})
		return
	}
	s.notifiedAt, s.notified = n.now, int64(latest)
	near, far := stateNearTargets, stateFarTargets
	ids := sortedKeys(n.members.byID)
	s.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids {
		m := n.members.byID[id]
		left := &far
		if m.node.Domain == n.Self.Domain {
			left = &near
		}
		if *left > 0 && m.alive() && m.configOffset < latest {
			*left--
			n.members.detector.sendHeartbeat(n, id)
		}
	}
}

// randomMember returns a random member that is alive, if there is one.
func (s *stateSpread) randomMember(n *Node) (NodeID, bool) {
	ids := sortedKeys(n.members.byID)
	ids = slices.DeleteFunc(ids, func(id NodeID) bool { return !n.members.byID[id].alive() })
	if len(ids) == 0 {
		return "", false
	}
	return ids[s.rng.IntN(len(ids))], true
}

// learned handles the latest version that this node lacks, which a peer has, or will have
// soon. First is set if this node did not know of the version.
func (s *stateSpread) learned(n *Node, from NodeID, hasIt, first bool) {
	if hasIt || !s.holderHasIt || first {
		s.holder, s.holderHasIt = from, hasIt
	}
	s.notify(n)
	if !s.querying {
		s.querying = true
		n.afterFunc(stateQueryGrace, func(n *Node) { s.query(n) })
	}
	if !s.renewing {
		s.renewing = true
		s.scheduleRenewHung(n, n.now)
	}
}
