package engine_test

import (
	"math/rand/v2"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/standin/engine"
	"daisyshed.dev/standin/fault"
	wire "daisyshed.dev/wire/engine"
)

const model core.ModelID = "m"

// world runs engines on virtual time and transfers KV caches between them.
type world struct {
	now     core.Instant
	names   []string
	engines map[string]*engine.Engine
	// tickets is the last ticket issued.
	tickets engine.Ticket
	// replies holds the commands that answered each ticket, repliedAt the
	// time of the last one.
	replies   map[engine.Ticket][]engine.Command
	repliedAt map[engine.Ticket]core.Instant
	// fetches maps the ticket of an export to the import that it serves.
	fetches map[engine.Ticket]fetch
	// reports holds each engine's reports in the order in which they arrived.
	reports map[string][]wire.Report
}

// fetch identifies the import that an export serves.
type fetch struct {
	importer string
	ticket   engine.Ticket
}

func newWorld() *world {
	return &world{
		now:       core.Instant(time.Hour),
		engines:   map[string]*engine.Engine{},
		replies:   map[engine.Ticket][]engine.Command{},
		repliedAt: map[engine.Ticket]core.Instant{},
		fetches:   map[engine.Ticket]fetch{},
		reports:   map[string][]wire.Report{},
	}
}

// add adds an engine with default settings, except that no cache events are
// lost.
func (w *world) add(name string, role core.Role) *engine.Engine {
	settings := engine.DefaultSettings()
	settings.Role, settings.Model, settings.EventGapRate = role, model, 0
	e := &engine.Engine{Settings: settings, Random: rand.New(rand.NewPCG(1, 2))}
	w.names = append(w.names, name)
	w.engines[name] = e
	return e
}

// pair returns a world with a prefill engine p and a decode engine d.
func pair() *world {
	w := newWorld()
	w.add("p", core.Prefill)
	w.add("d", core.Decode)
	return w
}

func (w *world) update(name string, message engine.Message) {
	for _, c := range w.engines[name].Update(w.now, message) {
		w.execute(name, c)
	}
}

func (w *world) ticket() engine.Ticket {
	w.tickets++
	return w.tickets
}

func (w *world) execute(name string, command engine.Command) {
	switch c := command.(type) {
	case engine.FetchCache:
		ticket := w.ticket()
		w.fetches[ticket] = fetch{name, c.Ticket}
		w.update(c.From, engine.Export{Ticket: ticket, Allocation: c.Allocation})
	case engine.Exported:
		f := w.fetches[c.Ticket]
		w.update(f.importer, engine.CacheFetched{Ticket: f.ticket, Cache: c.Cache})
	case engine.Prefilled:
		w.recordReply(c.Ticket, c)
	case engine.Imported:
		w.recordReply(c.Ticket, c)
	case engine.StreamOpened:
		w.recordReply(c.Ticket, c)
	case engine.Token:
		w.recordReply(c.Ticket, c)
	case engine.Released:
		w.recordReply(c.Ticket, c)
	case engine.Reported:
		w.reports[name] = append(w.reports[name], c.Report)
		w.recordReply(c.Ticket, c)
	case engine.Ordered:
		w.recordReply(c.Ticket, c)
	case engine.Refused:
		w.fail(c.Ticket, c, c.Code)
	case engine.ConnectionLost:
		w.fail(c.Ticket, c, wire.CodeNotFound)
	}
}

// fail records that an operation failed. If the operation is an export, the
// importing engine receives the failure instead.
func (w *world) fail(ticket engine.Ticket, c engine.Command, code string) {
	if f, ok := w.fetches[ticket]; ok {
		w.update(f.importer, engine.CacheFetchFailed{Ticket: f.ticket, Code: code})
		return
	}
	w.recordReply(ticket, c)
}

func (w *world) recordReply(ticket engine.Ticket, c engine.Command) {
	w.replies[ticket] = append(w.replies[ticket], c)
	w.repliedAt[ticket] = w.now
}

// run advances the time by d and handles all events that become due.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for {
		name, at := w.next()
		if name == "" || at > end {
			break
		}
		w.now = max(w.now, at)
		w.update(name, engine.Tick{})
	}
	w.now = end
	for _, name := range w.names {
		w.update(name, engine.Tick{})
	}
}

