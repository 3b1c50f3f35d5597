package caller

import (
	"net/http"
	"time"
)

// answerTimeout bounds the writing of a short answer.
const answerTimeout = 5 * time.Second

// extend bounds the next write to a caller. It goes before every write: the
// server's own timeout counts from the request, which an answer may outlast.
func extend(w http.ResponseWriter, timeout time.Duration) {
	// A writer without deadlines is bounded by its connection alone.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(timeout))
}

// boundRead bounds the reading of a body, and returns a function that lifts
// the bound, so that waiting for the caller to leave has none.
func boundRead(w http.ResponseWriter, timeout time.Duration) func() {
	c := http.NewResponseController(w)
	// A reader without deadlines is bounded by its connection alone.
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	return func() { _ = c.SetReadDeadline(time.Time{}) }
}
