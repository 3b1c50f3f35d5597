package engine

import (
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/wire/settings"
)

// Settings are the figures of one modelled engine.
type Settings struct {
	// Role and Model are what the engine serves until an order changes them.
	Role  core.Role `yaml:"-"`
	Model core.ModelID
	// Fenced engines refuse an order with an old fencing number.
	Fenced bool
	// Pieces is the memory in pieces of core.PieceTokens tokens.
	Pieces int

	// PrefillOverhead is the fixed part of a prefill's time, PrefillRate the
	// number of uncached tokens computed in a second.
	PrefillOverhead time.Duration
	PrefillRate     float64
	// HoldFor is how long a prefill's result is kept for an export to begin.
	HoldFor time.Duration

	// CacheBlocks bounds the prefix cache, in blocks of core.BlockTokens.
	CacheBlocks int
	// EventLag delays the publication of cache events; EventGapRate is the
	// share of them that is lost.
	EventLag     time.Duration
	EventGapRate float64

	// TransferLatency is the fixed part of a transfer's time. LinkRate, in
	// bytes a second, is shared by all transfers of the engine.
	TransferLatency time.Duration
	LinkRate        float64
	// TokenBytes is the size of one token's KV cache.
	TokenBytes float64

	// StepBase and StepPerRequest make up the time of one decode step.
	StepBase       time.Duration
	StepPerRequest time.Duration

	// ReportLag is how late load figures are in reports.
	ReportLag time.Duration
	// LoadFor is how long loading a model or an adapter takes once its
	// weights have arrived.
	LoadFor time.Duration
	// WeightStore says that the runtime fetches weights for LoadModel orders.
	WeightStore bool `yaml:"-"`
}

// DefaultSettings returns an engine that holds about twenty requests and then
// takes about 50 ms per token.
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

// Check reports the settings that make no sense.
func (s Settings) Check(d *settings.Document) {
	positive := func(field string, ok bool) {
		if !ok {
			d.Fault(field, "is not positive")
		}
	}
	positive("Pieces", s.Pieces > 0)
	positive("PrefillRate", s.PrefillRate > 0)
	positive("LinkRate", s.LinkRate > 0)
	positive("TokenBytes", s.TokenBytes > 0)
	positive("StepBase", s.StepBase > 0)
	if s.EventGapRate < 0 || s.EventGapRate > 1 {
		d.Fault("EventGapRate", "is not between 0 and 1")
	}
}
