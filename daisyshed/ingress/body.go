package ingress

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/tcp"
	"daisyshed.dev/platform"
)

const (
	// defaultBodyBytes bounds the body of a request, in bytes, while no limit is set.
	defaultBodyBytes = 8 << 20
	// maxBodyTime bounds the time to read a body whose caller waits for longer.
	maxBodyTime = time.Minute
	// skipTimeout bounds the time to read a body that is dropped.
	skipTimeout = 2 * time.Second
)

// BodyTimeoutError reports that a caller did not send the whole body of its request in
// time.
type BodyTimeoutError struct{ Timeout time.Duration }

// Error returns the message with the timeout.
func (e *BodyTimeoutError) Error() string {
	return fmt.Sprintf("body of the request was not received within %s", e.Timeout)
}

// readBody reads the body of a request, within the limit of bytes and the time for which
// its caller waits. If that fails, it ends the request and returns false. The caller releases the
// body once the request has ended.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, forward core.Forward) (*heldBody, bool) {
	limit := s.maxBodyBytes.Load()
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	timeout := min(forward.Patience, maxBodyTime)
	if r.ContentLength != 0 {
		// If w does not support deadlines, only those of the connection apply.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout))
	}
	body := &heldBody{budget: &s.bodies}
	received := tcp.ReceiveBody(r)
	err := body.read(r.Body, r.ContentLength, limit)
	received()
	// Trailers are not passed on.
	r.Trailer = nil
	if err != nil {
		body.release()
		s.rejectBody(w, r, forward, timeout, err)
		return nil, false
	}
	if r.ContentLength != 0 {
		// A deadline that passes later would end the context of the request.
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	}
	return body, true
}

// rejectBody ends a request whose body could not be read. The read deadline stays set, so
// that net/http does not wait for the rest of the body before it sends the response.
func (s *Server) rejectBody(w http.ResponseWriter, r *http.Request, forward core.Forward, timeout time.Duration, err error) {
	var tooLong *http.MaxBytesError
	var full *MemoryFullError
	switch {
	case errors.As(err, &tooLong):
		s.reportLimit(forward.Attempt, err)
		w.Header().Set("Connection", "close")
		platform.WriteFailure(w, forward.Attempt, http.StatusRequestEntityTooLarge, "BodyTooLong")
	case errors.As(err, &full):
		s.reportLimit(forward.Attempt, err)
		skipBody(w, r)
		s.rejectMemoryFull(w, forward)
	case errors.Is(err, os.ErrDeadlineExceeded):
		s.reportLimit(forward.Attempt, &BodyTimeoutError{Timeout: timeout})
		w.Header().Set("Connection", "close")
		platform.WriteFailure(w, forward.Attempt, http.StatusRequestTimeout, "BodyTimeout")
	default:
		panic(http.ErrAbortHandler)
	}
}

// rejectMemoryFull rejects a request for which there is no memory.
func (s *Server) rejectMemoryFull(w http.ResponseWriter, forward core.Forward) {
	after := core.RetryAfter(forward.Patience, rand.Float64())
	platform.WriteEndForward(w, forward.Attempt, core.EndForward{Reason: core.MemoryFull, NotRun: true, RetryAfter: after})
}

// skipBody reads the rest of a body and drops it. A caller that is still sending when its
// connection is closed may not see the response.
func skipBody(w http.ResponseWriter, r *http.Request) {
	// If w does not support deadlines, only those of the connection apply.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(skipTimeout))
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		w.Header().Set("Connection", "close")
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
}

// reportLimit calls OnLimit, if it is set.
func (s *Server) reportLimit(attempt string, err error) {
	if s.OnLimit != nil {
		s.OnLimit(attempt, err)
	}
}
