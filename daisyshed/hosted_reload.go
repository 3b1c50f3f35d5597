package main

import (
	"bytes"
	"os"
	"runtime/debug"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/directory"
	"daisyshed.dev/platform"
)

// settingsEvery is the period at which the settings file is compared with what
// is in force. The platform may change it without a signal, and nodes that keep
// different bounds for long spend a shared retry budget by different rules.
const settingsEvery = time.Second

// limitMemory has Go's collector keep to its part of the process's memory.
func limitMemory(s platform.Settings) {
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
}

// bounds returns the part of the settings that may change while a node runs.
func bounds(s platform.Settings) core.BoundsChanged {
	return core.BoundsChanged{
		Retries:         s.Bounds.Retries,
		DrainDelay:      s.Bounds.DrainDelay,
		OrderLease:      s.Bounds.Lease,
		AddressLifetime: min(s.Bounds.AddressLifetime, directory.Lifetime),
		Grace:           s.Bounds.Grace - killMargin,
	}
}

// look reads the settings file and reloads it if it changed, or if a signal asks
// for that. A file that cannot be read is logged once, and at each signal.
func (h *hosted) look(path string, signalled bool) {
	raw, err := os.ReadFile(path)
	if err != nil && (signalled || !h.unread) {
		h.log.Error().Str("Event", "Reload").Err(err).Send()
	}
	h.unread = err != nil
	if err == nil && (signalled || !bytes.Equal(raw, h.raw)) {
		h.reload(path, raw)
	}
}

// reload takes over the bounds of a settings file. Addresses stay as they are
// until the next start; a file with a fault changes nothing and is not tried
// again until it changes.
func (h *hosted) reload(path string, raw []byte) {
	h.raw = raw
	s, err := platform.ParseSettings(path, raw)
	if err != nil {
		h.log.Error().Str("Event", "Reload").Err(err).Send()
		return
	}
	limitMemory(s)
	h.settings.Bounds = s.Bounds
	h.inbox.Send(bounds(s))
	h.log.Info().Str("Event", "Reload").Float64("RetryRatio", s.Bounds.Retries.Ratio).Send()
}
