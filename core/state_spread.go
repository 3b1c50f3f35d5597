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
	// peer is queried again; after which time without a response the read of the store
	// counts as hung; and the period at which the readers renew a waiting read.
	stateTransferFraction = 0.25
	stateRenewFraction    = 0.2
	stateReaderFraction   = 0.5
)

// StateTransferBegan reports that the store has begun to answer a read of the desired state.
type StateTransferBegan struct{}

// RenewStateRead ends a read of the desired state that waits for a later version, and reads
// again. If Latest is set, there is a later version, and the newest one is read.
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
	s.scheduleRenewal(n)
}

// scheduleRenewal has the readers renew their waiting reads, in case these hang on all
// nodes. It sets a new timer each time because StateDelay may have changed.
func (s *stateSpread) scheduleRenewal(n *Node) {
	period := fractionOf(n.Settings.StateDelay, stateReaderFraction)
	n.afterFunc(period, func(n *Node) {
		if n.forward.stateKnown && n.now.Sub(s.storeAt) >= period && n.readerRank() < feedReaders {
			n.do(RenewStateRead{})
		}
		s.scheduleRenewal(n)
	})
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

// query asks a peer for the latest version, unless this node has it, receives it from the
// store or waits for an answer. It repeats itself until this node has the version.
func (s *stateSpread) query(n *Node) {
	if !n.forward.lag.behind() {
		s.querying = false
		return
	}
	patience := fractionOf(n.Settings.StateDelay, stateTransferFraction)
	receiving := s.receiving && n.now.Sub(s.storeAt) < patience
	waiting := s.queriedAt != 0 && !s.answered && n.now.Sub(s.queriedAt) < s.answerPatience(patience)
	if !receiving && !waiting {
		s.sendQuery(n, s.holder, StateQuery{})
	}
	n.afterFunc(max(patience/2, stateQueryGrace), func(n *Node) { s.query(n) })
}

// answerPatience returns how long this node waits for an answer: half as long once another
// peer is known to have the version.
func (s *stateSpread) answerPatience(patience time.Duration) time.Duration {
	if s.holderHasIt && s.holder != s.queried {
		return patience / 2
	}
	return patience
}

func (s *stateSpread) sendQuery(n *Node, to NodeID, q StateQuery) {
	s.queriedAt, s.queried, s.answered = n.now, to, false
	n.send(to, q)
}

// park keeps a query until this node has the version that it lacks, and reports whether it
// does. A query for the list of upstreams is answered at once.
func (s *stateSpread) park(n *Node, from NodeID, q StateQuery) bool {
	if q.Upstreams || !n.forward.lag.behind() {
		return false
	}
	if s.parked == nil {
		s.parked = Set[NodeID]{}
	}
	s.parked.Add(from)
	return true
}

// answerParked answers the parked queries with a version that has just been applied.
func (s *stateSpread) answerParked(n *Node) {
	for _, id := range sortedKeys(s.parked) {
		n.forward.answerStateQuery(n, id, StateQuery{})
	}
	clear(s.parked)
}

// renewHung renews the read of the store if the store has not begun to answer it since this
// node learned that there is a later version. It repeats itself while this node lacks one.
func (s *stateSpread) renewHung(n *Node, learnedAt Instant) {
	behind := n.forward.lag.behind()
	hung := s.storeAt < learnedAt
	if hung {
		n.do(RenewStateRead{Latest: behind})
	}
	if s.renewing = hung && behind; s.renewing {
		s.scheduleRenewHung(n, learnedAt)
	}
}

func (s *stateSpread) scheduleRenewHung(n *Node, learnedAt Instant) {
	n.afterFunc(fractionOf(n.Settings.StateDelay, stateRenewFraction), func(n *Node) { s.renewHung(n, learnedAt) })
}
