package caller

import (
	"net/http"
	"time"
)

// answerTimeout is the write timeout for an answer that is written at once.
const answerTimeout = 5 * time.Second

// setWriteDeadline sets the deadline of the next write to a caller. It must be
// called before every write, because the server's own write timeout counts from
// the request, and an answer may take longer than that.
func setWriteDeadline(w http.ResponseWriter, timeout time.Duration) {
	// The error is ignored: a writer that does not support deadlines is bounded
	// by its connection alone.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(timeout))
}

// setReadDeadline sets the deadline for reading a body. It returns a function
// that removes the deadline again, because the server then waits for the caller
// to disconnect, and that wait has no bound.
func setReadDeadline(w http.ResponseWriter, timeout time.Duration) func() {
	c := http.NewResponseController(w)
	// The error is ignored: a reader that does not support deadlines is bounded
	// by its connection alone.
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	return func() { _ = c.SetReadDeadline(time.Time{}) }
}
