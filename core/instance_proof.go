package core

import "time"

const (
	// feedMaxReads is how many reads of the store a node has in flight at most, and
	// feedHungAfter is after which time without a response a second one is started.
	feedMaxReads  = 2
	feedHungAfter = 250 * time.Millisecond
)

// listProof is the time as of which the list of upstreams is known to be complete. Changes that peers
// forward prove nothing: their delay is unknown, and a node that was paused handles old ones.
type listProof struct {
	freshness
	// readAt is when the last read was started that was made for a proof alone. If that fails,
	// the list may still be up to date.
	readAt Instant
	// retryScheduled is set while a timer waits for a read that may hang.
	retryScheduled bool
}

// provenAt returns an instant at which the store held no entry of an upstream that this node
// had not read; zero if there is none yet.
func (s *instanceFeed) provenAt() Instant { return s.proof.at }

// proveAfter calls then once provenAt is not earlier than at, which must not be in the future.
// It reads the store if no read does that started late enough. If a read fails, or timeout
// passes, it calls then with proven unset. It may call then before it returns.
func (s *instanceFeed) proveAfter(n *Node, at Instant, timeout time.Duration, then func(n *Node, proven bool)) {
	if s.proof.await(n, at, timeout, then) {
		s.readForProof(n)
	}
}

// readForProof starts a read if a proof is waited for that no read in flight can bring, unless
// the latest read may soon be answered.
func (s *instanceFeed) readForProof(n *Node) {
	latest := Instant(0)
	for _, started := range s.reads {
		latest = max(latest, started)
	}
	if !s.proof.awaits(latest) {
		return
	}
	if hungAt := latest.Add(feedHungAfter); len(s.reads) > 0 && n.now < hungAt {
		if !s.proof.retryScheduled {
			s.proof.retryScheduled = true
			n.afterFunc(hungAt.Sub(n.now), func(n *Node) {
				s.proof.retryScheduled = false
				s.readForProof(n)
			})
		}
		return
	}
	if s.startRead(n) {
		s.proof.readAt = n.now
	}
}

// proved records a complete read that was started at an instant.
func (s *instanceFeed) proved(n *Node, started Instant) {
	s.proof.readEnded(n, started, true)
	s.readForProof(n)
}

// notProved records the failure of a read that was started at an instant.
func (s *instanceFeed) notProved(n *Node, started Instant) {
	s.proof.readEnded(n, started, false)
	s.readForProof(n)
}
