package engine

import (
	"slices"

	"daisyshed.dev/core"
	wire "daisyshed.dev/wire/engine"
)

// loadSample is the load from an instant until the next sample.
type loadSample struct {
	at      core.Instant
	free    int
	queued  core.Tokens
	running int
}

// sampleLoad records the load if it has changed, and discards samples that
// are too old for any further report.
func (e *Engine) sampleLoad() {
	s := loadSample{at: e.now, free: e.FreePieces()}
	for _, a := range e.allocations.order {
		switch a.phase {
		case queued, computing:
			s.queued += a.uncached
		case decoding:
			s.running++
		default:
		}
	}
	if n := len(e.loadSamples); n > 0 {
		last := e.loadSamples[n-1]
		last.at = s.at
		if last == s {
			return
		}
	}
	e.loadSamples = append(e.loadSamples, s)
	shown := e.now.Add(-e.ReportLag)
	for len(e.loadSamples) > 1 && e.loadSamples[1].at <= shown {
		e.loadSamples = e.loadSamples[1:]
	}
}

// reportedLoad returns the load as of ReportLag ago.
func (e *Engine) reportedLoad() loadSample {
	shown := loadSample{free: e.Pieces}
	for _, s := range e.loadSamples {
		if s.at > e.now.Add(-e.ReportLag) {
			break
		}
		shown = s
	}
	return shown
}

func (e *Engine) report(after uint64) wire.Report {
	load := e.reportedLoad()
	r := wire.Report{
		State:      core.Serving.String(),
		Role:       e.Role.String(),
		Model:      e.Model,
		Adapters:   slices.Clone(e.adapters),
		Pieces:     e.Pieces,
		FreePieces: load.free,
		Queued:     load.queued,
		Running:    load.running,
		Fencing:    e.highestFencing,
	}
	if e.draining {
		r.State = core.Draining.String()
	}
	for _, a := range e.allocations.order {
		r.Held = append(r.Held, wire.Held{
			Allocation: a.tag,
			Tokens:     a.reserved,
			Emitted:    a.emitted,
			Finished:   a.phase == finished,
		})
	}
	e.prefixes.fillReport(e.now, after, &r)
	return r
}
