package enginehttp

import (
	"context"
	"sync/atomic"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/standin/engine"
)

// replyBufferSize is the number of replies to one call that can wait until the
// HTTP handler reads them. The longest answer fits.
const replyBufferSize = 1024

// call is an operation with an HTTP handler that waits for replies. The loop
// closes replies if its buffer is full because the client reads too slowly.
type call struct {
	ticket  engine.Ticket
	replies chan engine.Command
}

// submission is a message for the loop, and the call that waits for the replies
// to it, or nil.
type submission struct {
	message engine.Message
	call    *call
}

// loop drives the engine. Only the goroutine of run accesses the engine and
// calls.
type loop struct {
	engine  *engine.Engine
	inbox   chan submission
	perform func(engine.Command)
	calls   map[engine.Ticket]*call
	tickets atomic.Uint64
	started time.Time
	stopped chan struct{}
}

func newLoop(e *engine.Engine) *loop {
	return &loop{
		engine:  e,
		inbox:   make(chan submission),
		calls:   map[engine.Ticket]*call{},
		started: time.Now(),
		stopped: make(chan struct{}),
	}
}

// newCall returns a call with a new, unique ticket.
func (l *loop) newCall() *call {
	return &call{
		ticket:  engine.Ticket(l.tickets.Add(1)),
		replies: make(chan engine.Command, replyBufferSize),
	}
}

// submit sends a message to the loop. It returns false if ctx ends or the loop
// stops first.
func (l *loop) submit(ctx context.Context, s submission) bool {
	select {
	case l.inbox <- s:
		return true
	case <-ctx.Done():
		return false
	case <-l.stopped:
		return false
	}
}

// run passes messages and timer events to the engine until ctx ends.
func (l *loop) run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	defer close(l.stopped)
	for {
		l.setTimer(timer)
		select {
		case s := <-l.inbox:
			if s.call != nil {
				l.calls[s.call.ticket] = s.call
			}
			l.update(s.message)
		case <-timer.C:
			l.update(engine.Tick{})
		case <-ctx.Done():
			return
		}
	}
}

// setTimer sets the timer to the instant at which the engine next needs a Tick.
func (l *loop) setTimer(timer *time.Timer) {
	wait := time.Hour
	if at, ok := l.engine.NextUpdate(); ok {
		wait = max(0, at.Sub(l.now()))
	}
	timer.Reset(wait)
}

// now returns the time since the loop was created.
func (l *loop) now() core.Instant { return core.Instant(time.Since(l.started)) }

// update passes a message to the engine, delivers the replies among the returned
// commands to their calls and performs the other commands.
func (l *loop) update(message engine.Message) {
	if d, ok := message.(engine.Disconnect); ok {
		delete(l.calls, d.Ticket)
	}
	for _, c := range l.engine.Update(l.now(), message) {
		if ticket, last, ok := replyTicket(c); ok {
			l.deliver(ticket, c, last)
			continue
		}
		l.perform(c)
	}
}

// deliver sends a reply to its call, if a client still waits for it. It removes
// the call after the last reply, or if the reply buffer is full.
func (l *loop) deliver(ticket engine.Ticket, c engine.Command, last bool) {
	call, ok := l.calls[ticket]
	if !ok {
		return
	}
	select {
	case call.replies <- c:
	default:
		close(call.replies)
		last = true
	}
	if last {
		delete(l.calls, ticket)
	}
}

// replyTicket returns the ticket of the call that a command replies to and whether
// it is the last reply. ok is false if the command is not a reply.
func replyTicket(command engine.Command) (ticket engine.Ticket, last, ok bool) {
	switch c := command.(type) {
	case engine.Prefilled:
		return c.Ticket, true, true
	case engine.Imported:
		return c.Ticket, true, true
	case engine.Exported:
		return c.Ticket, true, true
	case engine.StreamOpened:
		return c.Ticket, false, true
	case engine.Token:
		return c.Ticket, c.Event.Last, true
	case engine.Released:
		return c.Ticket, true, true
	case engine.Reported:
		return c.Ticket, true, true
	case engine.Ordered:
		return c.Ticket, true, true
	case engine.Refused:
		return c.Ticket, true, true
	case engine.ConnectionLost:
		return c.Ticket, true, true
	default:
		return 0, false, false
	}
}
