package core

import (
	"cmp"
	"time"
)

// Settings holds the node's limits and periods. Zero fields take the values
// of [DefaultSettings], except CheckEvery.
type Settings struct {
	// HeartbeatEvery is the period at which a node sends a heartbeat to one
	// random member.
	HeartbeatEvery time.Duration
	// SuspectAfter is how long a heartbeat may stay unanswered before the member
	// becomes suspect.
	SuspectAfter time.Duration
	// DeadAfter is how long a member may stay suspect before it counts as dead.
	DeadAfter time.Duration
	// LogReadEvery is the period at which a node reads new records of the log.
	LogReadEvery time.Duration
	// VMListEvery is the period of reads of the VM list.
	VMListEvery time.Duration
	// PollEvery is the period of polls of each owned engine.
	PollEvery time.Duration
	// StaleAfter is how long a node accepts new requests after the log or a peer
	// last confirmed its configuration.
	StaleAfter time.Duration
	// ResumeWithin is how long an owner keeps a stream whose entry node died, so
	// that its caller can reconnect.
	ResumeWithin time.Duration
	// PromiseValid is the longest pause of the process through which a placement
	// stays valid before it begins. A longer time between two updates counts as a
	// pause, and placements that were requested before it are requested again.
	PromiseValid time.Duration
	// StepTimeout is the time limit of one step at an engine.
	StepTimeout time.Duration
	// PlaceTimeout is the time limit for an owner's answer to a placement
	// request.
	PlaceTimeout time.Duration
	// KeyBatchEvery is the least time between two appends of intents and results.
	KeyBatchEvery time.Duration
	// KeyMargin is how long before the end of the log's retention a key expires.
	KeyMargin time.Duration
	// CallTimeout is the time limit of a call to a plain service.
	CallTimeout time.Duration
	// ClaimLease is how long the claim of an engine for exclusive orders lasts.
	ClaimLease time.Duration
	// OrderFlight is the longest time an order may be in flight.
	OrderFlight time.Duration
	// KeyWritersPerRegion bounds how many nodes of a region write intents.
	KeyWritersPerRegion int
	// MaxQueue bounds the requests that wait in the queue of one owner for one
	// profile.
	MaxQueue int
	// CheckEvery is the least time between two checks of the invariants that
	// span the node's whole state. Zero checks them at every update, as tests and
	// randomised runs do. A daemon checks less often, because the cost of a check
	// grows with the number of requests in progress.
	CheckEvery time.Duration
	// Retries bounds what all nodes together send to upstreams beyond the first
	// arrival of each forwarded request.
	Retries RetryBudget
	// Usage bounds by how much all nodes together may exceed the usage caps of tenants.
	Usage UsageBounds
	// DrainDelay is the time after which a leaving upstream must receive no new
	// requests.
	DrainDelay time.Duration
	// StateDelay is the time within which a new desired state must be in force.
	StateDelay time.Duration
	// OrderLease is how long a node that has claimed the right to give role
	// orders keeps it. No two nodes give orders within this time of each other.
	OrderLease time.Duration
	// AddressLifetime is how long callers may cache the addresses in an answer.
	AddressLifetime time.Duration
	// Grace is the time between the start of a hosted node's shutdown and its
	// kill.
	Grace time.Duration
}

// DefaultSettings returns the settings that a node uses where none are given.
func DefaultSettings() Settings {
	return Settings{
		HeartbeatEvery:      500 * time.Millisecond,
		SuspectAfter:        400 * time.Millisecond,
		DeadAfter:           1500 * time.Millisecond,
		LogReadEvery:        500 * time.Millisecond,
		VMListEvery:         2 * time.Second,
		PollEvery:           500 * time.Millisecond,
		StaleAfter:          15 * time.Second,
		ResumeWithin:        2 * time.Second,
		PromiseValid:        time.Second,
		StepTimeout:         5 * time.Second,
		PlaceTimeout:        250 * time.Millisecond,
		KeyBatchEvery:       40 * time.Millisecond,
		KeyMargin:           5 * time.Minute,
		CallTimeout:         5 * time.Second,
		ClaimLease:          10 * time.Second,
		OrderFlight:         5 * time.Second,
		KeyWritersPerRegion: 8,
		MaxQueue:            64,
		CheckEvery:          time.Second,
		Retries:             RetryBudget{Ratio: 0.1, Window: 10 * time.Second, Slack: 10},
		Usage:               UsageBounds{Window: 8 * time.Second, Over: 0.05},
		DrainDelay:          2 * time.Second,
		StateDelay:          2 * time.Second,
		OrderLease:          5 * time.Second,
		AddressLifetime:     addressLifetime,
	}
}

