package core

import "time"

// Status is a node's view of itself and the system, for operators.
type Status struct {
	Node         NodeInfo
	Incarnation  Incarnation
	ConfigOffset Offset
	// ConfigAge is the time since the node last heard of the configuration's
	// end, from the log or a peer.
	ConfigAge time.Duration
	// LogReachable is whether the last read of the log succeeded.
	LogReachable bool
	Members      []MemberStatusEntry
	Profiles     []ProfileEntry
	Pools        []PoolEntry
	Rejected     []RejectedPublication
	Upstreams    []UpstreamStatus
	Requests     int
	Leaving      bool
	// Checks and Violations count invariant checks by promise.
	Checks     [9]uint64
	Violations [9]uint64
}

// MemberStatusEntry is what a node believes of one member.
type MemberStatusEntry struct {
	Node         NodeInfo
	Incarnation  Incarnation
	Status       MemberStatus
	ConfigOffset Offset
}

// RejectedPublication is a publication that lost a race.
type RejectedPublication struct {
	Publication PublicationID
	Offset      Offset
	Operator    string
	Profile     ProfileID
	Pool        PoolID
	Base        Revision
	Current     Revision
}

// UpstreamStatus is what a node knows of one upstream.
type UpstreamStatus struct {
	Upstream   Upstream
	Owner      NodeID
	Owned      bool
	Withdrawn  bool
	State      EngineState
	Role       Role
	Model      ModelID
	Pieces     int
	FreePieces int
	// Booked is the memory that the owner's books promise, in pieces.
	Booked    int
	Requests  int
	Reachable bool
}
