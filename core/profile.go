package core

import "time"

// ProfileKind says what a profile routes to.
type ProfileKind int

// The kinds of profile.
const (
	// Generate routes to prefill and decode engines.
	Generate ProfileKind = iota
	// Service routes to plain services.
	Service
)

//go:generate stringer -type=ProfileKind,Role,RefusalReason,Outcome,EngineState,MemberStatus,OrderKind,EndReason,Promise,EngineStep,PlacementPolicy,Repeat,ForwardStep,RunOutcome,Mechanism -output=enums_string.go

// Role is the work that an engine does.
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

// Profile is an operator's intent for one kind of request, as published.
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
	// first-token target allows. Zero refuses what would be late.
	MaxWait time.Duration
	// Priority orders profiles; higher goes first.
	Priority int
	// BorrowedShare bounds the share of the borrowed engines' memory, and of
	// their prefills at one time, that the profile may hold, from 0 to 1.
	BorrowedShare float64
	// WasteWeight, from 0 to 1, is the weight on wasted prefill against
	// goodput.
	WasteWeight float64
	// Repeatable says whether a Service call may be sent twice.
	Repeatable bool
	// Shares gives the weights of customers; others weigh DefaultShare.
	Shares       map[CustomerID]float64
	DefaultShare float64
	// MaxTokens bounds the output of one request.
	MaxTokens Tokens
	// Withdrawn lists pools that may receive no new work from this profile.
	Withdrawn []PoolID
}

// Pool describes a team's set of engines, as published in configuration.
type Pool struct {
	ID   PoolID
	Team TeamID
	Role Role
	// Model is empty for plain services.
	Model ModelID
	// Borrowed marks a pool lent by another team; its engines count against
	// BorrowedShare.
	Borrowed bool
	// ReturnBy bounds how long streams may go on after withdrawal.
	ReturnBy time.Duration
	// Fenced says whether the pool's engines refuse orders with an old
	// fencing number.
	Fenced bool
	// Withdrawn stops all new work to the pool.
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

// NodeInfo is one entry VM as the VM list or the settings show it.
type NodeInfo struct {
	ID            NodeID
	Domain        DomainID
	Region        RegionID
	PeerAddress   string
	CallerAddress string
	Leaving       bool
}
