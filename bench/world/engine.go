package world

import (
	"math/rand/v2"

	"daisyshed.dev/core"
	"daisyshed.dev/standin/engine"
	"daisyshed.dev/standin/fault"
	wire "daisyshed.dev/wire/engine"
)

// engineRunner runs the core of a stand-in engine.
type engineRunner struct {
	world  *World
	spec   EngineSpec
	core   *engine.Engine
	ticket engine.Ticket
	// handlers holds the functions that handle the responses to the operations
	// in progress.
	handlers      map[engine.Ticket]func(engine.Command)
	tickAt        core.Instant
	tickScheduled bool
	// unreachable is set from CrashEngine until RestoreEngine; requests of nodes
	// to the engine fail meanwhile.
	unreachable bool
}

func (w *World) openEngine(spec EngineSpec) {
	w.engines[spec.Upstream.ID] = &engineRunner{
		world:    w,
		spec:     spec,
		handlers: make(map[engine.Ticket]func(engine.Command)),
		core: &engine.Engine{
			Settings: spec.Settings,
			Random:   rand.New(rand.NewPCG(w.Seed, hash(string(spec.Upstream.ID)))),
		},
	}
}

// submit passes an operation with a new ticket to the engine and calls answer
// with each response to it.
func (e *engineRunner) submit(m func(engine.Ticket) engine.Message, answer func(engine.Command)) engine.Ticket {
	e.ticket++
	t := e.ticket
	e.handlers[t] = answer
	e.update(m(t))
	return t
}

func (e *engineRunner) update(m engine.Message) {
	for _, c := range e.core.Update(e.world.Now, m) {
		e.execute(c)
	}
	e.scheduleTick()
}

// scheduleTick schedules a tick for when the engine's next update is due, unless
// an earlier one is already scheduled.
func (e *engineRunner) scheduleTick() {
	at, ok := e.core.NextUpdate()
	if !ok || (e.tickScheduled && e.tickAt <= at) {
		return
	}
	e.tickScheduled = true
	e.tickAt = at
	e.world.schedule(at, func() {
		if e.tickAt == at {
			e.tickScheduled = false
			e.update(engine.Tick{})
		}
	})
}

func (e *engineRunner) execute(c engine.Command) {
	switch c := c.(type) {
	case engine.FetchCache:
		e.fetch(c)
	case engine.CancelFetch:
	case engine.FetchWeights:
		e.world.After(0, func() { e.update(engine.WeightsFetched{Ticket: c.Ticket}) })
	case engine.StreamOpened:
		e.dispatch(c.Ticket, c, false)
	case engine.Token:
		e.dispatch(c.Ticket, c, c.Event.Last)
	case engine.Prefilled:
		e.dispatch(c.Ticket, c, true)
	case engine.Imported:
		e.dispatch(c.Ticket, c, true)
	case engine.Exported:
		e.dispatch(c.Ticket, c, true)
	case engine.Released:
		e.dispatch(c.Ticket, c, true)
	case engine.Reported:
		e.dispatch(c.Ticket, c, true)
	case engine.Ordered:
		e.dispatch(c.Ticket, c, true)
	case engine.Refused:
		e.dispatch(c.Ticket, c, true)
	case engine.ConnectionLost:
		e.dispatch(c.Ticket, c, true)
	}
}

// dispatch passes a response to the handler of its operation, and removes the
// handler after the last one.
func (e *engineRunner) dispatch(t engine.Ticket, c engine.Command, last bool) {
	f, ok := e.handlers[t]
	if !ok {
		return
	}
	if last {
		delete(e.handlers, t)
	}
	f(c)
}

// fetch requests an export from the source engine and passes it to this one.
func (e *engineRunner) fetch(c engine.FetchCache) {
	source, ok := e.world.engines[core.EngineID(c.From)]
	if !ok {
		e.world.After(0, func() { e.update(engine.CacheFetchFailed{Ticket: c.Ticket, Code: wire.CodeNotFound}) })
		return
	}
	e.world.After(e.world.LinkDelay, func() {
		source.submit(func(t engine.Ticket) engine.Message {
			return engine.Export{Ticket: t, Allocation: c.Allocation}
		}, func(answer engine.Command) {
			e.world.After(e.world.LinkDelay, func() { e.finishFetch(c.Ticket, answer) })
		})
	})
}

func (e *engineRunner) finishFetch(t engine.Ticket, answer engine.Command) {
	switch a := answer.(type) {
	case engine.Exported:
		e.update(engine.CacheFetched{Ticket: t, Cache: a.Cache})
	case engine.Refused:
		e.update(engine.CacheFetchFailed{Ticket: t, Code: a.Code})
	default:
		e.update(engine.CacheFetchFailed{Ticket: t, Code: wire.CodeNotFound})
	}
}

// Inject injects a fault into an engine.
func (w *World) Inject(id core.EngineID, f fault.Fault) {
	w.engines[id].update(engine.Inject{Fault: f})
}

// wireAllocation converts an allocation from the core's type to the wire type.
func wireAllocation(a core.Allocation) wire.Allocation { return wire.Allocation(a) }
