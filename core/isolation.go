package core

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// failureWindow is how long a failure on a path counts.
	failureWindow = 2 * time.Second
	// minIsolating is how many upstreams a node must fail to connect to, and a relay reach one
	// of them, before the node is isolated. minUnreached is how many it must be if no relay
	// answers.
	minIsolating = 2
	minUnreached = 4
	// minReached is how many upstreams a node must reach before it is isolated no more.
	minReached = 2
	// probeEvery is the period of probes of an isolated node, and the least time between two
	// probes of one upstream before that. maxProbes bounds the probes in one period.
	probeEvery = time.Second
	maxProbes  = 6
	// probeTimeout is the time within which probes of other upstreams end. Without a relay, only
	// they show whether several upstreams failed together.
	probeTimeout = 500 * time.Millisecond
	// noAnswerAfter is how long a lease request may have no answer until its upstream is
	// probed.
	noAnswerAfter = 100 * time.Millisecond
)

// isolation detects that this node is partitioned from the upstreams, by the outcomes of direct
// connections to them. Failures of one upstream are that upstream's; so are those of
// several if relays do not reach them either.
type isolation struct {
	isolated bool
	since    Instant
	// unreached are the last failures of direct connections to upstreams, since the last one that
	// worked, and relayed the last successes through relays.
	unreached map[EngineID]pathFailure
	relayed   map[EngineID]pathSuccess
	// failingSince is when the first of the failures was.
	failingSince Instant
	// opens says that the failures by which the node is isolated were of connections that opened.
	opens bool
	// reached are the upstreams to which an isolated node could connect, without a failure
	// since.
	reached Set[EngineID]
	// probed is when an upstream was last probed.
	probed map[EngineID]Instant
	// blamed are the failures that were recorded against upstreams, by the relay of the path; of
	// this node's own path, since the last direct connection.
	blamed map[NodeID]pathBlame
	// held are ends of upstreams that are not reported, because failures of others may be those of
	// this node's own path.
	held       []heldCrash
	checksHeld bool
}

// pathFailure is a failure of a direct connection. opened says that it opened, and was not answered.
type pathFailure struct {
	at     Instant
	opened bool
}

// pathSuccess is a connection through a relay. answeredAt is when one was last answered; zero if
// none was.
type pathSuccess struct{ at, answeredAt Instant }

func (s *isolation) start() {
	s.blamed = map[NodeID]pathBlame{}
	s.clear()
	s.probed = map[EngineID]Instant{}
}

func (s *isolation) clear() {
	s.unreached, s.relayed, s.reached = map[EngineID]pathFailure{}, map[EngineID]pathSuccess{}, Set[EngineID]{}
	delete(s.blamed, "")
}

// doubtful reports whether failures may be those of this node's own path: it is isolated, or
// direct connections to several upstreams have failed since the last one that opened.
func (s *isolation) doubtful(n *Node) bool {
	return s.isolated || s.recentlyUnreached(n) >= minIsolating
}

// recentlyUnreached returns how many upstreams could not be reached within failureWindow, and
// drops the others.
func (s *isolation) recentlyUnreached(n *Node) int {
	maps.DeleteFunc(s.unreached, func(_ EngineID, f pathFailure) bool { return n.now.Sub(f.at) > failureWindow })
	maps.DeleteFunc(s.relayed, func(_ EngineID, r pathSuccess) bool { return n.now.Sub(r.at) > failureWindow })
	return len(s.unreached)
}

// unopened returns to how many upstreams no direct connection opens. Without a relay, those that
// open and are not answered may be of upstreams that are silent for a moment.
func (s *isolation) unopened() int {
	count := 0
	for _, f := range s.unreached {
		if !f.opened {
			count++
		}
	}
	return count
}

// outlasted reports whether a direct connection failed although the upstream could be reached: at
// about the same time, or still after that. One that opened has to fail still after the upstream has
// answered, as the upstream may have been silent for a moment.
func (r pathSuccess) outlasted(f pathFailure) bool {
	if f.opened {
		return r.answeredAt != 0 && f.at > r.answeredAt
	}
	return r.at.Sub(f.at) <= probeTimeout
}

