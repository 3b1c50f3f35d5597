package core

// Relay is a node through which connections to upstreams can be opened. Address is its peer
// address.
type Relay struct {
	Node    NodeID
	Address string
}

// UseRelays sets the nodes through which connections to upstreams are opened if a direct one
// fails, in order of preference. If First is set, direct ones are not tried, and unused direct
// connections are closed.
type UseRelays struct {
	Relays []Relay
	First  bool
}

// RelayID identifies a connection that this node relays for another one.
type RelayID uint64

// RelayRequested asks this node to relay a connection of another node to an upstream.
type RelayRequested struct {
	ID     RelayID
	From   NodeID
	Engine EngineID
}

// OpenRelay opens the connection of a RelayRequested to the upstream.
type OpenRelay struct {
	ID      RelayID
	Engine  EngineID
	Address string
}

// RelayRejection is why a node does not relay a connection.
type RelayRejection int

// The reasons why a node does not relay a connection.
const (
	// RelayIsolated means that the node cannot reach upstreams itself.
	RelayIsolated RelayRejection = iota
	// RelayLeaving means that the node is shutting down.
	RelayLeaving
	// RelayFull means that the node relays as many connections as it may.
	RelayFull
	// RelayUnknownUpstream means that the upstream is not usable by the node's own list.
	RelayUnknownUpstream
)

// RejectRelay rejects a RelayRequested.
type RejectRelay struct {
	ID     RelayID
	Reason RelayRejection
}

// RelayEnded reports that a relayed connection has ended, or that it could not be opened. It
// comes once for each OpenRelay. BrokenOff says that the connection to the upstream broke. Sent and
// Received are the bytes copied to and from the upstream.
type RelayEnded struct {
	ID                RelayID
	Opened, BrokenOff bool
	Sent, Received    int64
}

func (RelayRequested) isMessage() {}
func (RelayEnded) isMessage()     {}
func (UseRelays) isCommand()      {}
func (OpenRelay) isCommand()      {}
func (RejectRelay) isCommand()    {}

const (
	// maxRelayed bounds the connections that a node relays, and maxRelayedPerNode those for
	// one node.
	maxRelayed        = 1024
	maxRelayedPerNode = 512
)

// relays tracks the connections that this node relays for others.
type relays struct {
	open  map[RelayID]RelayRequested
	count map[NodeID]int
}

func (r *relays) start() { r.open, r.count = map[RelayID]RelayRequested{}, map[NodeID]int{} }

// handleRequested accepts or rejects the relaying of a connection. An isolated node relays
// none, so that no connection goes through two relays.
func (r *relays) handleRequested(n *Node, m RelayRequested) {
	u, ok := n.forward.upstreams.byID[m.Engine]
	switch {
	case n.isolation.isolated:
		n.do(RejectRelay{ID: m.ID, Reason: RelayIsolated})
	case n.leaving:
		n.do(RejectRelay{ID: m.ID, Reason: RelayLeaving})
	case len(r.open) >= maxRelayed || r.count[m.From] >= maxRelayedPerNode:
		n.do(RejectRelay{ID: m.ID, Reason: RelayFull})
	case !ok || !u.usable():
		n.do(RejectRelay{ID: m.ID, Reason: RelayUnknownUpstream})
	default:
		r.open[m.ID] = m
		r.count[m.From]++
		n.do(OpenRelay{ID: m.ID, Engine: m.Engine, Address: u.Address})
	}
}

// handleEnded handles the end of a relayed connection. One that could not be opened, or broke, may
// show that this node is isolated.
func (r *relays) handleEnded(n *Node, m RelayEnded) {
	requested, ok := r.open[m.ID]
	if !ok {
		return
	}
	delete(r.open, m.ID)
	if r.count[requested.From]--; r.count[requested.From] == 0 {
		delete(r.count, requested.From)
	}
	if u, listed := n.forward.upstreams.byID[requested.Engine]; listed && (!m.Opened || m.BrokenOff) {
		n.isolation.observeNoAnswer(n, u)
	}
}
