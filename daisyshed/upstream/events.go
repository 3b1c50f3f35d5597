package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 256 << 10

// EventTooLongError says that an upstream sent an event beyond the bound.
type EventTooLongError struct{}

// Error describes the fault.
func (EventTooLongError) Error() string { return "upstream: event too long" }

// Events reads a stream event by event, so that a stream which breaks off in
// the middle of an event leaves no part of it with the caller.
type Events struct{ r *bufio.Reader }

// NewEvents returns a reader of the events in r.
func NewEvents(r io.Reader) *Events { return &Events{r: bufio.NewReaderSize(r, readBuffer)} }

// Next returns the bytes of the next whole event with its blank line, and its
// id if it has one. At the stream's end it returns io.EOF; a stream that ends
// within an event gives io.ErrUnexpectedEOF.
func (e *Events) Next() (event []byte, id string, err error) {
	for {
		line, err := e.r.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case len(event) > maxEventBytes:
			return nil, "", EventTooLongError{}
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err == io.EOF && len(event) > 0:
			return nil, "", io.ErrUnexpectedEOF
		case err != nil:
			return nil, "", err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return event, id, nil
		}
		if rest, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(rest))
		}
	}
}
