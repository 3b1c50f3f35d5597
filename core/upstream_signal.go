package core

import (
	"slices"
	"time"
)

// UpstreamSignal reports what a response of an upstream said about the upstream itself.
type UpstreamSignal struct {
	Engine EngineID
	// Leaving says that the upstream is shutting down and wants no new requests.
	Leaving bool
	// QuietFor is how long the upstream, which is overloaded, wants no requests from
	// this node; zero if it did not say.
	QuietFor time.Duration
	// NamesLimit says that the response names a limit, and Limit is that limit; absent if
	// the value is not usable.
	NamesLimit bool
	Limit      Option[RequestRate]
}

func (UpstreamSignal) isMessage() {}

const (
	// maxQuietSends is how many requests may still reach an upstream that asked for
	// quiet. They are for streams whose memory it has already reserved.
	maxQuietSends = 2
	// maxSignals bounds the upstreams whose signals a node remembers.
	maxSignals = 4096
)

// upstreamSignals is what an upstream's responses to this node have said about it. It
// outlasts the upstream's entry in the list, which may lapse and return.
type upstreamSignals struct {
	// leaving is present once an incarnation has said that it is leaving, and is that
	// incarnation.
	leaving Option[int64]
	// quietUntil is until when the upstream wants no requests from this node, and
	// quietSends counts the requests sent to it since it asked for that.
	quietUntil Instant
	quietSends int
	// limit is the limit that an incarnation names; absent if it names none. use is what this
	// node may use of it, reportedAt when this node last reported it to its owner, and spread
	// whether this node, as the owner, has notified all nodes of it.
	limit      Option[upstreamLimit]
	use        limitUse
	reportedAt Instant
	spread     bool
	// limitLoggedAt is when a line of the log last named the limit.
	limitLoggedAt Instant
}

// handleSignal records what a response said about its upstream. A leaving incarnation
// does not come back, whatever the list of upstreams says of it.
func (s *upstreams) handleSignal(n *Node, m UpstreamSignal) {
	u, ok := s.byID[m.Engine]
	if !ok {
		return
	}
	if !m.Leaving && m.QuietFor == 0 && !m.NamesLimit && u.signals == nil {
		return
	}
	known := s.signalsOf(n, u)
	if m.Leaving && !u.leaving() {
		known.leaving = Some(u.Born)
		n.do(LogDecision{Decision: Decision{At: n.now, Node: n.Self.ID, Step: "upstream-leaving", Decode: m.Engine}})
	}
	if m.QuietFor > 0 {
		if known.quietUntil <= n.now {
			known.quietSends = 0
			n.do(LogDecision{Decision: Decision{At: n.now, Node: n.Self.ID, Step: "upstream-quiet", Decode: m.Engine, Slack: m.QuietFor}})
		}
		known.quietUntil = max(known.quietUntil, n.now.Add(m.QuietFor))
	}
	s.observeLimit(n, u, m)
}

// signalsOf returns what the responses of an upstream have said about it.
func (s *upstreams) signalsOf(n *Node, u *upstream) *upstreamSignals {
	known, ok := s.signals[u.ID]
	if !ok {
		s.evictSignals(n)
		known = &upstreamSignals{}
		s.signals[u.ID] = known
	}
	u.signals = known
	return known
}

// evictSignals makes room for another upstream's signals: those of upstreams that are
// not listed and did not ask for quiet go first.
func (s *upstreams) evictSignals(n *Node) {
	if len(s.signals) < maxSignals {
		return
	}
	for id, known := range s.signals {
		if _, listed := s.byID[id]; !listed && known.quietUntil <= n.now {
			delete(s.signals, id)
		}
	}
}

// leaving reports whether the upstream has said that it is shutting down.
func (u *upstream) leaving() bool {
	if u.signals == nil {
		return false
	}
	born, said := u.signals.leaving.Get()
	return said && born == u.Born
}

// quiet reports whether the upstream wants no requests from this node now.
func (u *upstream) quiet(now Instant) bool { return u.signals != nil && u.signals.quietUntil > now }

// open reports whether this node may send the upstream new requests now.
func (u *upstream) open(now Instant) bool { return u.usable() && !u.quiet(now) }

// mayFinish reports whether a request whose memory the upstream has reserved may be sent
// to it. If the upstream asked for quiet, few may.
func (u *upstream) mayFinish(now Instant) bool {
	if !u.usable() {
		return false
	}
	if !u.quiet(now) {
		return true
	}
	u.signals.quietSends++
	return u.signals.quietSends <= maxQuietSends
}

// quietFor returns how long it takes until the first of the upstreams that may serve a
// request accepts requests from this node again. It returns zero unless all of them
// asked for quiet: a request that none of them accepts can be rejected at once.
func quietFor(now Instant, list []*upstream, may func(*upstream) bool) time.Duration {
	first := Instant(0)
	for _, u := range list {
		if !u.usable() || !may(u) {
			continue
		}
		if !u.quiet(now) {
			return 0
		}
		if first == 0 || u.signals.quietUntil < first {
			first = u.signals.quietUntil
		}
	}
	if first == 0 {
		return 0
	}
	return first.Sub(now)
}

// quietFor returns how long a request cannot be placed because every upstream that may
// run it asked this node for quiet, or zero.
func (s *forwards) quietFor(n *Node, f *forwardedRequest) time.Duration {
	_, engine := f.spec.Engine.Get()
	return quietFor(n.now, s.upstreams.byService[f.spec.ID], func(u *upstream) bool {
		return !engine || n.roles.canServe(n, u, Decode)
	})
}

// openGroup returns a group, or the next one with an upstream that accepts requests from
// this node if the group has none. If no group has one, it returns the first.
func (s *forwards) openGroup(n *Node, g DispatchGroup) DispatchGroup {
	if len(s.upstreams.signals) == 0 {
		return g
	}
	groups := s.groupsOf(g.Service)
	for i := range groups {
		next := DispatchGroup{Service: g.Service, Index: (g.Index + i) % groups}
		if slices.ContainsFunc(s.upstreams.byGroup[next], func(u *upstream) bool { return u.open(n.now) }) {
			return next
		}
	}
	return g
}

// unwanted returns the upstreams of a service that must not receive a request of this
// node although the list of upstreams shows them, and those that were tried for it.
func (s *forwards) unwanted(n *Node, f *forwardedRequest) []EngineID {
	avoid := f.tried
	if len(s.upstreams.signals) > 0 {
		avoid = SetOf(f.tried.Sorted()...)
		for _, u := range s.upstreams.byService[f.spec.ID] {
			if u.leaving() || u.quiet(n.now) {
				avoid.Add(u.ID)
			}
		}
	}
	return avoid.Sorted()
}
