package ingress_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// A prefill engine rejects the prompt in its head and then sends a body without end. The
// rejection must be acted on as that of a run is, and not after the step's timeout.
func TestRejectionOfPrefillIsNotHeldByItsBody(t *testing.T) {
	is := is.New(t)
	prefill := startUpstream(t, "p1", "model", core.Prefill, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		for r.Context().Err() == nil {
			_, _ = io.WriteString(w, "x")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(10 * time.Millisecond)
		}
	})
	e := startSilentEngine(t, "e1", 0)
	s, _ := startNode(t, nodeOptions{engines: []core.Instance{prefill, e.Instance}, retries: someRetries})
	began := time.Now()
	got, err := readStream(t, s.URL)
	is.NoErr(err)
	is.Equal(got, wholeStream())
	t.Logf("the stream took %v", time.Since(began))
	is.True(time.Since(began) < 400*time.Millisecond)
}
