package engine

import (
	"math/rand/v2"
	"time"

	"daisyshed.dev/core"
)

// Engine is one modelled engine. Settings and Random are set before the first
// Update; orders change Role and Model later.
type Engine struct {
	Settings
	// Random decides which cache events are lost.
	Random *rand.Rand
	// Counters add up what the engine has done.
	Counters Counters

	now      core.Instant
	schedule schedule
	out      []Command

	held     holdings
	used     int
	current  *holding
	prefixes prefixCache
	link     link
	step     step
	loads    []loadSample
	adapters []string
	fencing  core.Offset
	loading  map[Ticket]Order
	draining bool

	delay         time.Duration
	loseReplies   int
	ignoreFencing bool
	frozen        bool
	frozenAt      core.Instant
	frozenUntil   core.Instant
	backlog       []Message
}

// Counters add up an engine's work since its start.
type Counters struct {
	// Prefilled counts the uncached tokens computed by prefills, Used those of
	// them that a stream with at least one token came from.
	Prefilled core.Tokens
	Used      core.Tokens
	// Prefills counts finished prefills, Evicted those whose result was
	// dropped before an export began.
	Prefills int
	Evicted  int
	// Emitted counts output tokens.
	Emitted core.Tokens
	// Steps and StepTime add up decode steps; SlowestStep is the longest.
	Steps       int
	StepTime    time.Duration
	SlowestStep time.Duration
	// SentBytes counts KV cache exported.
	SentBytes float64
}

// Update takes one message at an instant and returns what to do about it and
// about all that has happened since the last call. Instants never go back.
func (e *Engine) Update(now core.Instant, message Message) []Command {
	e.out = nil
	e.advance(now)
	e.receive(message)
	e.startWork()
	return e.out
}

// Wake returns the instant at which the next Update is due.
func (e *Engine) Wake() (core.Instant, bool) {
	if e.frozen {
		return e.frozenUntil, true
	}
	return e.schedule.next()
}

// advance carries out everything that was due up to now.
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
		e.fire(e.schedule.pop().event)
		e.startWork()
	}
	e.now = max(e.now, now)
}

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
		e.schedule.add(e.now.Add(e.delay), arrived{message})
		return
	}
	e.handle(message)
}

// operation returns the ticket of a message that a client waits on.
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
		e.order(m)
	case Fetched:
		e.fetched(m)
	case FetchFailed:
		e.fetchFailed(m)
	case WeightsFetched:
		e.weightsFetched(m)
	case Disconnect:
		e.disconnect(m.Ticket)
	case Tick, Inject:
	}
}

func (e *Engine) fire(ev event) {
	switch ev := ev.(type) {
	case arrived:
		e.handle(ev.message)
	case computed:
		e.prefillDone(ev.holding)
	case evicted:
		e.evict(ev.holding)
	case transferStarted:
		e.startFlow(ev.flow)
	case linkDue:
		e.checkLink(ev.generation)
	case stepped:
		e.stepDone(ev.generation)
	case loaded:
		e.carryOut(ev.order)
	}
}

// startWork starts whatever is idle and has something to do.
func (e *Engine) startWork() {
	if e.frozen {
		return
	}
	e.startPrefill()
	e.startStep()
	e.sampleLoad()
}

func (e *Engine) emit(c Command) { e.out = append(e.out, c) }

// answer ends an operation, unless a fault loses its answer.
func (e *Engine) answer(ticket Ticket, c Command) {
	if e.loseReplies > 0 {
		e.loseReplies--
		c = Lost{ticket}
	}
	e.emit(c)
}

func (e *Engine) refuse(ticket Ticket, code string) {
	e.emit(Refused{Ticket: ticket, Code: code})
}
