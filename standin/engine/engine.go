package engine

import (
	"math/rand/v2"
	"time"

	"daisyshed.dev/core"
)

// Engine is one simulated engine. Settings and Random are set before the
// first Update; orders change Role and Model later.
type Engine struct {
	Settings
	// Random decides which cache events are lost.
	Random *rand.Rand
	// Counters holds the engine's totals.
	Counters Counters

	now      core.Instant
	schedule schedule
	// commands collects what the current Update returns.
	commands []Command

	allocations    allocationTable
	usedPieces     int
	activePrefill  *allocation
	prefixes       prefixCache
	link           link
	step           step
	loadSamples    []loadSample
	adapters       []string
	highestFencing core.Offset
	// awaitingWeights holds the LoadModel orders whose weights are being
	// fetched.
	awaitingWeights map[Ticket]Order
	draining        bool

	delay         time.Duration
	loseReplies   int
	ignoreFencing bool
	frozen        bool
	frozenAt      core.Instant
	frozenUntil   core.Instant
	// backlog holds the messages received while the engine is frozen.
	backlog []Message
}

// Counters are the totals of an engine since its start. A crash does not
// reset them.
type Counters struct {
	// Prefilled counts the uncached tokens computed by prefills, including
	// the finished part of cancelled ones. Used counts those of them whose
	// stream emitted at least one token.
	Prefilled core.Tokens
	Used      core.Tokens
	// Prefills counts finished prefills. Evicted counts those whose result
	// was dropped because no export of it began in time.
	Prefills int
	Evicted  int
	// Emitted counts output tokens, including those that no client reads.
	Emitted core.Tokens
	// Steps counts decode steps, StepTime is their total duration and
	// SlowestStep the duration of the longest one.
	Steps       int
	StepTime    time.Duration
	SlowestStep time.Duration
	// SentBytes counts the bytes of exported KV caches.
	SentBytes float64
}

// Update handles all events that have become due since the last call, then
// message, and returns the resulting commands. The instants of successive
// calls must never decrease.
func (e *Engine) Update(now core.Instant, message Message) []Command {
	e.commands = nil
	e.advance(now)
	e.receive(message)
	e.startNext()
	return e.commands
}

// NextUpdate returns the instant at which the next Update is due, or false if
// nothing is scheduled.
func (e *Engine) NextUpdate() (core.Instant, bool) {
	if e.frozen {
		return e.frozenUntil, true
	}
	return e.schedule.next()
}

// advance handles all scheduled events that are due by now. A frozen engine
// handles none.
func (e *Engine) advance(now core.Instant) {
	if e.frozen {
		if now < e.frozenUntil {
			e.now = max(e.now, now)
			return
		}
		e.thaw()
	}
	for {
		at, ok := e.schedule.next()
		if !ok || at > now {
			break
		}
		e.now = max(e.now, at)
		e.handleEvent(e.schedule.pop().event)
		e.startNext()
	}
	e.now = max(e.now, now)
}

// receive handles a message, queues it while the engine is frozen, or
// postpones it if a delay fault is set.
func (e *Engine) receive(message Message) {
	if m, ok := message.(Inject); ok {
		e.inject(m.Fault)
		return
	}
	if e.frozen {
		if _, ok := message.(Tick); !ok {
			e.backlog = append(e.backlog, message)
		}
		return
	}
	if _, ok := operation(message); ok && e.delay > 0 {
		e.schedule.add(e.now.Add(e.delay), delayElapsed{message})
		return
	}
	e.handle(message)
}

// operation returns the ticket of a message whose client waits for a reply.
func operation(message Message) (Ticket, bool) {
	switch m := message.(type) {
	case Prefill:
		return m.Ticket, true
	case Import:
		return m.Ticket, true
	case Export:
		return m.Ticket, true
	case Decode:
		return m.Ticket, true
	case Release:
		return m.Ticket, true
	case Poll:
		return m.Ticket, true
	case Order:
		return m.Ticket, true
	default:
		return 0, false
	}
}

func (e *Engine) handle(message Message) {
	switch m := message.(type) {
	case Prefill:
		e.prefill(m)
	case Import:
		e.startImport(m)
	case Export:
		e.export(m)
	case Decode:
		e.decode(m)
	case Release:
		e.release(m)
	case Poll:
		e.emit(Reported{m.Ticket, e.report(m.After)})
	case Order:
		e.handleOrder(m)
	case CacheFetched:
		e.fetched(m)
	case CacheFetchFailed:
		e.fetchFailed(m)
	case WeightsFetched:
		e.weightsFetched(m)
	case Disconnect:
		e.disconnect(m.Ticket)
	case Tick, Inject:
	}
}

func (e *Engine) handleEvent(ev event) {
	switch ev := ev.(type) {
	case delayElapsed:
		e.handle(ev.message)
	case prefillFinished:
		e.prefillDone(ev.allocation)
	case resultExpired:
		e.evict(ev.allocation)
	case transferStarted:
		e.startFlow(ev.flow)
	case transferDue:
		e.finishTransfers(ev.generation)
	case stepFinished:
		e.stepDone(ev.generation)
	case loadFinished:
		e.applyOrder(ev.order)
	}
}

// startNext starts the next prefill and the next decode step unless one is
// running, and samples the load.
func (e *Engine) startNext() {
	if e.frozen {
		return
	}
	e.startPrefill()
	e.startStep()
	e.sampleLoad()
}

func (e *Engine) emit(c Command) { e.commands = append(e.commands, c) }

// answer replies to an operation with c, or with ConnectionLost if a fault drops
// the reply.
func (e *Engine) answer(ticket Ticket, c Command) {
	if e.loseReplies > 0 {
		e.loseReplies--
		c = ConnectionLost{ticket}
	}
	e.emit(c)
}

// reject ends an operation with one of the wire codes.
func (e *Engine) reject(ticket Ticket, code string) {
	e.emit(Refused{Ticket: ticket, Code: code})
}
