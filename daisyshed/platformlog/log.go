// Package platformlog executes the core's appends to the platform's log and reads
// from it, without blocking the control goroutine.
package platformlog

import (
	"context"
	"errors"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/wire/platformlog"
)

// Log executes the core's log commands and sends the results to the core as
// messages.
type Log struct {
	Client     *platformlog.Client
	Timeout    time.Duration
	SendToCore func(core.Message)
}

// Append appends records without blocking its caller.
func (l *Log) Append(c core.AppendLog) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), l.Timeout)
		defer cancel()
		first, err := l.Client.Append(ctx, c.Stream, c.Records)
		if err != nil {
			l.SendToCore(appendFailed(c.Ticket, err))
			return
		}
		l.SendToCore(core.LogAppended{Ticket: c.Ticket, First: first})
	}()
}

// appendFailed converts an append's error to a message. NotAppended is set only
// if it is certain that nothing was appended; otherwise the append may have taken
// effect.
func appendFailed(ticket core.Ticket, err error) core.LogAppendFailed {
	m := core.LogAppendFailed{Ticket: ticket, Reason: err.Error()}
	var appendErr *platformlog.AppendError
	var encodeErr *platformlog.EncodeError
	switch {
	case errors.As(err, &appendErr):
		m.NotAppended = appendErr.NotAppended
	case errors.As(err, &encodeErr):
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
			l.SendToCore(core.LogReadFailed{Stream: c.Stream, Reason: err.Error()})
			return
		}
		l.SendToCore(read)
	}()
}
