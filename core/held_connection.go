package core

import "time"

const (
	// registrationMargin is the longest time from when an upstream accepts connections until the
	// store has its entry.
	registrationMargin = 100 * time.Millisecond
	// listProofTimeout is how long a request waits for a proof of the list of upstreams.
	listProofTimeout = 400 * time.Millisecond
	// peerNewsFraction is, as a fraction of DrainDelay, the age of a list at which it is known
	// to all nodes. It counts only where the store cannot be read.
	peerNewsFraction = 0.5
)

// HoldNumber numbers the connections that are held for a request. The first one is 1.
type HoldNumber int

// HoldConnection asks the runtime to hold a connection to an upstream for a request, instead of
// the one that it holds for the request already, and to ask the upstream on it which incarnation
// it is. A connection belongs to one process, so that, unlike the id and the address, it identifies
// an incarnation.
type HoldConnection struct {
	ID      ForwardID
	Hold    HoldNumber
	Engine  EngineID
	Address string
	// NewConnection asks for a connection that has carried no request before.
	NewConnection bool
}

// ConnectionHeld answers HoldConnection. OpenFor is for how long the connection has been open.
// Born is that of the upstream's incarnation, if it says so.
type ConnectionHeld struct {
	ID      ForwardID
	Hold    HoldNumber
	OpenFor time.Duration
	Born    Option[int64]
}

// ConnectionNotHeld reports that there is no connection, or that the upstream is silent on it.
type ConnectionNotHeld struct {
	ID     ForwardID
	Hold   HoldNumber
	Reason string
}

func (HoldConnection) isCommand()        {}
func (HoldConnection) isForwardCommand() {}
func (ConnectionHeld) isMessage()        {}
func (ConnectionNotHeld) isMessage()     {}

// heldConnection is a connection that the runtime holds for a request.
type heldConnection struct {
	number   HoldNumber
	upstream *upstream
	// verified is set once the process at the other end is known to be the incarnation that the
	// list shows.
	verified bool
}

// bound reports whether only upstreams of one version may run the request.
func (f *forwardedRequest) bound() bool {
	_, bound := f.version.Get()
	return bound
}

// holdFor has a connection held to an upstream that is to run a request, if only upstreams of
// one version may do so.
func (s *forwards) holdFor(n *Node, f *forwardedRequest, u *upstream) {
	if !f.bound() || f.hold != nil && f.hold.upstream == u {
		return
	}
	f.holds++
	f.hold = &heldConnection{number: f.holds, upstream: u}
	n.do(HoldConnection{ID: f.ID, Hold: f.holds, Engine: u.ID, Address: u.Address, NewConnection: f.sentTo.Has(u.ID)})
}

// mayRunAt reports whether a request may be sent to its upstream now: at once, or on a held
// connection that is verified. Otherwise the request waits until the connection is.
func (s *forwards) mayRunAt(n *Node, f *forwardedRequest, u *upstream) bool {
	if !f.bound() {
		f.hold = nil
		return true
	}
	s.holdFor(n, f, u)
	if f.hold.verified {
		return true
	}
	f.phase = forwardVerifying
	f.step++
	return false
}

// takeHold returns the number of the connection on which a run must be sent; zero for any.
func (f *forwardedRequest) takeHold() HoldNumber {
	if f.hold == nil {
		return 0
	}
	number := f.hold.number
	f.hold = nil
	return number
}

// heldRequest returns the request for which a connection is held; nil if it needs it no more.
func (s *forwards) heldRequest(id ForwardID, number HoldNumber) *forwardedRequest {
	f, ok := s.live[id]
	if !ok || f.hold == nil || f.hold.number != number || f.decode != f.hold.upstream {
		return nil
	}
	return f
}

// handleConnectionHeld verifies a held connection: by what the upstream says of itself, or else
// by a list that is proved to be complete as of when the process had accepted the connection
// and registered.
func (s *forwards) handleConnectionHeld(n *Node, m ConnectionHeld) {
	f := s.heldRequest(m.ID, m.Hold)
	if f == nil {
		return
	}
	u := f.hold.upstream
	if born, said := m.Born.Get(); said && u.Born != 0 {
		s.observeBorn(n, u, m.Born)
		if born == u.Born {
			s.holdVerified(n, f, "the upstream's report")
		} else {
			s.holdFailed(n, f, "another incarnation")
		}
		return
	}
	provable := n.now.Add(registrationMargin - m.OpenFor)
	n.afterFunc(max(provable.Sub(n.now), 0), func(n *Node) {
		n.feed.proveAfter(n, provable, listProofTimeout, func(n *Node, proven bool) {
			f := s.heldRequest(m.ID, m.Hold)
			switch {
			case f == nil:
			case s.upstreams.byID[u.ID] != u:
				s.holdFailed(n, f, "another incarnation")
			case proven:
				s.holdVerified(n, f, "a read of the list")
			case s.knownToAll(n, n.feed.updatedAt, provable):
				s.holdVerified(n, f, "a list from peers")
			default:
				s.holdFailed(n, f, "the list of upstreams cannot be proved")
			}
		})
	})
}

// knownToAll reports whether a list of an age would hold an entry that was written at an instant,
// unless this node was paused. It is used where nothing can be proved.
func (s *forwards) knownToAll(n *Node, listAt, written Instant) bool {
	return listAt.Sub(written) >= fractionOf(n.Settings.DrainDelay, peerNewsFraction)
}

func (s *forwards) handleConnectionNotHeld(n *Node, m ConnectionNotHeld) {
	if f := s.heldRequest(m.ID, m.Hold); f != nil {
		if !n.isolation.doubtful(n) {
			f.hold.upstream.recordFailure(n.now)
		}
		s.holdFailed(n, f, m.Reason)
	}
}

// observeBorn records that an upstream has said to be another incarnation than the listed one. A
// later one replaces it, and the list is read again.
func (s *forwards) observeBorn(n *Node, u *upstream, said Option[int64]) {
	born, ok := said.Get()
	if !ok || u.Born == 0 || born <= u.Born || u.superseded || s.upstreams.byID[u.ID] != u {
		return
	}
	u.superseded = true
	n.feed.proveAfter(n, n.now, listProofTimeout, func(*Node, bool) {})
}

// holdVerified sends a request that has waited for its connection.
func (s *forwards) holdVerified(n *Node, f *forwardedRequest, by string) {
	if f.hold.verified {
		return
	}
	f.hold.verified = true
	d := s.newDecision(n, f, "held", NoReason)
	d.Detail = string(f.hold.upstream.ID) + ": verified by " + by
	n.do(LogDecision{Decision: d})
	if f.phase != forwardVerifying {
		return
	}
	if _, engine := f.spec.Engine.Get(); engine {
		s.runStream(n, f)
		return
	}
	u := f.decode
	u.ownRequests--
	f.decode = nil
	s.runPlainAt(n, f, u)
}

// holdFailed places a request again that was to be sent on a held connection. Nothing was sent.
func (s *forwards) holdFailed(n *Node, f *forwardedRequest, reason string) {
	u := f.hold.upstream
	f.hold = nil
	d := s.newDecision(n, f, "not-held", UpstreamFailed)
	d.Detail = string(u.ID) + ": " + reason
	n.do(LogDecision{Decision: d})
	if _, engine := f.spec.Engine.Get(); engine {
		s.leaseDenied(n, f, true)
		return
	}
	s.release(n, f)
	s.runPlainAgain(n, f)
}
