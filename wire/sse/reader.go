// Package sse reads and writes server-sent events.
package sse

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
)

// MaxEventBytes is the largest size of an event that a Reader accepts, in bytes. Lines
// that it ignores count too.
const MaxEventBytes = 1 << 20

// EventTooLongError reports an event of more than MaxEventBytes.
type EventTooLongError struct{}

// Error returns the message.
func (*EventTooLongError) Error() string {
	return fmt.Sprintf("sse: event exceeds %d bytes", MaxEventBytes)
}

// Event is one server-sent event.
type Event struct {
	ID   string
	Name string
	Data string
}

// Reader reads events from a stream.
type Reader struct{ lines *bufio.Scanner }

// NewReader returns a Reader of r.
func NewReader(r io.Reader) *Reader {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, MaxEventBytes)
	return &Reader{lines: lines}
}

// Next returns the next event, and [io.EOF] after the last. It drops an event that
// is truncated by the end of the stream. An event that is too long gives an
// *[EventTooLongError]; the stream must not be read any further then.
func (r *Reader) Next() (Event, error) {
	var e Event
	var data strings.Builder
	size, hasField := 0, false
	for r.lines.Scan() {
		if size += len(r.lines.Bytes()) + 1; size > MaxEventBytes {
			return Event{}, &EventTooLongError{}
		}
		line := strings.TrimSuffix(r.lines.Text(), "\r")
		if line != "" {
			hasField = e.parseLine(line, &data) || hasField
			continue
		}
		if hasField {
			e.Data = data.String()
			return e, nil
		}
		size = 0
	}
	err := r.lines.Err()
	switch {
	case errors.Is(err, bufio.ErrTooLong):
		return Event{}, &EventTooLongError{}
	case err != nil:
		return Event{}, err
	}
	return Event{}, io.EOF
}

// parseLine parses one line into e, and that of a data field into data. It reports whether
// the line sets a field.
func (e *Event) parseLine(line string, data *strings.Builder) bool {
	name, value, _ := strings.Cut(line, ":")
	value = strings.TrimPrefix(value, " ")
	switch name {
	case "id":
		e.ID = value
	case "event":
		e.Name = value
	case "data":
		if data.Len() > 0 {
			data.WriteByte('\n')
		}
		data.WriteString(value)
	default:
		return false
	}
	return true
}