// next returns the engine that is due first, and when. The name is empty if
// none is scheduled.
func (w *world) next() (string, core.Instant) {
	name, first := "", core.Instant(0)
	for _, n := range w.names {
		if at, ok := w.engines[n].NextUpdate(); ok && (name == "" || at < first) {
			name, first = n, at
		}
	}
	return name, first
}

// tag returns the allocation of one attempt at a request.
func tag(request string, attempt core.Attempt) wire.Allocation {
	return wire.Allocation{Request: core.RequestID(request), Attempt: attempt, Holder: "n", Incarnation: 1}
}

func (w *world) prefill(name string, a wire.Allocation, tokens core.Tokens, blocks ...core.BlockHash) engine.Ticket {
	t := w.ticket()
	request := wire.PrefillRequest{Allocation: a, Model: model, Tokens: tokens, Blocks: blocks, Text: "prompt of " + string(a.Request)}
	w.update(name, engine.Prefill{Ticket: t, Request: request})
	return t
}

func (w *world) importFrom(name, from string, a wire.Allocation, tokens core.Tokens) engine.Ticket {
	t := w.ticket()
	w.update(name, engine.Import{Ticket: t, Request: wire.ImportRequest{Allocation: a, FromAddress: from, Tokens: tokens}})
	return t
}

func (w *world) decode(name string, a wire.Allocation, after core.Tokens) engine.Ticket {
	t := w.ticket()
	w.update(name, engine.Decode{Ticket: t, Request: wire.DecodeRequest{Allocation: a, After: after}})
	return t
}

func (w *world) release(name string, a wire.Allocation) engine.Ticket {
	t := w.ticket()
	w.update(name, engine.Release{Ticket: t, Allocation: a})
	return t
}

func (w *world) order(name string, fencing core.Offset, role core.Role) engine.Ticket {
	t := w.ticket()
	request := wire.OrderRequest{Kind: core.SetRole.String(), Role: role.String(), Fencing: fencing}
	w.update(name, engine.Order{Ticket: t, Request: request})
	return t
}

func (w *world) poll(name string, after uint64) engine.Ticket {
	t := w.ticket()
	w.update(name, engine.Poll{Ticket: t, After: after})
	return t
}

// report polls an engine and returns its report. The engine must answer at
// once.
func (w *world) report(name string, after uint64) wire.Report {
	return w.last(w.poll(name, after)).(engine.Reported).Report
}

func (w *world) inject(name string, f fault.Fault) { w.update(name, engine.Inject{Fault: f}) }

// startStream prefills a request on p, imports it to d, releases it on p and
// starts decoding. It returns the ticket of the decode operation.
func (w *world) startStream(request string, tokens core.Tokens) engine.Ticket {
	w.prefill("p", tag(request, 1), tokens)
	w.run(time.Second / 2)
	w.importFrom("d", "p", tag(request, 1), tokens+256)
	w.run(time.Second / 10)
	w.release("p", tag(request, 1))
	return w.decode("d", tag(request, 1), 0)
}

// last returns the last reply to a ticket, or nil.
func (w *world) last(t engine.Ticket) engine.Command {
	replies := w.replies[t]
	if len(replies) == 0 {
		return nil
	}
	return replies[len(replies)-1]
}

// rejectionCode returns the code with which a ticket was rejected, or the
// empty string.
func (w *world) rejectionCode(t engine.Ticket) string {
	refused, _ := w.last(t).(engine.Refused)
	return refused.Code
}

// receivedText returns the text of the tokens that a decode ticket received.
func (w *world) receivedText(t engine.Ticket) string {
	text := ""
	for _, c := range w.replies[t] {
		if token, ok := c.(engine.Token); ok {
			text += token.Event.Text
		}
	}
	return text
}

// expectedAnswer returns the complete answer to a request that was prefilled
// by [world.prefill].
func expectedAnswer(request string) string {
	prompt := "prompt of " + request
	text := ""
	for k := core.Tokens(1); k <= engine.AnswerLength(prompt, 0); k++ {
		text += engine.AnswerToken(prompt, k)
	}
	return text
}
