package engine

import (
	"slices"

	"daisyshed.dev/core"
	wire "daisyshed.dev/wire/engine"
)

// loadSample is the load from one instant on.
type loadSample struct {
	at      core.Instant
	free    int
	queued  core.Tokens
	running int
}

// sampleLoad notes the load if it has changed and forgets samples that no
// report will show any more.
func (e *Engine) sampleLoad() {
	s := loadSample{at: e.now, free: e.FreePieces()}
	for _, h := range e.held.order {
		switch h.phase {
		case queued, computing:
			s.queued += h.uncached
		case decoding:
			s.running++
		default:
		}
	}
	if n := len(e.loads); n > 0 {
		last := e.loads[n-1]
		last.at = s.at
		if last == s {
			return
		}
	}
	e.loads = append(e.loads, s)
	shown := e.now.Add(-e.ReportLag)
	for len(e.loads) > 1 && e.loads[1].at <= shown {
		e.loads = e.loads[1:]
	}
}

// reportedLoad returns the load as of ReportLag ago.
func (e *Engine) reportedLoad() loadSample {
	shown := loadSample{free: e.Pieces}
	for _, s := range e.loads {
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
		Fencing:    e.fencing,
	}
	if e.draining {
		r.State = core.Draining.String()
	}
	for _, h := range e.held.order {
		r.Held = append(r.Held, wire.Held{
			Allocation: h.tag,
			Tokens:     h.reserved,
			Emitted:    h.emitted,
			Finished:   h.phase == finished,
		})
	}
	e.prefixes.after(e.now, after, &r)
	return r
}
