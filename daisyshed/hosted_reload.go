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

// settingsInterval is the interval at which the settings file is checked for
// changes. The platform may change it without a signal, and nodes with different
// bounds would spend the shared retry budget by different rules.
const settingsInterval = time.Second

// limitHeap sets the Go runtime's memory limit to memoryShare of the process's
// memory limit.
func limitHeap(memory int64) { debug.SetMemoryLimit(int64(memoryShare * float64(memory))) }

// bodyBytes returns how many bytes the bodies of callers' requests may hold.
func bodyBytes(s platform.Settings) int64 { return int64(bodyShare * float64(s.MemoryBytes)) }

// limitResponses bounds what connections hold of responses that have not ended.
func (h *hosted) limitResponses(s platform.Settings) {
	h.responses.SetLimit(int64(responseShare * float64(s.MemoryBytes)))
}

// bounds returns the settings that may change while a node runs. The grace
// period is shortened by killMargin, so that the node exits before SIGKILL.
func bounds(s platform.Settings) core.BoundsChanged {
	return core.BoundsChanged{
		Retries:         s.Bounds.Retries,
		Usage:           s.Bounds.Usage,
		DrainDelay:      s.Bounds.DrainDelay,
		StateDelay:      s.Bounds.StateDelay,
		OrderLease:      s.Bounds.Lease,
		AddressLifetime: min(s.Bounds.AddressLifetime, directory.MaxLifetime),
		Grace:           s.Bounds.Grace - killMargin,
	}
}

// checkSettings reads the settings file and applies it if it changed or if
// signalled is set. Of consecutive failed reads, the first one is logged and each
// one that follows a signal.
func (h *hosted) checkSettings(path string, signalled bool) {
	raw, err := os.ReadFile(path)
	if err != nil && (signalled || !h.readFailed) {
		h.log.Error().Str("Event", "Reload").Err(err).Send()
	}
	h.readFailed = err != nil
	if err == nil && (signalled || !bytes.Equal(raw, h.settingsText)) {
		h.reload(path, raw)
	}
}

// reload applies the memory limit and the bounds of a settings file. Changed
// addresses take effect at the next start. An invalid file changes nothing and
// is not parsed again until it changes or a signal arrives.
func (h *hosted) reload(path string, raw []byte) {
	h.settingsText = raw
	s, err := platform.ParseSettings(path, raw)
	if err != nil {
		h.log.Error().Str("Event", "Reload").Err(err).Send()
		return
	}
	limitHeap(s.MemoryBytes)
	h.ingress.LimitMemory(bodyBytes(s))
	h.admissions.limitMemory(s)
	h.limitResponses(s)
	h.settings.Bounds = s.Bounds
	h.inbox.Send(bounds(s))
	h.log.Info().Str("Event", "Reload").Float64("RetryRatio", s.Bounds.Retries.Ratio).Send()
}
