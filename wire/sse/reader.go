// Package sse reads and writes server-sent events.
package sse

import (
	"bufio"
	"io"
	"strings"
)

// MaxLine bounds the bytes of one line of a stream.
const MaxLine = 1 << 20

// Event is one server-sent event.
type Event struct {
	ID   string
	Name string
	Data string
}

// Reader reads the events of a stream.
type Reader struct{ lines *bufio.Scanner }

// NewReader returns a Reader of r.
func NewReader(r io.Reader) *Reader {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, MaxLine)
	return &Reader{lines: lines}
}

// Next returns the next event, and io.EOF after the last. An event that the
// stream breaks off is dropped.
func (r *Reader) Next() (Event, error) {
	var e Event
	filled := false
	for r.lines.Scan() {
		line := strings.TrimSuffix(r.lines.Text(), "\r")
		if line != "" {
			filled = e.field(line) || filled
			continue
		}
		if filled {
			return e, nil
		}
	}
	if err := r.lines.Err(); err != nil {
		return Event{}, err
	}
	return Event{}, io.EOF
}

// field takes in one line and reports whether it set a field.
func (e *Event) field(line string) bool {
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
