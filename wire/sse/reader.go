// Package sse reads and writes server-sent events.
package sse

import (
	"bufio"
	"io"
	"strings"
)

// MaxLineBytes is the largest size of a line that a Reader accepts.
const MaxLineBytes = 1 << 20

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
	lines.Buffer(nil, MaxLineBytes)
	return &Reader{lines: lines}
}

// Next returns the next event, and [io.EOF] after the last. It drops an event that
// is truncated by the end of the stream.
func (r *Reader) Next() (Event, error) {
	var e Event
	hasField := false
	for r.lines.Scan() {
		line := strings.TrimSuffix(r.lines.Text(), "\r")
		if line != "" {
			hasField = e.parseLine(line) || hasField
			continue
		}
		if hasField {
			return e, nil
		}
	}
	if err := r.lines.Err(); err != nil {
		return Event{}, err
	}
	return Event{}, io.EOF
}

// parseLine parses one line into e and reports whether the line sets a field.
func (e *Event) parseLine(line string) bool {
	name, value, _ := strings.Cut(line, ":")
	value = strings.TrimPrefix(value, " ")
	switch name {
	case "id":
		e.ID = value
	case "event":
		e.Name = value
	case "data":
		if e.Data != "" {
			e.Data += "\n"
		}
		e.Data += value
	default:
		return false
	}
	return true
}
