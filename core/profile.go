package core

import "time"

// ProfileKind is the kind of upstream that a profile routes to.
type ProfileKind int

// The kinds of profile.
const (
	// Generate routes to prefill and decode engines.
	Generate ProfileKind = iota
	// Service routes to plain services.
	Service
)

//go:generate stringer -type=ProfileKind,Role,RejectionReason,Outcome,EngineState,MemberStatus,OrderKind,EndReason,Promise,EngineStep,PlacementPolicy,RetryPolicy,ForwardStep,NotRunProof,RunOutcome,Mechanism,StateSource,OriginSource,KeyOutcome,TenantProblem,ConnectOutcome,RelayRejection,TurnAwayCause -output=enums_string.go

// Role is the kind of work that an upstream does.
type Role int

// The roles of upstreams.
const (
	// Prefill engines compute the KV cache of a prompt.
	Prefill Role = iota
	// Decode engines generate tokens from an imported KV cache.
	Decode
	// Plain services answer calls without a model.
	Plain
)

// Profile describes how one kind of request is served, as an operator published
// it.
type Profile struct {
	ID    ProfileID
	Kind  ProfileKind
	Model ModelID
	// PrefillPools, DecodePools and ServicePools name the pools that may
	// serve. A profile of kind Service uses ServicePools only.
	PrefillPools []PoolID
	DecodePools  []PoolID
	ServicePools []PoolID
	// FirstTokenTarget and PerTokenTarget are the latency targets.
	FirstTokenTarget time.Duration
	PerTokenTarget   time.Duration
	// MaxWait is how long a request may wait for a placement beyond what the
	// first-token target allows. With zero, a request that would miss the target
	// is rejected.
	MaxWait time.Duration
	// Priority orders profiles; higher goes first.
	Priority int
	// BorrowedShare is the upper bound, from 0 to 1, on the profile's share of
	// the borrowed engines' memory and of their concurrent prefills.
	BorrowedShare float64
	// WasteWeight is how much avoiding wasted prefill counts against goodput, from 0
	// to 1.
	WasteWeight float64
	// Repeatable says whether a Service call may run more than once.
	Repeatable bool
	// Shares holds the weights of customers. A customer that is not in it has
	// the weight DefaultShare.
	Shares       map[CustomerID]float64
	DefaultShare float64
	// MaxTokens bounds the output of one request.
	MaxTokens Tokens
	// Withdrawn lists the pools that get no new requests of this profile.
	Withdrawn []PoolID
}

// Pool describes a team's set of engines, as published in configuration.
type Pool struct {
	ID   PoolID
	Team TeamID
	Role Role
	// Model is empty for plain services.
	Model ModelID
	// Borrowed marks a pool lent by another team. Use of its engines counts
	// against BorrowedShare.
	Borrowed bool
	// ReturnBy is how long streams may run on after the start of a drain. Zero
	// means the default drain time.
	ReturnBy time.Duration
	// Fenced says whether the pool's engines reject orders with an outdated
	// fencing token.
	Fenced bool
	// Withdrawn stops all new requests to the pool.
	Withdrawn bool
}

// Upstream is one engine or plain service as the VM list shows it.
type Upstream struct {
	ID      EngineID
	Pool    PoolID
	Domain  DomainID
	Region  RegionID
	Address string
	// Leaving is set once the VM list shows the VM as leaving.
	Leaving bool
}

// NodeInfo describes one node as the VM list or the settings show it.
type NodeInfo struct {
	ID            NodeID
	Domain        DomainID
	Region        RegionID
	PeerAddress   string
	CallerAddress string
	Leaving       bool
	// Isolated is set while the node cannot connect to upstreams.
	Isolated bool
}
