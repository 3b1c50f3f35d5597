package core

import "time"

// listQueryEvery is the minimum time between two queries to peers for the list of
// upstreams. With thousands of upstreams the list takes hundreds of kilobytes, and seconds
// to send on the slowest links.
const listQueryEvery = 2 * time.Second

// RolesOrdered notifies other nodes which engines were ordered to change their
// role, so that they send no requests there that would be rejected.
type RolesOrdered struct{ Orders []Order }

// StateQuery asks a peer for its desired state, because the sender lacks the latest
// one or has no list of upstreams. Upstreams is set to request that list as well.
type StateQuery struct{ Upstreams bool }

// StateAnswer contains what a peer has: the desired state as the store holds it,
// and the list of upstreams if it was requested.
type StateAnswer struct {
	Offset    Offset
	Record    []byte
	Instances InstanceList
}

func (RolesOrdered) isPeerBody() {}
func (StateQuery) isPeerBody()   {}
func (StateAnswer) isPeerBody()  {}

// DecodePeerState asks the runtime to decode a desired state received from a peer. The
// result is a DesiredState message.
type DecodePeerState struct {
	Offset Offset
	Record []byte
}

// NodeReady reports that a hosted node may accept requests from now on.
type NodeReady struct{}

// NodeNotReady reports that a hosted node may accept no requests until the next NodeReady,
// because it lacks the desired state that its peers have.
type NodeNotReady struct{}

func (DecodePeerState) isCommand() {}
func (NodeReady) isCommand()       {}
func (NodeNotReady) isCommand()    {}

// stateOffset returns the version of a hosted node's desired state, or the offset of
// another node's configuration, for heartbeats.
func (n *Node) stateOffset() Offset {
	if n.Hosted {
		return Offset(n.forward.state.Version)
	}
	return n.config.folded.Offset()
}

// knownStateOffset returns the latest version of the desired state that a hosted node knows
// of and lacks, or zero.
func (n *Node) knownStateOffset() Offset { return Offset(n.forward.lag.latest()) }

// stateProof returns a hosted node's proof that its desired state is the latest.
func (n *Node) stateProof() StateProof { return n.forward.proof.message(n) }

// handleStateOffset handles the state offset of a peer, the one that it lacks and its proof:
// this node gets a later version, and queries the peer for the list of upstreams if it has
// none.
func (n *Node) handleStateOffset(from NodeID, offset, known Offset, proof StateProof) {
	if !n.Hosted {
		n.config.handlePeerOffset(n, from, offset)
		return
	}
	s := &n.forward
	s.observeStateVersion(n, from, int64(offset), int64(max(offset, known)))
	s.proof.adopt(n, int64(offset), proof)
	if offset > 0 && !s.upstreams.loaded && (s.listQueriedAt == 0 || n.now.Sub(s.listQueriedAt) >= listQueryEvery) {
		s.listQueriedAt = n.now
		s.spread.sendQuery(n, from, StateQuery{Upstreams: true})
	}
}

// handleStateQuery answers a peer that lacks the desired state or the list of
// upstreams.
func (s *forwards) handleStateQuery(n *Node, from NodeID, m StateQuery) {
	if !s.spread.park(n, from, m) && s.stateKnown {
		s.answerStateQuery(n, from, m)
	}
}

func (s *forwards) answerStateQuery(n *Node, from NodeID, m StateQuery) {
	answer := StateAnswer{Offset: s.state.Offset, Record: s.state.Encoded}
	if !m.Upstreams {
		n.send(from, answer)
		return
	}
	answer.Instances.Era, answer.Instances.Offset = s.upstreams.era, s.upstreams.offset
	for _, id := range sortedKeys(s.upstreams.byID) {
		answer.Instances.Instances = append(answer.Instances.Instances, s.upstreams.byID[id].Instance)
	}
	n.send(from, answer)
}

func (s *forwards) handleStateAnswer(n *Node, m StateAnswer) {
	s.spread.answered = true
	n.do(DecodePeerState{Offset: m.Offset, Record: m.Record})
	if len(m.Instances.Instances) == 0 {
		// The peer has no list either, so that another peer may be queried at
		// once.
		s.listQueriedAt = 0
		return
	}
	n.feed.applyPeerList(n, m.Instances)
}

// updateReady notifies the runtime when the node may accept requests, and when it no
// longer may. A node that has just started waits for a version that a peer has before it is
// ready, though not for longer than a node may be behind.
func (s *forwards) updateReady(n *Node) {
	ready := n.ready()
	catchingUp := !s.everReady && s.lag.behind() && !s.lag.lasting(n.now, n.staleStateLimit())
	if ready == s.readyAnnounced || ready && catchingUp {
		return
	}
	s.readyAnnounced, s.everReady = ready, true
	if ready {
		n.do(NodeReady{})
		return
	}
	n.do(NodeNotReady{})
}

// handleRolesOrdered records orders that another node sent.
func (s *roles) handleRolesOrdered(n *Node, m RolesOrdered) {
	for _, o := range m.Orders {
		s.recordOrder(n, o)
	}
}

// recordOrder records a role order. The engine serves neither role until the change
// is done.
func (s *roles) recordOrder(n *Node, o Order) {
	s.ordered[o.Engine] = roleOrder{role: o.Role, at: n.now}
	for g, c := range s.costs {
		if n.forward.inGroup(g, o.Engine) {
			c.roleChangedAt = n.now
		}
	}
}

// broadcast sends a message to all members that accept new requests.
func (n *Node) broadcast(body PeerBody) {
	for _, id := range sortedKeys(n.members.byID) {
		if n.members.byID[id].serving() {
			n.send(id, body)
		}
	}
}

// forgetCompleted forgets orders that the list of upstreams shows as carried out.
func (s *roles) forgetCompleted(n *Node) {
	for id, o := range s.ordered {
		u, ok := n.forward.upstreams.byID[id]
		if ok && u.Role == o.role {
			delete(s.ordered, id)
		}
	}
}
