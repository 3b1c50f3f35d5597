package core

import "time"

// Status is a node's view of itself and of the system, for operators.
type Status struct {
	Node         NodeInfo
	Incarnation  Incarnation
	ConfigOffset Offset
	// ConfigAge is the time since the node last learned, from the log or a peer, that it
	// has the whole configuration.
	ConfigAge time.Duration
	// LogReachable reports whether the last read of the log succeeded.
	LogReachable bool
	Members      []MemberStatusEntry
	Profiles     []ProfileEntry
	Pools        []PoolEntry
	Rejected     []RejectedPublication
	Upstreams    []UpstreamStatus
	Requests     int
	Leaving      bool
	// Isolated is for how long the node has been unable to connect to upstreams; None if it
	// can. Relays are the nodes through which it connects then.
	Isolated Option[time.Duration]
	Relays   []NodeID
	// Limits are the limits on requests that upstreams have named and that are in force.
	Limits []LimitStatus
	// Usage is what the node admits for tenants with a usage cap, and UsageAllocator the node that
	// allocates their caps; empty if this one knows none.
	Usage          []TenantUsageStatus
	UsageAllocator NodeID
	// UsageParts is how many nodes leave their parts of the caps to this one.
	UsageParts int
	// Suspects is how many parts of prompts and whole requests are suspected of ending
	// upstreams, and Blocked how many are rejected for it.
	Suspects, Blocked int
	// ProofAge is how old a hosted node's proof is that its desired state is the latest; None
	// without one.
	ProofAge Option[time.Duration]
	// Tenants describes the tenants of a hosted node's desired state. KeyChecks counts the requests
	// whose key was checked, by KeyOutcome.
	Tenants   TenantsInForce
	KeyChecks KeyChecks
	// Checks and Violations count invariant checks and violations by Promise.
	Checks     [9]uint64
	Violations [9]uint64
}

// LimitStatus is the limit on requests that an upstream has named.
type LimitStatus struct {
	Engine EngineID
	Rate   RequestRate
}

// MemberStatusEntry is one node's view of a member.
type MemberStatusEntry struct {
	Node         NodeInfo
	Incarnation  Incarnation
	Status       MemberStatus
	ConfigOffset Offset
}

// RejectedPublication is a publication that was rejected because its base revision was
// no longer the current one.
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
	// Booked is the memory reserved in the owner's allocation table, in pieces.
	Booked    int
	Requests  int
	Reachable bool
}
