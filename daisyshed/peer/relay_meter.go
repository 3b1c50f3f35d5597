package peer

import "daisyshed.dev/core"

// RelayRole is the part that a node has in a relayed connection.
type RelayRole int

// The roles.
const (
	// Relayed connections go through another node.
	Relayed RelayRole = iota
	// Relaying is copying the bytes of another node's connection.
	Relaying
)

//go:generate stringer -type=RelayRole -output=relay_role_string.go

// RelayMeter records relayed connections. Its methods must not block.
type RelayMeter interface {
	// RelaySession reports that a session for relayed connections with a node begins, or why
	// it has ended or counts as silent.
	RelaySession(role RelayRole, node core.NodeID, end error)
	// RelayedOpened and RelayedClosed count connections.
	RelayedOpened(role RelayRole)
	RelayedClosed(role RelayRole)
	// RelayedRejected counts a connection that was rejected.
	RelayedRejected(role RelayRole, node core.NodeID, reason core.RelayRejection)
	// RelayedFailed counts a connection that could not be opened.
	RelayedFailed(role RelayRole)
	// RelayedBytes counts bytes exchanged with the other node.
	RelayedBytes(role RelayRole, sent, received int)
}

// noRelayMeter records nothing.
type noRelayMeter struct{}

func (noRelayMeter) RelaySession(RelayRole, core.NodeID, error)                  {}
func (noRelayMeter) RelayedOpened(RelayRole)                                     {}
func (noRelayMeter) RelayedClosed(RelayRole)                                     {}
func (noRelayMeter) RelayedRejected(RelayRole, core.NodeID, core.RelayRejection) {}
func (noRelayMeter) RelayedFailed(RelayRole)                                     {}
func (noRelayMeter) RelayedBytes(RelayRole, int, int)                            {}

func (t *Transport) relayMeter() RelayMeter {
	if t.Relays == nil {
		return noRelayMeter{}
	}
	return t.Relays
}

func (t *Transport) countRelaying(sent, received int) {
	t.relayMeter().RelayedBytes(Relaying, sent, received)
}

func (t *Transport) countRelayed(sent, received int) {
	t.relayMeter().RelayedBytes(Relayed, sent, received)
}
