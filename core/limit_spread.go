package core

import (
	"fmt"
	"time"
)

const (
	// limitReportEvery is the least time between two reports of the same limit to the owner of
	// the upstream's group.
	limitReportEvery = time.Second
	// limitLogEvery is the least time between two lines of the log on changes of a limit.
	limitLogEvery = time.Second
	// limitFresh is how long a node forwards a reported limit to a new owner.
	limitFresh = 10 * time.Second
	// maxSentLimits bounds the limits of one message.
	maxSentLimits = 64
)

// NamedLimit is what an answer of an incarnation of an upstream says about its limit.
type NamedLimit struct {
	Engine EngineID
	Born   int64
	// Limited is set if the answer names a limit, which is Rate.
	Limited bool
	Rate    RequestRate
}

// LimitsReported shares limits that upstreams have named. A node reports to the owner of an
// upstream's group what answers say, and the owner notifies all nodes when a limit begins or
// ends.
type LimitsReported struct{ Limits []NamedLimit }

func (LimitsReported) isPeerBody() {}

// ObserveAnswers tells the runtime whether to report answers that say nothing of their
// upstream as well: they end limits.
type ObserveAnswers struct{ All bool }

func (ObserveAnswers) isCommand() {}

// observeLimit handles what an answer to this node says about the limit of its upstream. A
// value that is not usable changes nothing.
func (s *upstreams) observeLimit(n *Node, u *upstream, m UpstreamSignal) {
	rate, usable := m.Limit.Get()
	if m.NamesLimit && !usable {
		return
	}
	before, limited := u.limit().Get()
	named := NamedLimit{Engine: u.ID, Born: u.Born, Limited: m.NamesLimit, Rate: rate}
	if !m.NamesLimit {
		l, _ := s.signalsOf(n, u).limit.Get()
		if !limited || n.now.Sub(l.namedAt) < limitOverlap {
			return
		}
	}
	changed := limited != m.NamesLimit || before != rate
	s.setLimit(n, u, named, n.now, "answer")
	signals := u.signals
	if changed || n.now.Sub(signals.reportedAt) >= limitReportEvery {
		signals.reportedAt = n.now
		s.reportLimit(n, u, named, limited && !m.NamesLimit)
	}
}

// reportLimit reports a limit, or that it has ended, to the owner of the upstream's group.
func (s *upstreams) reportLimit(n *Node, u *upstream, named NamedLimit, ended bool) {
	switch owner := n.forward.groupOwner(n, n.forward.groupOfUpstream(u)); owner {
	case n.Self.ID:
		s.spreadLimit(n, u, named, ended)
	case "":
	default:
		n.send(owner, LimitsReported{Limits: []NamedLimit{named}})
	}
}

// spreadLimit notifies all nodes of a limit that begins or ends, at the owner of the
// upstream's group. An earlier owner may have notified them of its beginning.
func (s *upstreams) spreadLimit(n *Node, u *upstream, named NamedLimit, ended bool) {
	if u.signals.spread == named.Limited && !ended {
		return
	}
	u.signals.spread = named.Limited
	n.broadcast(LimitsReported{Limits: []NamedLimit{named}})
}

// setLimit sets a limit of an upstream, which an answer last named at namedAt, or ends it. It logs
// that with the source, and of limits that change with each answer some.
func (s *upstreams) setLimit(n *Node, u *upstream, named NamedLimit, namedAt Instant, source string) {
	before, limited := u.limit().Get()
	signals := s.signalsOf(n, u)
	detail := "none, was " + describeRate(before)
	if named.Limited {
		signals.limit = Some(upstreamLimit{born: named.Born, rate: named.Rate, namedAt: namedAt, toldAt: n.now})
		detail = describeRate(named.Rate)
		s.addLimited(n, u.ID)
	} else {
		signals.limit = None[upstreamLimit]()
		s.removeLimited(n, u.ID)
	}
	changed := before != named.Rate && n.now.Sub(signals.limitLoggedAt) >= limitLogEvery
	if limited != named.Limited || changed {
		signals.limitLoggedAt = n.now
		n.do(LogDecision{Decision: Decision{
			At: n.now, Node: n.Self.ID, Step: "upstream-limit", Decode: u.ID, Detail: detail + ", by " + source,
		}})
	}
}

func describeRate(rate RequestRate) string { return fmt.Sprintf("%.3g/s", float64(rate)) }

// handleLimitsReported handles limits that another node has sent. An unknown incarnation is
// ignored.
func (s *upstreams) handleLimitsReported(n *Node, from NodeID, m LimitsReported) {
	for _, named := range m.Limits {
		u, ok := s.byID[named.Engine]
		if !ok || u.Born != named.Born || named.Limited && !(named.Rate >= 0) {
			continue
		}
		owns := n.forward.groupOwner(n, n.forward.groupOfUpstream(u)) == n.Self.ID
		l, limited := s.signalsOf(n, u).limit.Get()
		if owns && !named.Limited && limited && n.now.Sub(l.namedAt) < limitOverlap {
			// The limit has just begun, or an answer to this node has just named it.
			continue
		}
		namedAt := n.now
		if limited && l.born == named.Born {
			// Nodes repeat what they know to each other, also after the limit has ended.
			namedAt = l.namedAt
		}
		s.setLimit(n, u, named, namedAt, string(from))
		if owns {
			s.spreadLimit(n, u, named, limited && !named.Limited)
		}
	}
}

// sendLimits sends limits in force to a node, which may have started after they began: those
// of the groups that this node owns, and those of the groups that the other one owns.
func (s *upstreams) sendLimits(n *Node, to NodeID) {
	var m LimitsReported
	for _, l := range s.limits() {
		u := s.byID[l.Engine]
		named, _ := u.signals.limit.Get()
		owner := n.forward.groupOwner(n, n.forward.groupOfUpstream(u))
		known := owner == n.Self.ID || owner == to && n.now.Sub(named.toldAt) < limitFresh
		if known && len(m.Limits) < maxSentLimits {
			m.Limits = append(m.Limits, NamedLimit{Engine: l.Engine, Born: s.byID[l.Engine].Born, Limited: true, Rate: l.Rate})
		}
	}
	if len(m.Limits) > 0 {
		n.send(to, m)
	}
}

// addLimited and removeLimited keep the set of limited upstreams, and have the runtime report
// all answers while there are any.
func (s *upstreams) addLimited(n *Node, id EngineID) {
	if len(s.limited) == 0 {
		s.limited = Set[EngineID]{}
		n.do(ObserveAnswers{All: true})
	}
	s.limited.Add(id)
}

func (s *upstreams) removeLimited(n *Node, id EngineID) {
	if !s.limited.Has(id) {
		return
	}
	s.limited.Remove(id)
	if len(s.limited) == 0 {
		n.do(ObserveAnswers{All: false})
	}
}

// dropLimits drops the limits of incarnations that are not listed any more.
func (s *upstreams) dropLimits(n *Node) {
	for _, id := range s.limited.Sorted() {
		if u, listed := s.byID[id]; listed {
			if _, limited := u.limit().Get(); !limited {
				s.removeLimited(n, id)
			}
		} else if _, kept := s.signals[id]; !kept {
			s.removeLimited(n, id)
		}
	}
}

// groupOfUpstream returns the group to which an upstream belongs.
func (s *forwards) groupOfUpstream(u *upstream) DispatchGroup {
	return DispatchGroup{Service: u.Service, Index: groupOf(u.ID, s.groupsOf(u.Service))}
}