// withDefaults returns the settings with DefaultSettings in place of zeros.
func (s Settings) withDefaults() Settings {
	d := DefaultSettings()
	s.HeartbeatEvery = cmp.Or(s.HeartbeatEvery, d.HeartbeatEvery)
	s.SuspectAfter = cmp.Or(s.SuspectAfter, d.SuspectAfter)
	s.DeadAfter = cmp.Or(s.DeadAfter, d.DeadAfter)
	s.LogReadEvery = cmp.Or(s.LogReadEvery, d.LogReadEvery)
	s.VMListEvery = cmp.Or(s.VMListEvery, d.VMListEvery)
	s.PollEvery = cmp.Or(s.PollEvery, d.PollEvery)
	s.StaleAfter = cmp.Or(s.StaleAfter, d.StaleAfter)
	s.ResumeWithin = cmp.Or(s.ResumeWithin, d.ResumeWithin)
	s.PromiseValid = cmp.Or(s.PromiseValid, d.PromiseValid)
	s.StepTimeout = cmp.Or(s.StepTimeout, d.StepTimeout)
	s.PlaceTimeout = cmp.Or(s.PlaceTimeout, d.PlaceTimeout)
	s.KeyBatchEvery = cmp.Or(s.KeyBatchEvery, d.KeyBatchEvery)
	s.KeyMargin = cmp.Or(s.KeyMargin, d.KeyMargin)
	s.CallTimeout = cmp.Or(s.CallTimeout, d.CallTimeout)
	s.ClaimLease = cmp.Or(s.ClaimLease, d.ClaimLease)
	s.OrderFlight = cmp.Or(s.OrderFlight, d.OrderFlight)
	s.KeyWritersPerRegion = cmp.Or(s.KeyWritersPerRegion, d.KeyWritersPerRegion)
	s.MaxQueue = cmp.Or(s.MaxQueue, d.MaxQueue)
	s.Retries = cmp.Or(s.Retries, d.Retries)
	s.Usage = cmp.Or(s.Usage, d.Usage)
	s.DrainDelay = cmp.Or(s.DrainDelay, d.DrainDelay)
	s.StateDelay = cmp.Or(s.StateDelay, d.StateDelay)
	s.OrderLease = cmp.Or(s.OrderLease, d.OrderLease)
	s.AddressLifetime = cmp.Or(s.AddressLifetime, d.AddressLifetime)
	return s
}

// BoundsChanged replaces those settings of a hosted node that its platform may
// change while the node runs.
type BoundsChanged struct {
	Retries RetryBudget
	// Usage is zero if the platform names no bounds.
	Usage           UsageBounds
	DrainDelay      time.Duration
	StateDelay      time.Duration
	OrderLease      time.Duration
	AddressLifetime time.Duration
	Grace           time.Duration
}

func (BoundsChanged) isMessage() {}

// Apply returns the settings with the changed values.
func (m BoundsChanged) Apply(s Settings) Settings {
	s.Retries = m.Retries
	s.Usage = cmp.Or(m.Usage, DefaultSettings().Usage)
	s.DrainDelay = m.DrainDelay
	s.StateDelay = m.StateDelay
	s.OrderLease = m.OrderLease
	s.AddressLifetime = m.AddressLifetime
	s.Grace = m.Grace
	return s
}
