package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"daisyshed.dev/daisyshed/tcp"
)

// EventReader reads a stream of server-sent events one whole event at a time,
// so that a caller never receives part of an event if the stream breaks off.
type EventReader struct {
	r *bufio.Reader
	// reportLimit is called with the error when an event is too long.
	reportLimit func(error)
	// held is what the reader holds of the event that it reads, or has returned last.
	held tcp.Reservation
}

// NewEventReader returns a reader of the events in r. If r is the body of a [Response],
// an event that is too long is reported to the client's OnLimit.
func NewEventReader(r io.Reader) *EventReader {
	e := &EventReader{r: bufio.NewReaderSize(r, readBufferSize), reportLimit: func(error) {}}
	if b, ok := r.(*bodyReader); ok {
		e.reportLimit, e.held = b.response.reportLimit, b.response.Reserve()
	}
	return e
}

// Next returns the next whole event, including the blank line that ends it, and
// its id if it has one. It returns io.EOF at the end of the stream, and
// io.ErrUnexpectedEOF if the stream ends within an event. An event that is too long gives
// a *[TooLongError], and one for which there is no memory a *[tcp.UnfinishedError]; the stream must not
// be read any further then.
func (e *EventReader) Next() (event []byte, id string, err error) {
	lineStart := 0
	e.held.Release()
	for {
		part, err := e.r.ReadSlice('\n')
		full := e.held.Grow(int64(len(part)))
		event = append(event, part...)
		switch {
		case full != nil:
			e.reportLimit(full)
			return nil, "", full
		case len(event) > maxEventBytes:
			err := &TooLongError{Part: Event, Limit: maxEventBytes}
			e.reportLimit(err)
			return nil, "", err
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err == io.EOF && len(event) > 0:
			return nil, "", io.ErrUnexpectedEOF
		case err != nil:
			return nil, "", err
		}
		line := event[lineStart:]
		lineStart = len(event)
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return event, id, nil
		}
		if rest, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(rest))
		}
	}
}

// Release frees the reservation of the last event. The stream is not read any further.
func (e *EventReader) Release() { e.held.Release() }

// HasData reports whether an event that Next has returned carries data. Comments, blank lines and
// other fields are no event for its receiver.
func HasData(event []byte) bool {
	for line := range bytes.Lines(event) {
		name, _, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		if string(name) == "data" {
			return true
		}
	}
	return false
}
