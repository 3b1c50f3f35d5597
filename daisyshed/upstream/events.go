package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxEventBytes bounds the size of one event of a stream.
const maxEventBytes = 256 << 10

// EventTooLongError reports an event of more than maxEventBytes.
type EventTooLongError struct{}

// Error returns the message.
func (EventTooLongError) Error() string { return "upstream: event exceeds the size limit" }

// EventReader reads a stream of server-sent events one whole event at a time,
// so that a caller never receives part of an event if the stream breaks off.
type EventReader struct{ r *bufio.Reader }

// NewEventReader returns a reader of the events in r.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{r: bufio.NewReaderSize(r, readBufferSize)}
}

// Next returns the next whole event, including the blank line that ends it, and
// its id if it has one. It returns io.EOF at the end of the stream, and
// io.ErrUnexpectedEOF if the stream ends within an event.
func (e *EventReader) Next() (event []byte, id string, err error) {
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
