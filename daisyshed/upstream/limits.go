package upstream

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"

	"daisyshed.dev/daisyshed/peer"
	"daisyshed.dev/daisyshed/tcp"
	"daisyshed.dev/wire/http1"
)

const (
	// maxHeadBytes bounds the head of a response, in bytes.
	maxHeadBytes = 64 << 10
	// maxLateBytes bounds the body of a response to another request, in bytes, that is
	// skipped to reach the next response on its connection.
	maxLateBytes = 1 << 20
	// maxEventBytes bounds one event of a stream, in bytes.
	maxEventBytes = 256 << 10
	// maxQuotedBytes bounds how much of a malformed head an error quotes, in bytes.
	maxQuotedBytes = 128
)

// Part is a part of a response whose size is bounded.
type Part int

//go:generate stringer -type=Part -output=part_string.go

const (
	// Head is the status line and the headers.
	Head Part = iota
	// LateBody is the body of a response to another request.
	LateBody
	// Body is the body of a response that is read as a whole.
	Body
	// Event is one event of a stream.
	Event
)

// TooLongError reports that an upstream sent more than Limit bytes for a part of a
// response. The rest is not read.
type TooLongError struct {
	Part  Part
	Limit int64
}

// Error returns the message with the part and the limit.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("upstream: %s exceeds %d bytes", e.Part, e.Limit)
}

// MalformedHeadError reports a head that could not be parsed. Cause may quote all of it.
type MalformedHeadError struct{ Cause error }

// Error returns the message with the beginning of the cause.
func (e *MalformedHeadError) Error() string {
	text := e.Cause.Error()
	return "upstream: malformed head: " + text[:min(len(text), maxQuotedBytes)]
}

// Unwrap returns the cause.
func (e *MalformedHeadError) Unwrap() error { return e.Cause }

// headError returns the error of a head whose reading failed with err: err itself if the
// connection failed, and a MalformedHeadError otherwise.
func headError(err error) error {
	var network net.Error
	var path *peer.PathError
	if errors.As(err, &network) || errors.As(err, &path) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) {
		return err
	}
	return &MalformedHeadError{Cause: err}
}

// limitedReader reads from a connection until a limit is reached. Unlike io.LimitedReader,
// it then returns an error other than io.EOF, and the limit can be replaced.
type limitedReader struct {
	r    io.Reader
	part Part
	// limit is the number of bytes that may be read for part, and left how many of them
	// remain. There is no limit if it is zero.
	limit, left int64
	// exceeded is the error that Read returned at the limit; nil before.
	exceeded error
	// head measures the head that is being read, and held is what the connection holds of heads in
	// parsed form.
	head tcp.HeadScanner
	held tcp.Reservation
}

// setLimit bounds the bytes of the part that is read next.
func (l *limitedReader) setLimit(p Part, limit int64) {
	l.part, l.limit, l.left, l.head = p, limit, limit, tcp.HeadScanner{}
}

// checkHead returns an error if the head that has been read is not valid.
func (l *limitedReader) checkHead(response *http.Response) error {
	if l.head.HasAmbiguousLength() {
		return http1.AmbiguousLengthError{}
	}
	return http1.CheckHead(response)
}

// removeLimit ends the limit, because the part has been read. It returns what the head holds, which
// the caller releases once it does not use the head any more.
func (l *limitedReader) removeLimit() tcp.Reservation {
	l.limit = 0
	held := l.held
	l.held = held.Next()
	return held
}

// Read reads from the connection.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.limit == 0 {
		return l.r.Read(p)
	}
	if l.left <= 0 {
		l.exceeded = &TooLongError{Part: l.part, Limit: l.limit}
		return 0, l.exceeded
	}
	n, err := l.r.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	if l.part == Head {
		before := l.head.Bytes()
		l.head.Scan(p[:n])
		if full := l.held.Grow(l.head.Bytes() - before); full != nil {
			l.exceeded = full
			return 0, full
		}
	}
	return n, err
}

// heldReader records what is read as held. It returns what was read also with an *[tcp.UnfinishedError].
type heldReader struct {
	r    io.Reader
	held *tcp.Reservation
}

// Read reads from r.
func (h *heldReader) Read(p []byte) (int, error) {
	n, err := h.r.Read(p)
	if full := h.held.Grow(int64(n)); full != nil {
		return n, full
	}
	return n, err
}

// reportLimit calls OnLimit if err says that an upstream exceeded a limit, or that all did together.
func (c *Client) reportLimit(key string, err error) {
	var tooLong *TooLongError
	var unfinished *tcp.UnfinishedError
	if c.OnLimit != nil && (errors.As(err, &tooLong) || errors.As(err, &unfinished)) {
		c.OnLimit(key, err)
	}
}
