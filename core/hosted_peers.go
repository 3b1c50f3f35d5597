package core

import "time"

// stateQueryEvery is the least time between two questions to peers for the
// desired state.
const stateQueryEvery = 250 * time.Millisecond

// RolesOrdered tells other nodes which engines were ordered to change their
// role, so that they send nothing there that would be refused.
type RolesOrdered struct{ Orders []Order }

// StateQuery asks a peer for the desired state and the list of upstreams, for
// a node that cannot reach the store.
type StateQuery struct{}

// StateAnswer passes on what a peer has: the desired state as the store holds
// it, and the list of upstreams.
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
	behind := offset > n.stateOffset() || offset > 0 && !s.upstreams.known
	if !behind || s.askedAt != 0 && n.now.Sub(s.askedAt) < stateQueryEvery {
		return
	}
	s.askedAt = n.now
	n.send(from, StateQuery{})
}

// stateQuery answers a peer that cannot reach the store.
func (s *forwards) stateQuery(n *Node, from NodeID) {
	if !s.known {
		return
	}
	answer := StateAnswer{Offset: s.state.Offset, Record: s.state.Record, Instances: InstanceList{Offset: s.upstreams.offset}}
	for _, id := range sortedKeys(s.upstreams.byID) {
		answer.Instances.Instances = append(answer.Instances.Instances, s.upstreams.byID[id].Instance)
	}
	n.send(from, answer)
}

func (s *forwards) stateAnswer(n *Node, m StateAnswer) {
	n.do(AdoptState{Offset: m.Offset, Record: m.Record})
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

// tell sends orders to all other nodes.
func (s *roles) tell(n *Node, orders []Order) {
	for _, id := range sortedKeys(n.members.byID) {
		if n.members.byID[id].serving() {
			n.send(id, RolesOrdered{Orders: orders})
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
