package core

import (
	"cmp"
	"time"
)

// Settings holds the node's limits and periods. Zero fields take the values
// of [DefaultSettings], but for CheckEvery.
type Settings struct {
	// HeartbeatEvery is the period of heartbeats to one random member.
	HeartbeatEvery time.Duration
	// SuspectAfter is how long a heartbeat may stay unanswered.
	SuspectAfter time.Duration
	// DeadAfter is how long a suspicion may stand unrefuted.
	DeadAfter time.Duration
	// LogReadEvery is the period of reads of the log's end.
	LogReadEvery time.Duration
	// VMListEvery is the period of reads of the VM list.
	VMListEvery time.Duration
	// PollEvery is the period of polls of each owned engine.
	PollEvery time.Duration
	// StaleAfter is how long a node may go without hearing of the
	// configuration from the log or a peer before it takes no new work.
	StaleAfter time.Duration
	// ResumeWithin is how long a stream whose entry died is kept for its
	// caller to come back.
	ResumeWithin time.Duration
	// PromiseValid is how long a placement holds before it must begin.
	PromiseValid time.Duration
	// StepTimeout bounds one step at an engine.
	StepTimeout time.Duration
	// PlaceTimeout bounds the wait for an owner's answer.
	PlaceTimeout time.Duration
	// KeyBatchEvery is the least time between two appends of intents.
	KeyBatchEvery time.Duration
	// KeyMargin is taken off the log's retention before a key expires.
	KeyMargin time.Duration
	// CallTimeout bounds a call to a plain service.
	CallTimeout time.Duration
	// ClaimLease is how long a claim to order an engine about lasts.
	ClaimLease time.Duration
	// OrderFlight is the longest time an order may be in flight.
	OrderFlight time.Duration
	// KeyWritersPerRegion bounds how many nodes of a region write intents.
	KeyWritersPerRegion int
	// MaxQueue bounds the requests that wait at one owner for one profile.
	MaxQueue int
	// CheckEvery is the least time between two checks of the invariants that
	// span the node's whole state. Zero stays zero and checks them at every
	// update, as tests and randomised runs do. A daemon samples, because the
	// cost of a check grows with the requests in progress.
	CheckEvery time.Duration
	// Retries bounds what all nodes together send beyond the first arrival of
	// each forwarded request.
	Retries RetryBudget
	// DrainDelay is the time within which a leaving upstream must get nothing
	// new.
	DrainDelay time.Duration
	// OrderLease is how long the holder of orders keeps its right: no two nodes
	// give orders within it of each other.
	OrderLease time.Duration
	// AddressLifetime is how long callers may keep an answer with addresses.
	AddressLifetime time.Duration
	// Grace is the time from a hosted node's shutdown until it is killed.
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
		DrainDelay:          2 * time.Second,
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
	s.DrainDelay = cmp.Or(s.DrainDelay, d.DrainDelay)
	s.OrderLease = cmp.Or(s.OrderLease, d.OrderLease)
	s.AddressLifetime = cmp.Or(s.AddressLifetime, d.AddressLifetime)
	return s
}

// BoundsChanged replaces the bounds of a hosted node that its platform may
// change while it runs.
type BoundsChanged struct {
	Retries         RetryBudget
	DrainDelay      time.Duration
	OrderLease      time.Duration
	AddressLifetime time.Duration
	Grace           time.Duration
}

func (BoundsChanged) isMessage() {}

// Apply returns the settings with the changed bounds.
func (m BoundsChanged) Apply(s Settings) Settings {
	s.Retries = m.Retries
	s.DrainDelay = m.DrainDelay
	s.OrderLease = m.OrderLease
	s.AddressLifetime = m.AddressLifetime
	s.Grace = m.Grace
	return s
}
