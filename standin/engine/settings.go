package engine

import (
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/wire/settings"
)

// Settings configures one simulated engine.
type Settings struct {
	// Role and Model are the engine's initial role and model. Orders change
	// them later.
	Role  core.Role `yaml:"-"`
	Model core.ModelID
	// Fenced makes the engine reject an order whose fencing token is lower
	// than the highest one that it has accepted.
	Fenced bool
	// Pieces is the engine's memory, in pieces of core.PieceTokens tokens.
	Pieces int

	// PrefillOverhead is the fixed part of a prefill's duration. PrefillRate
	// is the number of uncached tokens computed per second.
	PrefillOverhead time.Duration
	PrefillRate     float64
	// HoldFor is how long a prefill's result is kept if no export of it
	// begins.
	HoldFor time.Duration

	// CacheBlocks is the capacity of the prefix cache, in blocks of
	// core.BlockTokens tokens.
	CacheBlocks int
	// EventLag is the delay before a cache event appears in reports.
	// EventGapRate is the probability that an event is lost.
	EventLag     time.Duration
	EventGapRate float64

	// TransferLatency is the delay before an export begins to send. LinkRate
	// is the bandwidth in bytes per second that all transfers of the engine
	// share.
	TransferLatency time.Duration
	LinkRate        float64
	// TokenBytes is the size of one token's KV cache, in bytes.
	TokenBytes float64

	// StepBase and StepPerRequest determine the duration of a decode step:
	// StepBase plus StepPerRequest for each stream in the step.
	StepBase       time.Duration
	StepPerRequest time.Duration

	// ReportLag is the age of the load figures in reports.
	ReportLag time.Duration
	// LoadFor is how long the engine takes to load a model or an adapter. The
	// time to fetch a model's weights is not included.
	LoadFor time.Duration
	// WeightStore makes a LoadModel order fetch the weights through the
	// runtime before it loads them.
	WeightStore bool `yaml:"-"`
}

// DefaultSettings returns the settings of an engine that has memory for about
// twenty requests and, with that many, takes about 50 ms per token.
func DefaultSettings() Settings {
	return Settings{
		Role:            core.Decode,
		Pieces:          40,
		PrefillOverhead: 20 * time.Millisecond,
		PrefillRate:     8000,
		HoldFor:         800 * time.Millisecond,
		CacheBlocks:     400,
		EventLag:        500 * time.Millisecond,
		EventGapRate:    0.01,
		TransferLatency: 2 * time.Millisecond,
		LinkRate:        12.5e9,
		TokenBytes:      131072,
		StepBase:        18 * time.Millisecond,
		StepPerRequest:  1600 * time.Microsecond,
		ReportLag:       500 * time.Millisecond,
		LoadFor:         time.Second,
	}
}

// Check reports each invalid setting to d.
func (s Settings) Check(d *settings.Document) {
	positive := func(field string, ok bool) {
		if !ok {
			d.AddFaultOnce(field, "is not positive")
		}
	}
	positive("Pieces", s.Pieces > 0)
	positive("PrefillRate", s.PrefillRate > 0)
	positive("LinkRate", s.LinkRate > 0)
	positive("TokenBytes", s.TokenBytes > 0)
	positive("StepBase", s.StepBase > 0)
	if s.EventGapRate < 0 || s.EventGapRate > 1 {
		d.AddFaultOnce("EventGapRate", "is not between 0 and 1")
	}
}
