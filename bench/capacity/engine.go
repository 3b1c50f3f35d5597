package capacity

import (
	"slices"
	"time"

	"daisyshed.dev/core"
	wire "daisyshed.dev/wire/engine"
)

// engine simulates a model engine of the target's size as seen by a node. It
// accepts every allocation and always reports all of its memory as free,
// because only the nodes are measured.
type engine struct {
	upstream core.Upstream
	role     core.Role
	freeAt   core.Instant
	held     []core.Held
	events   []core.CacheEvent
	// first is the number of cache events that were discarded because the node
	// has received them.
	first uint64
}

const (
	// enginePieces is the memory of an engine, in pieces.
	enginePieces = 512
	// prefillRate is the number of tokens that a prefill engine computes per
	// second.
	prefillRate = 150_000
	// transferTime is the duration of a KV cache transfer.
	transferTime = 30 * time.Millisecond
	// tokenTime is the time between two tokens. outputTokens is the length of an
	// answer: the target's 9.9 million tokens per second over its 36,000
	// requests per second.
	tokenTime    = 25 * time.Millisecond
	outputTokens = 275
)

func (e *engine) allocate(a core.Allocation, t core.Tokens) {
	e.held = append(e.held, core.Held{Allocation: a, Tokens: t})
}

func (e *engine) prefill(n *node, c core.StartPrefill) {
	now := n.fleet.clock.Now
	e.allocate(c.Allocation, c.Prompt.Tokens)
	took := time.Duration(float64(c.Prompt.Tokens) / prefillRate * float64(time.Second))
	e.freeAt = max(e.freeAt, now.Add(linkDelay)).Add(took)
	for _, b := range c.Prompt.Blocks {
		e.events = append(e.events, core.CacheEvent{Block: b})
	}
	n.receiveAfter(e.freeAt.Sub(now)+linkDelay, core.PrefillDone{Engine: c.Engine, Allocation: c.Allocation})
}

func (e *engine) startImport(n *node, c core.StartImport) {
	e.allocate(c.Allocation, c.Tokens)
	n.receiveAfter(transferTime, core.ImportDone{Engine: c.Engine, Allocation: c.Allocation})
}

func (e *engine) decode(n *node, c core.StartDecode) {
	n.fleet.Usage.Ended++
	n.receiveAfter(tokenTime, core.FirstToken{Allocation: c.Allocation})
	n.receiveAfter(tokenTime*outputTokens, core.StreamEnded{Allocation: c.Allocation, Tokens: outputTokens})
}

func (e *engine) release(n *node, c core.ReleaseMemory) {
	e.held = slices.DeleteFunc(e.held, func(h core.Held) bool { return h.Allocation == c.Allocation })
	n.receiveAfter(2*linkDelay, core.ReleaseDone{Engine: c.Engine, Allocation: c.Allocation})
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
	n.fleet.Usage.add(engineReportKind, jsonSize(wireReport(r)))
	n.receiveAfter(2*linkDelay, r)
}

// wireReport returns a report in the form in which an engine sends it.
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
