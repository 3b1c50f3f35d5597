package world

import (
	"daisyshed.dev/core"
	"daisyshed.dev/standin/engine"
	wire "daisyshed.dev/wire/engine"
)

// sendToEngine sends an operation to an engine and calls answer with each
// response, after LinkDelay in each direction. For an unknown or unreachable
// engine the response is engine.ConnectionLost.
func (n *node) sendToEngine(id core.EngineID, m func(engine.Ticket) engine.Message, answer func(engine.Command)) {
	w := n.world
	e, ok := w.engines[id]
	if !ok || e.unreachable {
		w.After(w.LinkDelay, func() { answer(engine.ConnectionLost{}) })
		return
	}
	w.After(w.LinkDelay, func() {
		e.submit(m, func(c engine.Command) { w.After(w.LinkDelay, func() { answer(c) }) })
	})
}

// engineFailed converts a response that is not a success into the core's message.
func engineFailed(id core.EngineID, a core.Allocation, step core.EngineStep, emitted core.Tokens, c engine.Command) core.EngineFailed {
	m := core.EngineFailed{Engine: id, Allocation: a, Step: step, Emitted: emitted, Reason: "connection lost"}
	if r, ok := c.(engine.Refused); ok {
		m.Reason = r.Code
		m.Full = r.Code == wire.CodeFull
		m.Draining = r.Code == wire.CodeDraining
		m.Superseded = r.Code == wire.CodeSuperseded
	}
	return m
}

func (n *node) startPrefill(c core.StartPrefill) {
	emitted := c.Emitted
	var output core.Tokens
	if conn, ok := n.callers[c.Allocation.Request]; ok {
		emitted = max(emitted, conn.sent)
		output = conn.caller.Output
	}
	n.sendToEngine(c.Engine, func(t engine.Ticket) engine.Message {
		return engine.Prefill{Ticket: t, Output: output, Request: wire.PrefillRequest{
			Allocation: wireAllocation(c.Allocation), Model: c.Model, Priority: c.Priority,
			Tokens: c.Prompt.Tokens, Blocks: c.Prompt.Blocks, Emitted: emitted,
		}}
	}, func(a engine.Command) {
		if done, ok := a.(engine.Prefilled); ok {
			n.receive(core.PrefillDone{Engine: c.Engine, Allocation: c.Allocation, Cached: done.Result.Cached})
			return
		}
		n.receive(engineFailed(c.Engine, c.Allocation, core.PrefillStep, 0, a))
	})
}

func (n *node) startImport(c core.StartImport) {
	n.sendToEngine(c.Engine, func(t engine.Ticket) engine.Message {
		return engine.Import{Ticket: t, Request: wire.ImportRequest{
			Allocation: wireAllocation(c.Allocation), FromAddress: string(c.From), Tokens: c.Tokens,
		}}
	}, func(a engine.Command) {
		if _, ok := a.(engine.Imported); ok {
			n.receive(core.ImportDone{Engine: c.Engine, Allocation: c.Allocation})
			return
		}
		n.receive(engineFailed(c.Engine, c.Allocation, core.ImportStep, 0, a))
	})
}

// stream is an answer that a node forwards from an engine to a caller.
type stream struct {
	allocation core.Allocation
	engine     core.EngineID
	// next is the offset of the next token that the node expects.
	next core.Tokens
	// first is set once the node has received a token.
	first bool
}

func (n *node) startDecode(c core.StartDecode) {
	conn, ok := n.callers[c.Allocation.Request]
	if !ok {
		return
	}
	s := &stream{allocation: c.Allocation, engine: c.Engine, next: conn.sent + 1}
	n.streams[c.Allocation.Request] = s
	n.sendToEngine(c.Engine, func(t engine.Ticket) engine.Message {
		return engine.Decode{Ticket: t, Request: wire.DecodeRequest{
			Allocation: wireAllocation(c.Allocation), After: s.next - 1, MaxTokens: c.MaxTokens, Priority: c.Priority,
		}}
	}, func(a engine.Command) { n.handleStreamEvent(s, conn, a) })
}

// handleStreamEvent handles a response from the engine of a stream, unless the
// stream has ended or has been replaced.
func (n *node) handleStreamEvent(s *stream, conn *connection, a engine.Command) {
	if n.frozen {
		n.inbox = append(n.inbox, func() { n.handleStreamEvent(s, conn, a) })
		return
	}
	if n.stopped || n.streams[s.allocation.Request] != s {
		return
	}
	switch a := a.(type) {
	case engine.StreamOpened:
	case engine.Token:
		n.handleToken(s, conn, a)
	default:
		delete(n.streams, s.allocation.Request)
		n.receive(engineFailed(s.engine, s.allocation, core.DecodeStep, s.next-1, a))
	}
}

// handleToken forwards a token to the caller and reports the first and the last
// one to the core. It drops tokens that were already forwarded.
func (n *node) handleToken(s *stream, conn *connection, t engine.Token) {
	if t.Offset < s.next {
		return
	}
	if t.Offset > s.next {
		conn.caller.addFault("a token was skipped")
	}
	s.next++
	n.countParallelToken(conn.caller)
	conn.sent = t.Offset
	conn.deliver(t.Offset, t.Event.Last)
	if !s.first {
		s.first = true
		n.receive(core.FirstToken{Allocation: s.allocation})
	}
	if t.Event.Last {
		delete(n.streams, s.allocation.Request)
		n.receive(core.StreamEnded{Allocation: s.allocation, Tokens: t.Offset})
		n.disconnect(conn)
	}
}

func (n *node) releaseMemory(c core.ReleaseMemory) {
	n.sendToEngine(c.Engine, func(t engine.Ticket) engine.Message {
		return engine.Release{Ticket: t, Allocation: wireAllocation(c.Allocation)}
	}, func(a engine.Command) {
		if _, ok := a.(engine.Released); ok {
			n.receive(core.ReleaseDone{Engine: c.Engine, Allocation: c.Allocation})
			return
		}
		n.receive(core.ReleaseFailed{Engine: c.Engine, Allocation: c.Allocation})
	})
}

func (n *node) pollEngine(c core.PollEngine) {
	n.sendToEngine(c.Engine, func(t engine.Ticket) engine.Message {
		return engine.Poll{Ticket: t, After: c.EventsAfter}
	}, func(a engine.Command) {
		r, ok := a.(engine.Reported)
		if !ok {
			n.receive(core.EngineUnreachable{Engine: c.Engine})
			return
		}
		m, err := r.Report.ToCore(c.Engine)
		if err != nil {
			n.receive(core.EngineUnreachable{Engine: c.Engine, Reason: err.Error()})
			return
		}
		n.receive(m)
	})
}

func (n *node) sendOrder(c core.SendOrder) {
	o := c.Order
	n.sendToEngine(o.Engine, func(t engine.Ticket) engine.Message {
		return engine.Order{Ticket: t, Request: wire.OrderRequest{
			Kind: o.Kind.String(), Role: o.Role.String(), Model: o.Model, Adapter: o.Adapter, Fencing: o.Fencing,
		}}
	}, func(a engine.Command) {
		if _, ok := a.(engine.Ordered); ok {
			n.receive(core.OrderDone{Order: o})
			return
		}
		r, refused := a.(engine.Refused)
		n.receive(core.OrderFailed{Order: o, StaleFencing: refused && r.Code == wire.CodeStaleFencing})
	})
}