// onlyRelayed returns the upstreams that a relay reached and direct connections did not.
func (s *isolation) onlyRelayed() []EngineID {
	return slices.DeleteFunc(sortedKeys(s.relayed), func(id EngineID) bool {
		f, unreached := s.unreached[id]
		return !unreached || !s.relayed[id].outlasted(f)
	})
}

// observeConnection handles the outcome of a connection to an upstream.
func (s *isolation) observeConnection(n *Node, m ConnectionObserved) {
	switch {
	case m.Relay != "":
		n.relayChoice.observe(n, m)
		s.observeRelayed(n, m)
	case m.Outcome == Answered || m.Outcome == Connected && !s.acceptedOnly():
		s.observeReached(n, m.Engine)
		return
	case m.Outcome == Connected:
		// Connections open, and it is not known whether they are answered.
		return
	case s.isolated && (m.Outcome == Unanswered && !s.opens || m.Outcome == ConnectBroken && n.pathless()):
		// It opened, as none did when the isolation began.
		s.observeReached(n, m.Engine)
		return
	case s.isolated:
		s.reached = Set[EngineID]{}
	default:
		if s.recentlyUnreached(n) == 0 {
			s.failingSince = n.now
		}
		f := pathFailure{at: n.now, opened: m.Outcome == Unanswered || m.Outcome == ConnectBroken}
		s.unreached[m.Engine] = f
		if !f.opened {
			n.forward.settleHeld(n, m.Engine, true)
		}
		s.probeMore(n)
	}
	s.consider(n)
}

// acceptedOnly reports whether direct connections have opened and not been answered, so that one
// that opens says nothing.
func (s *isolation) acceptedOnly() bool {
	if s.isolated {
		return s.opens
	}
	for _, f := range s.unreached {
		if f.opened {
			return true
		}
	}
	return false
}

// observeRelayed records that a relay reached an upstream. If a direct connection to it failed before,
// another one is probed.
func (s *isolation) observeRelayed(n *Node, m ConnectionObserved) {
	if s.isolated || m.Outcome != Connected && m.Outcome != Answered {
		return
	}
	r := s.relayed[m.Engine]
	r.at = n.now
	f, unreached := s.unreached[m.Engine]
	answers := m.Outcome == Answered && (r.answeredAt == 0 || f.at > r.answeredAt)
	if answers {
		r.answeredAt = n.now
	}
	s.relayed[m.Engine] = r
	if u, ok := n.forward.upstreams.byID[m.Engine]; ok && unreached && !r.outlasted(f) && (answers || !f.opened) {
		n.do(ProbeUpstream{Engine: u.ID, Address: u.Address})
	}
}

// observeReached handles a direct connection. One is enough before the node is isolated; some
// are needed to end that.
func (s *isolation) observeReached(n *Node, id EngineID) {
	if !s.isolated {
		s.clear()
		n.forward.settleHeld(n, id, false)
		return
	}
	s.reached.Add(id)
	if len(s.reached) >= min(minReached, len(n.forward.upstreams.byID)) {
		s.set(n, false, "direct connections to "+joinIDs(s.reached.Sorted()))
		return
	}
	s.probeAny(n)
}

// consider makes the node isolated if the failures show that.
func (s *isolation) consider(n *Node) {
	if s.isolated {
		return
	}
	unreached := s.recentlyUnreached(n)
	if unreached < minIsolating {
		return
	}
	detail := "no direct connection to " + joinIDs(sortedKeys(s.unreached))
	switch relays, relayed := n.relayChoice.usable(n), s.onlyRelayed(); {
	case len(relayed) > 0:
		s.set(n, true, detail+"; relays reach "+joinIDs(relayed))
	case len(relays) == 0 && n.relayChoice.confirmsFailures(n):
		// Upstreams that relays cannot reach either have failed.
	case len(relays) == 0 && s.unopened() >= min(minUnreached, len(n.forward.upstreams.byID)):
		if wait := probeTimeout - n.now.Sub(s.failingSince); wait > 0 {
			n.afterFunc(wait, func(n *Node) { s.consider(n) })
			return
		}
		s.set(n, true, detail+"; no relay")
	case len(relays) > 0:
		n.relayChoice.probe(n)
	}
}

