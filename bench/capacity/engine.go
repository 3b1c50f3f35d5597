package capacity

import (
	"slices"
	"time"

	"daisyshed.dev/core"
	wire "daisyshed.dev/wire/engine"
)

// engine answers a node as a model engine of the target's size would. It has
// memory enough for all that comes, because only the nodes are measured.
type engine struct {
	upstream core.Upstream
	role     core.Role
	freeAt   core.Instant
	held     []core.Held
	events   []core.CacheEvent
	// first is the number of the first event that is kept.
	first uint64
}

const (
	// enginePieces is the memory of an engine, in pieces.
	enginePieces = 512
	// prefillRate is the tokens that a prefill engine computes in a second.
	prefillRate = 150_000
	// transferTime is the time of a transfer of KV cache.
	transferTime = 30 * time.Millisecond
	// tokenTime is the time between two tokens, and outputTokens the length
	// of an answer: 9.9 million tokens for 36,000 requests.
	tokenTime    = 25 * time.Millisecond
	outputTokens = 275
)

func (e *engine) hold(a core.Allocation, t core.Tokens) {
	e.held = append(e.held, core.Held{Allocation: a, Tokens: t})
}

func (e *engine) prefill(n *node, c core.StartPrefill) {
	now := n.fleet.clock.Now
	e.hold(c.Allocation, c.Prompt.Tokens)
	took := time.Duration(float64(c.Prompt.Tokens) / prefillRate * float64(time.Second))
	e.freeAt = max(e.freeAt, now.Add(linkDelay)).Add(took)
	for _, b := range c.Prompt.Blocks {
		e.events = append(e.events, core.CacheEvent{Block: b})
	}
	n.later(e.freeAt.Sub(now)+linkDelay, core.PrefillDone{Engine: c.Engine, Allocation: c.Allocation})
}

func (e *engine) load(n *node, c core.StartImport) {
	e.hold(c.Allocation, c.Tokens)
	n.later(transferTime, core.ImportDone{Engine: c.Engine, Allocation: c.Allocation})
}

func (e *engine) decode(n *node, c core.StartDecode) {
	n.fleet.Usage.Ended++
	n.later(tokenTime, core.FirstToken{Allocation: c.Allocation})
	n.later(tokenTime*outputTokens, core.StreamEnded{Allocation: c.Allocation, Tokens: outputTokens})
}

func (e *engine) release(n *node, c core.ReleaseMemory) {
	e.held = slices.DeleteFunc(e.held, func(h core.Held) bool { return h.Allocation == c.Allocation })
	n.later(2*linkDelay, core.ReleaseDone{Engine: c.Engine, Allocation: c.Allocation})
}

func (e *engine) poll(n *node, c core.PollEngine) {
	if c.EventsAfter > e.first {
		e.events = slices.Clone(e.events[c.EventsAfter-e.first:])
		e.first = c.EventsAfter
	}
	r := core.EngineReport{
		Engine: c.Engine, Role: e.role, Model: modelName, Pieces: enginePieces, FreePieces: enginePieces,
		Running: len(e.held), Held: slices.Clone(e.held), Events: slices.Clone(e.events),
		EventsFrom: e.first + 1, EventsThrough: e.first + uint64(len(e.events)),
	}
	n.fleet.Usage.add(engineReport, jsonSize(wireReport(r)))
	n.later(2*linkDelay, r)
}

// wireReport returns a report as an engine sends it.
func wireReport(r core.EngineReport) wire.Report {
	w := wire.Report{
		State: r.State.String(), Role: r.Role.String(), Model: r.Model, Pieces: r.Pieces, FreePieces: r.FreePieces,
		Running: r.Running, EventsFrom: r.EventsFrom, EventsThrough: r.EventsThrough,
	}
	for _, h := range r.Held {
		w.Held = append(w.Held, wire.Held{Allocation: wire.Allocation(h.Allocation), Tokens: h.Tokens})
	}
	for _, e := range r.Events {
		w.Events = append(w.Events, wire.CacheEvent(e))
	}
	return w
}
