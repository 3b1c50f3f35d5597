package ingress_test

import (
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// Engines run a stream that may be resumed, and answer with a status that promises that they have
// not, without stating that. The caller must not get that promise: it would begin the stream anew.
func TestUnprovenRejectionOfAStreamIsNotRelayed(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var runs atomic.Int32
			h := func(w http.ResponseWriter, _ *http.Request) {
				runs.Add(1)
				w.WriteHeader(status)
				_, _ = io.WriteString(w, "busy")
			}
			s, _ := startNode(t, nodeOptions{retries: someRetries, engines: []core.Instance{
				startUpstream(t, "e1", "model", core.Decode, h), startUpstream(t, "e2", "model", core.Decode, h),
			}})
			got, _, err := get(t, s.URL, "/resumable/x", "3000")
			is.NoErr(err)
			is.Equal(got, http.StatusBadGateway)
			is.True(runs.Load() <= 2)
		})
	}
}
