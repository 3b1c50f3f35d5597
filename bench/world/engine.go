package world

import (
	"math/rand/v2"

	"daisyshed.dev/core"
	"daisyshed.dev/standin/engine"
	"daisyshed.dev/standin/fault"
	wire "daisyshed.dev/wire/engine"
)

// engineRunner runs one engine's core.
type engineRunner struct {
	world   *World
	spec    EngineSpec
	core    *engine.Engine
	ticket  engine.Ticket
	waiting map[engine.Ticket]func(engine.Command)
	wakeAt  core.Instant
	wakeSet bool
	removed bool
}

func (w *World) openEngine(spec EngineSpec) {
	w.engines[spec.Upstream.ID] = &engineRunner{
		world:   w,
		spec:    spec,
		waiting: make(map[engine.Ticket]func(engine.Command)),
		core: &engine.Engine{
			Settings: spec.Settings,
			Random:   rand.New(rand.NewPCG(w.Seed, hash(string(spec.Upstream.ID)))),
		},
	}
}

// ask sends an operation to the engine and calls answer with each of its
// answers.
func (e *engineRunner) ask(m func(engine.Ticket) engine.Message, answer func(engine.Command)) engine.Ticket {
	e.ticket++
	t := e.ticket
	e.waiting[t] = answer
	e.update(m(t))
	return t
}

func (e *engineRunner) update(m engine.Message) {
	for _, c := range e.core.Update(e.world.Now, m) {
		e.carryOut(c)
	}
	e.setWake()
}

func (e *engineRunner) setWake() {
	at, ok := e.core.NextUpdate()
	if !ok || (e.wakeSet && e.wakeAt <= at) {
		return
	}
	e.wakeSet = true
	e.wakeAt = at
	e.world.at(at, func() {
		if e.wakeAt == at {
			e.wakeSet = false
			e.update(engine.Tick{})
		}
	})
}

func (e *engineRunner) carryOut(c engine.Command) {
	switch c := c.(type) {
	case engine.FetchCache:
		e.fetch(c)
	case engine.CancelFetch:
	case engine.FetchWeights:
		e.world.After(0, func() { e.update(engine.WeightsFetched{Ticket: c.Ticket}) })
	case engine.StreamOpened:
		e.answer(c.Ticket, c, false)
	case engine.Token:
		e.answer(c.Ticket, c, c.Event.Last)
	case engine.Prefilled:
		e.answer(c.Ticket, c, true)
	case engine.Imported:
		e.answer(c.Ticket, c, true)
	case engine.Exported:
		e.answer(c.Ticket, c, true)
	case engine.Released:
		e.answer(c.Ticket, c, true)
	case engine.Reported:
		e.answer(c.Ticket, c, true)
	case engine.Ordered:
		e.answer(c.Ticket, c, true)
	case engine.Refused:
		e.answer(c.Ticket, c, true)
	case engine.ConnectionLost:
		e.answer(c.Ticket, c, true)
	}
}

func (e *engineRunner) answer(t engine.Ticket, c engine.Command, last bool) {
	f, ok := e.waiting[t]
	if !ok {
		return
	}
	if last {
		delete(e.waiting, t)
	}
	f(c)
}

// fetch carries an export from the source engine to this one.
func (e *engineRunner) fetch(c engine.FetchCache) {
	source, ok := e.world.engines[core.EngineID(c.From)]
	if !ok {
		e.world.After(0, func() { e.update(engine.CacheFetchFailed{Ticket: c.Ticket, Code: wire.CodeNotFound}) })
		return
	}
	e.world.After(e.world.LinkDelay, func() {
		source.ask(func(t engine.Ticket) engine.Message {
			return engine.Export{Ticket: t, Allocation: c.Allocation}
		}, func(answer engine.Command) {
			e.world.After(e.world.LinkDelay, func() { e.fetched(c.Ticket, answer) })
		})
	})
}

func (e *engineRunner) fetched(t engine.Ticket, answer engine.Command) {
	switch a := answer.(type) {
	case engine.Exported:
		e.update(engine.CacheFetched{Ticket: t, Cache: a.Cache})
	case engine.Refused:
		e.update(engine.CacheFetchFailed{Ticket: t, Code: a.Code})
	default:
		e.update(engine.CacheFetchFailed{Ticket: t, Code: wire.CodeNotFound})
	}
}

// Inject sets a fault on an engine.
func (w *World) Inject(id core.EngineID, f fault.Fault) {
	w.engines[id].update(engine.Inject{Fault: f})
}

// tag turns a core's allocation into an engine's.
func tag(a core.Allocation) wire.Allocation { return wire.Allocation(a) }
