package core

import "time"

const (
	// stateQueryEvery is the least time between two questions to peers for the
	// desired state.
	stateQueryEvery = 250 * time.Millisecond
	// listQueryEvery is the same for the list of upstreams, which takes hundreds
	// of kilobytes where there are thousands, and seconds on the slowest links.
	listQueryEvery = 2 * time.Second
)

// RolesOrdered tells other nodes which engines were ordered to change their
// role, so that they send nothing there that would be refused.
type RolesOrdered struct{ Orders []Order }

// StateQuery asks a peer for the desired state, for a node that lacks the newest,
// and for the list of upstreams if that node has none.
type StateQuery struct{ Upstreams bool }

// StateAnswer passes on what a peer has: the desired state as the store holds
// it, and the list of upstreams if it was asked for.
type StateAnswer struct {
	Offset    Offset
	Record    []byte
	Instances InstanceList
}

func (RolesOrdered) isPeerBody() {}
func (StateQuery) isPeerBody()   {}
func (StateAnswer) isPeerBody()  {}

// AdoptState has a desired state that came from a peer decoded; it comes back
// as a DesiredState.
type AdoptState struct {
	Offset Offset
	Record []byte
}

// NodeReady says that a hosted node may take requests from now on.
type NodeReady struct{}

func (AdoptState) isCommand() {}
func (NodeReady) isCommand()  {}

// stateOffset returns how new the node's desired state is, for heartbeats.
func (n *Node) stateOffset() Offset {
	if n.Hosted {
		return Offset(n.forward.state.Version)
	}
	return n.config.folded.Offset()
}

// hearState takes in how new a peer's desired state is.
func (n *Node) hearState(from NodeID, offset Offset) {
	if !n.Hosted {
		n.config.hear(n, from, offset)
		return
	}
	s := &n.forward
	list := offset > 0 && !s.upstreams.known && (s.listAskedAt == 0 || n.now.Sub(s.listAskedAt) >= listQueryEvery)
	state := offset > n.stateOffset() && (s.askedAt == 0 || n.now.Sub(s.askedAt) >= stateQueryEvery)
	if !list && !state {
		return
	}
	s.askedAt = n.now
	if list {
		s.listAskedAt = n.now
	}
	n.send(from, StateQuery{Upstreams: list})
}

// stateQuery answers a peer that lacks something.
func (s *forwards) stateQuery(n *Node, from NodeID, m StateQuery) {
	if !s.known {
		return
	}
	answer := StateAnswer{Offset: s.state.Offset, Record: s.state.Record}
	if !m.Upstreams {
		n.send(from, answer)
		return
	}
	answer.Instances.Offset = s.upstreams.offset
	for _, id := range sortedKeys(s.upstreams.byID) {
		answer.Instances.Instances = append(answer.Instances.Instances, s.upstreams.byID[id].Instance)
	}
	n.send(from, answer)
}

func (s *forwards) stateAnswer(n *Node, m StateAnswer) {
	n.do(AdoptState{Offset: m.Offset, Record: m.Record})
	if len(m.Instances.Instances) == 0 {
		// The peer has no list either, so that another one may be asked.
		s.listAskedAt = 0
		return
	}
	n.feed.adopt(n, m.Instances)
}

// announceReady tells the runtime once that the node may take requests.
func (s *forwards) announceReady(n *Node) {
	if !s.announced && n.ready() {
		s.announced = true
		n.do(NodeReady{})
	}
}

// rolesOrdered notes orders that another node gave.
func (s *roles) rolesOrdered(n *Node, m RolesOrdered) {
	for _, o := range m.Orders {
		s.note(n, o)
	}
}

// note takes an engine as away until its change of role is done.
func (s *roles) note(n *Node, o Order) {
	s.ordered[o.Engine] = roleOrder{role: o.Role, at: n.now}
	for g, c := range s.costs {
		if n.forward.inGroup(g, o.Engine) {
			c.changedAt = n.now
		}
	}
}

// sendAll sends a message to all members that take new work.
func (n *Node) sendAll(body PeerBody) {
	for _, id := range sortedKeys(n.members.byID) {
		if n.members.byID[id].serving() {
			n.send(id, body)
		}
	}
}

// listed forgets orders that the list of upstreams shows as carried out.
func (s *roles) listed(n *Node) {
	for id, o := range s.ordered {
		u, ok := n.forward.upstreams.byID[id]
		if ok && u.Role == o.role {
			delete(s.ordered, id)
		}
	}
}
