package ingress

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/platform"
)

const (
	// defaultBodyBytes bounds the body of a request, in bytes, while no limit is set.
	defaultBodyBytes = 8 << 20
	// maxBodyTime bounds the time to read a body whose caller waits for longer.
	maxBodyTime = time.Minute
)

// BodyTimeoutError reports that a caller did not send the whole body of its request in
// time.
type BodyTimeoutError struct{ Timeout time.Duration }

// Error returns the message with the timeout.
func (e *BodyTimeoutError) Error() string {
	return fmt.Sprintf("body of the request was not received within %s", e.Timeout)
}

// readBody reads the body of a request, within the limit of bytes and the time for which
// its caller waits. If that fails, it ends the request and returns false.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, forward core.Forward) ([]byte, bool) {
	limit := s.maxBodyBytes.Load()
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	timeout := min(forward.Patience, maxBodyTime)
	if r.ContentLength != 0 {
		// If w does not support deadlines, only those of the connection apply.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout))
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		s.rejectBody(w, forward.Attempt, timeout, err)
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
func (s *Server) rejectBody(w http.ResponseWriter, attempt string, timeout time.Duration, err error) {
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		s.reportLimit(attempt, err)
		platform.WriteFailure(w, attempt, http.StatusRequestEntityTooLarge, "BodyTooLong")
	case errors.Is(err, os.ErrDeadlineExceeded):
		s.reportLimit(attempt, &BodyTimeoutError{Timeout: timeout})
		w.Header().Set("Connection", "close")
		platform.WriteFailure(w, attempt, http.StatusRequestTimeout, "BodyTimeout")
	default:
		panic(http.ErrAbortHandler)
	}
}

// reportLimit calls OnLimit, if it is set.
func (s *Server) reportLimit(attempt string, err error) {
	if s.OnLimit != nil {
		s.OnLimit(attempt, err)
	}
}
