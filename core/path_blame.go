package core

import (
	"maps"
	"slices"
	"strings"
)

// pathBlame is what was recorded against upstreams for failures on one path to them: what was known
// of each before, and the ends of upstreams that were reported.
type pathBlame struct {
	upstreams map[EngineID]upstreamHealth
	crashes   map[EngineCrash]Instant
}

// upstreamHealth is what was recorded of an upstream's failures at an instant.
type upstreamHealth struct {
	at          Instant
	failures    int
	avoidUntil  Instant
	successRate float64
}

// failsAt reports whether a failure on a path may be that of the path: this node's own if relay is
// empty, and that of the relay otherwise.
func (s *isolation) failsAt(n *Node, relay NodeID) bool {
	if relay == "" {
		return s.doubtful(n)
	}
	m, ok := n.members.byID[relay]
	return ok && m.node.Isolated
}

// blameOn returns the record of a path, without what is too old to be withdrawn.
func (s *isolation) blameOn(n *Node, relay NodeID) pathBlame {
	for path, b := range s.blamed {
		maps.DeleteFunc(b.upstreams, func(_ EngineID, before upstreamHealth) bool { return n.now.Sub(before.at) > failureWindow })
		maps.DeleteFunc(b.crashes, func(_ EngineCrash, at Instant) bool { return n.now.Sub(at) > failureWindow })
		if len(b.upstreams)+len(b.crashes) == 0 {
			delete(s.blamed, path)
		}
	}
	b, ok := s.blamed[relay]
	if !ok {
		b = pathBlame{upstreams: map[EngineID]upstreamHealth{}, crashes: map[EngineCrash]Instant{}}
		s.blamed[relay] = b
	}
	return b
}

// recordBlame notes what was known of an upstream before a failure on a path is recorded.
func (s *isolation) recordBlame(n *Node, relay NodeID, u *upstream) {
	b := s.blameOn(n, relay)
	if _, noted := b.upstreams[u.ID]; !noted {
		b.upstreams[u.ID] = upstreamHealth{n.now, u.failures, u.avoidUntil, u.successRate}
	}
}

// recordCrash notes that the end of an upstream, seen on a path, was reported.
func (s *isolation) recordCrash(n *Node, relay NodeID, crash EngineCrash) {
	s.blameOn(n, relay).crashes[crash] = n.now
}

// withdrawBlame takes back the failures that were recorded since the first one that belongs to a
// path.
func (s *isolation) withdrawBlame(n *Node, relay NodeID) {
	b := s.blameOn(n, relay)
	delete(s.blamed, relay)
	for id, before := range b.upstreams {
		if u, ok := n.forward.upstreams.byID[id]; ok {
			u.failures, u.avoidUntil, u.successRate, u.fullUntil = before.failures, before.avoidUntil, before.successRate, 0
			n.dispatcher.allocation(id).deniedUntil = 0
		}
	}
	answered := slices.SortedFunc(maps.Keys(b.crashes), func(a, b EngineCrash) int {
		return strings.Compare(string(a.Engine), string(b.Engine))
	})
	if len(answered) == 0 {
		return
	}
	for _, crash := range answered {
		n.forward.retract(n, crash)
	}
	n.broadcast(SuspectsReported{Answered: answered})
}
