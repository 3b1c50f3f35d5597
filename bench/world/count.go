package world

import (
	"cmp"
	"fmt"
	"slices"

	"daisyshed.dev/core"
	"daisyshed.dev/standin/engine"
	wire "daisyshed.dev/wire/engine"
)

// countBytes adds the size of a message between nodes to ControlBytes.
func (w *World) countBytes(m core.PeerMessage) {
	if w.PeerSize == nil {
		return
	}
	w.ControlBytes[fmt.Sprintf("%T", m.Body)] += uint64(w.PeerSize(m))
}

// sortedKeys returns a map's keys in ascending order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// EngineCounters returns the sum of the engines' counters.
func (w *World) EngineCounters() engine.Counters {
	var total engine.Counters
	for _, id := range sortedKeys(w.engines) {
		c := w.engines[id].core.Counters
		total.Prefilled += c.Prefilled
		total.Used += c.Used
		total.Prefills += c.Prefills
		total.Evicted += c.Evicted
		total.Emitted += c.Emitted
		total.Steps += c.Steps
		total.StepTime += c.StepTime
		total.SentBytes += c.SentBytes
	}
	return total
}

// Held returns the allocations that an engine reports as held.
func (w *World) Held(id core.EngineID) []wire.Held {
	var held []wire.Held
	e := w.engines[id]
	e.submit(func(t engine.Ticket) engine.Message { return engine.Poll{Ticket: t} }, func(c engine.Command) {
		if r, ok := c.(engine.Reported); ok {
			held = r.Report.Held
		}
	})
	return held
}
