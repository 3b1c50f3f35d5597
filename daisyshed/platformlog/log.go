// Package platformlog appends to and reads the platform's log for the control
// goroutine.
package platformlog

import (
	"context"
	"errors"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/wire/platformlog"
)

// Log carries out the core's commands at the platform's log and sends the
// results as messages.
type Log struct {
	Client  *platformlog.Client
	Timeout time.Duration
	Send    func(core.Message)
}

// Append appends records without blocking its caller.
func (l *Log) Append(c core.AppendLog) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), l.Timeout)
		defer cancel()
		first, err := l.Client.Append(ctx, c.Stream, c.Records)
		if err != nil {
			l.Send(failed(c.Ticket, err))
			return
		}
		l.Send(core.LogAppended{Ticket: c.Ticket, First: first})
	}()
}

// failed tells an append that provably did nothing from one that may have
// taken effect.
func failed(ticket core.Ticket, err error) core.LogAppendFailed {
	m := core.LogAppendFailed{Ticket: ticket, Reason: err.Error()}
	var refused *platformlog.AppendError
	var unsent *platformlog.EncodeError
	switch {
	case errors.As(err, &refused):
		m.NotAppended = refused.NotAppended
	case errors.As(err, &unsent):
		m.NotAppended = true
	}
	return m
}

// Read reads records without blocking its caller.
func (l *Log) Read(c core.ReadLog) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), l.Timeout)
		defer cancel()
		read, err := l.Client.Read(ctx, c.Stream, c.After)
		if err != nil {
			l.Send(core.LogReadFailed{Stream: c.Stream, Reason: err.Error()})
			return
		}
		l.Send(read)
	}()
}
