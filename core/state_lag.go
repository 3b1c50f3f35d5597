package core

import "time"

const (
	// staleStateFraction is the part of StateDelay for which a node serves by a desired state
	// that it knows to be older than that of most peers.
	staleStateFraction = 0.5
	// lostStateFraction is the part of StateDelay for which no peer may have had a later version
	// before an answer of the store without it shows that the version is lost.
	lostStateFraction = 1.0
	// maxLacking bounds the later versions that a node remembers to lack.
	maxLacking = 16
)

// lackingVersion is a version of the desired state that a peer has and this node lacks.
type lackingVersion struct {
	version int64
	// since is when this node learned of the version.
	since Instant
}

// stateLag tracks the later versions of the desired state that peers have named. Its zero
// value is that of a node that knows of none.
type stateLag struct {
	// lacking are the versions in ascending order.
	lacking []lackingVersion
	// current and older count the messages of peers that have named the first of lacking or
	// a later version, and an older one, since this node learned of it.
	current, older int
	// heldAt is when a peer last had a later version than this node. lost is the latest version
	// that counts as lost: only a peer that has it makes this node lack it again.
	heldAt Instant
	lost   int64
}

// behind reports whether a peer has a later version.
func (l *stateLag) behind() bool { return len(l.lacking) > 0 }

// latest returns the latest version that this node lacks, or zero.
func (l *stateLag) latest() int64 {
	if len(l.lacking) == 0 {
		return 0
	}
	return l.lacking[len(l.lacking)-1].version
}

// credible returns the latest version that a peer knows of and that is not lost, where has is the
// one that it has.
func (l *stateLag) credible(has, known int64) int64 {
	if known <= l.lost {
		return has
	}
	return known
}

// observe records the version that a peer has, and the latest that it knows of, where own
// is the version of this node. It reports whether the latter is the first that this node
// lacks.
func (l *stateLag) observe(now Instant, own, has, known int64) (first bool) {
	if has > own {
		l.heldAt = now
	}
	first = len(l.lacking) == 0 && known > own
	switch {
	case known <= max(own, l.latest()):
	case len(l.lacking) == maxLacking:
		l.lacking[maxLacking-1].version = known
	default:
		l.lacking = append(l.lacking, lackingVersion{version: known, since: now})
	}
	if len(l.lacking) == 0 {
		return false
	}
	if has >= l.lacking[0].version {
		l.current++
	} else {
		l.older++
	}
	return first
}

// apply removes the versions up to the one that this node has applied, and returns for how
// long it had known of the first of them.
func (l *stateLag) apply(now Instant, version int64) time.Duration {
	if !l.behind() || l.lacking[0].version > version {
		return 0
	}
	lag := now.Sub(l.lacking[0].since)
	n := 0
	for n < len(l.lacking) && l.lacking[n].version <= version {
		n++
	}
	l.lacking = l.lacking[n:]
	l.current, l.older = 0, 0
	return lag
}

// giveUpLost gives up the lacking versions if they are lost, because the store had none of them at
// asOf and no peer had one for patience before that. Peers that lack a version too name it to each
// other for good otherwise, also to those that start later. It returns the latest of them.
func (l *stateLag) giveUpLost(asOf Instant, patience time.Duration) (version int64, lost bool) {
	if !l.behind() || asOf.Sub(max(l.heldAt, l.lacking[len(l.lacking)-1].since)) < patience {
		return 0, false
	}
	l.lost = l.latest()
	l.lacking, l.current, l.older = nil, 0, 0
	return l.lost, true
}

// stale reports whether this node has lacked a version for limit or longer that most
// peers have. While most lack it as well, as in an outage of the store, serving by the
// older version is better than not serving at all.
func (l *stateLag) stale(now Instant, limit time.Duration) bool {
	return l.lasting(now, limit) && l.current > l.older
}

// lasting reports whether this node has lacked a version for limit or longer.
func (l *stateLag) lasting(now Instant, limit time.Duration) bool {
	return l.behind() && now.Sub(l.lacking[0].since) >= limit
}

// observeStateVersion records the version of the desired state that a peer has, and the
// latest that it knows of. The first one that this node lacks is logged.
func (s *forwards) observeStateVersion(n *Node, from NodeID, has, known int64) {
	before, known := s.lag.latest(), s.lag.credible(has, known)
	first := s.lag.observe(n.now, s.state.Version, has, known)
	if s.lag.behind() && known == s.lag.latest() {
		s.spread.learned(n, from, has == known, known > before)
	}
	s.updateReady(n)
	if !first {
		return
	}
	n.do(LogDecision{Decision: Decision{At: n.now, Node: n.Self.ID, Step: "behind", Version: known, Detail: string(from)}})
	n.afterFunc(n.staleStateLimit(), func(n *Node) { s.updateReady(n) })
}

// staleStateLimit returns for how long this node serves by a state that it knows to be old.
func (n *Node) staleStateLimit() time.Duration {
	return fractionOf(n.Settings.StateDelay, staleStateFraction)
}

// knowsLatest reports whether no later version of the desired state is known, and the proof
// that there is none is not overdue.
func (s *forwards) knowsLatest(n *Node) bool {
	return !s.lag.behind() && !s.proof.olderThan(n, overdueProofFraction)
}

// servesState reports whether requests may be served by this node's desired state.
func (s *forwards) servesState(n *Node) bool {
	return s.stateKnown && !s.lag.stale(n.now, n.staleStateLimit())
}

// giveUpLostState stops waiting for later versions that are lost, after an answer of the store that
// had none of them at asOf.
func (s *forwards) giveUpLostState(n *Node, asOf Instant) {
	version, lost := s.lag.giveUpLost(asOf, fractionOf(n.Settings.StateDelay, lostStateFraction))
	if !lost {
		return
	}
	// Peers are notified again if one has it after all.
	s.spread.notified = min(s.spread.notified, s.state.Version)
	s.updateReady(n)
	n.do(LogDecision{Decision: Decision{At: n.now, Node: n.Self.ID, Step: "state-lost", Version: version}})
}
