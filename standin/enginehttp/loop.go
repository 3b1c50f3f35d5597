package enginehttp

import (
	"context"
	"sync/atomic"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/standin/engine"
)

// replyBuffer holds the commands of one operation that its client has not
// read yet. It has room for the longest answer.
const replyBuffer = 1024

// call is an operation that a client waits on. Its channel is closed when the
// client can't keep up.
type call struct {
	ticket  engine.Ticket
	replies chan engine.Command
}

// submission is a message for the loop, with the call to answer, if any.
type submission struct {
	message engine.Message
	call    *call
}

// loop owns the engine core: only its goroutine touches it.
type loop struct {
	core    *engine.Engine
	inbox   chan submission
	perform func(engine.Command)
	calls   map[engine.Ticket]*call
	tickets atomic.Uint64
	started time.Time
	stopped chan struct{}
}

func newLoop(e *engine.Engine) *loop {
	return &loop{
		core:    e,
		inbox:   make(chan submission),
		calls:   map[engine.Ticket]*call{},
		started: time.Now(),
		stopped: make(chan struct{}),
	}
}

// newCall returns a call with a ticket of its own.
func (l *loop) newCall() *call {
	return &call{
		ticket:  engine.Ticket(l.tickets.Add(1)),
		replies: make(chan engine.Command, replyBuffer),
	}
}

// submit hands a message to the loop. It returns false if ctx or the loop ends
// first.
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

func (l *loop) setTimer(timer *time.Timer) {
	wait := time.Hour
	if at, ok := l.core.Wake(); ok {
		wait = max(0, at.Sub(l.now()))
	}
	timer.Reset(wait)
}

func (l *loop) now() core.Instant { return core.Instant(time.Since(l.started)) }

func (l *loop) update(message engine.Message) {
	if d, ok := message.(engine.Disconnect); ok {
		delete(l.calls, d.Ticket)
	}
	for _, c := range l.core.Update(l.now(), message) {
		if ticket, last, ok := reply(c); ok {
			l.deliver(ticket, c, last)
			continue
		}
		l.perform(c)
	}
}

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

// reply returns the ticket that a command answers and whether it is the last
// answer to it.
func reply(command engine.Command) (ticket engine.Ticket, last, ok bool) {
	switch c := command.(type) {
	case engine.Prefilled:
		return c.Ticket, true, true
	case engine.Imported:
		return c.Ticket, true, true
	case engine.Exported:
		return c.Ticket, true, true
	case engine.Opened:
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
	case engine.Lost:
		return c.Ticket, true, true
	default:
		return 0, false, false
	}
}