// set begins or ends the isolation.
func (s *isolation) set(n *Node, isolated bool, detail string) {
	step := "reachable"
	if isolated {
		step = "isolated"
		s.withdrawBlame(n, "")
		n.forward.dropHeld(n, func(heldCrash) bool { return true })
	} else {
		detail += fmt.Sprintf(" after %v", n.now.Sub(s.since))
	}
	s.opens = isolated && s.acceptedOnly()
	s.isolated, s.since = isolated, n.now
	s.clear()
	n.do(LogDecision{Decision: Decision{At: n.now, Node: n.Self.ID, Step: step, Detail: detail}})
	n.members.announceIsolation(n)
	n.relayChoice.update(n)
	if isolated {
		s.probeWhileIsolated(n)
		n.forward.placeHangingAgain(n)
	}
}

// probeWhileIsolated probes direct connections until the isolation ends.
func (s *isolation) probeWhileIsolated(n *Node) {
	since := s.since
	n.afterFunc(n.jitter(probeEvery), func(n *Node) {
		if s.isolated && s.since == since {
			s.probeAny(n)
			n.relayChoice.probe(n)
			s.probeWhileIsolated(n)
		}
	})
}

// observeNoAnswer handles a step that had no answer in time: its upstream is probed, and
// another one. If they cannot be reached, more are.
func (s *isolation) observeNoAnswer(n *Node, u *upstream) {
	if s.isolated || !n.Hosted {
		return
	}
	s.forgetProbes(n)
	if s.probe(n, u) {
		s.probeAny(n)
	}
}

// check probes some upstreams, unless any was probed just before.
func (s *isolation) check(n *Node) {
	if s.forgetProbes(n); s.isolated || len(s.probed) > 0 {
		return
	}
	for range minIsolating {
		s.probeAny(n)
	}
}

// observeStep handles a step that failed. If its upstream gave no answer, it is probed.
func (s *isolation) observeStep(n *Node, m StepFailed) {
	if m.PathFailed && m.Relay != "" {
		n.relayChoice.leaveOut(n, m.Relay)
	}
	if m.Status != 0 || m.Relay != "" || m.PathFailed || s.isolated {
		return
	}
	if u, ok := n.forward.upstreams.byID[m.Engine]; ok {
		s.observeNoAnswer(n, u)
	}
}

// probe opens a direct connection to an upstream, unless that was done just before, and reports
// whether it does.
func (s *isolation) probe(n *Node, u *upstream) bool {
	if _, probed := s.probed[u.ID]; probed || len(s.probed) >= maxProbes {
		return false
	}
	s.probed[u.ID] = n.now
	n.do(ProbeUpstream{Engine: u.ID, Address: u.Address})
	return true
}

// probeMore probes other upstreams after a failure, enough of them to distinguish a failure of the
// upstream from one of this node's path.
func (s *isolation) probeMore(n *Node) {
	for range minUnreached - 1 {
		s.probeAny(n)
	}
}

// probeAny probes any usable upstream that was not probed just before.
func (s *isolation) probeAny(n *Node) {
	s.forgetProbes(n)
	var may []EngineID
	for _, id := range sortedKeys(n.forward.upstreams.byID) {
		_, failed := s.unreached[id]
		if _, probed := s.probed[id]; !probed && !failed && n.forward.upstreams.byID[id].usable() {
			may = append(may, id)
		}
	}
	if len(may) > 0 {
		s.probe(n, n.forward.upstreams.byID[may[n.rng.IntN(len(may))]])
	}
}

func (s *isolation) forgetProbes(n *Node) {
	for id, at := range s.probed {
		if n.now.Sub(at) >= probeEvery*9/10 {
			delete(s.probed, id)
		}
	}
}

// joinIDs returns the first of a list of upstreams, for the log.
func joinIDs(ids []EngineID) string {
	const most = 4
	texts := make([]string, 0, most)
	for _, id := range ids[:min(len(ids), most)] {
		texts = append(texts, string(id))
	}
	return strings.Join(texts, " ")
}
