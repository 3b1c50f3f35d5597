package ingress_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// An upstream has read a request that must run once, on a connection that was used before, and
// its answer is lost or proves nothing. The request must not go to another upstream, and its
// caller must not be told that it has not run.
func TestRequestWhoseAnswerIsLostIsNotSentAgain(t *testing.T) {
	for name, lost := range map[string]string{
		"closed":          "",
		"half a head":     "HTTP/1.1 200 OK\r\nAttempt-Id: ATTEMPT\r\n",
		"half a body":     "HTTP/1.1 200 OK\r\nAttempt-Id: ATTEMPT\r\nServer-Seal: s\r\nContent-Length: 9\r\n\r\nx",
		"interim only":    "HTTP/1.1 100 Continue\r\n\r\n",
		"no signature":    "HTTP/1.1 200 OK\r\nAttempt-Id: ATTEMPT\r\nContent-Length: 0\r\n\r\n",
		"other attempt":   "HTTP/1.1 503 Busy\r\nAttempt-Id: other\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"no attempt":      "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"own instance":    "HTTP/1.1 421 Not here\r\nAttempt-Id: ATTEMPT\r\nInstance-Id: INSTANCE\r\nContent-Length: 0\r\n\r\n",
		"no instance":     "HTTP/1.1 421 Not here\r\nAttempt-Id: ATTEMPT\r\nContent-Length: 0\r\n\r\n",
		"no statement":    "HTTP/1.1 503 Busy\r\nAttempt-Id: ATTEMPT\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
		"bad status line": "HTTP/1.1 abc\r\nAttempt-Id: ATTEMPT\r\n\r\n",
	} {
		for size, body := range map[string][]byte{"short": []byte("b"), "long": bytes.Repeat([]byte("b"), 3<<20)} {
			t.Run(name+"/"+size, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				var arrivals atomic.Int32
				u := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					attempt := r.Header.Get("Attempt-Id")
					_, _ = io.Copy(io.Discard, r.Body)
					if attempt == "first" {
						w.Header().Set("Attempt-Id", attempt)
						w.Header().Set("Server-Seal", "s")
						return
					}
					arrivals.Add(1)
					c, _, err := http.NewResponseController(w).Hijack()
					if err != nil {
						return
					}
					defer c.Close()
					_, _ = strings.NewReplacer("ATTEMPT", attempt, "INSTANCE", r.Header.Get("Expect-Instance")).WriteString(c, lost)
				}))
				t.Cleanup(u.Close)
				address := u.Listener.Addr().String()
				s, n := startNode(t, nodeOptions{retries: someRetries})
				n.update(core.DesiredState{
					Version: 2,
					Routes: []core.Route{{
						ID: "once", Host: "h", Prefix: "/x/", RetryPolicy: core.Once, Timeout: nodeTimeout, Objective: nodeObjective,
						MaxRuns: 2, Split: []core.Share{{Service: "ledger", Weight: 1}},
					}},
					Services: map[core.ServiceID]core.ServiceSpec{"ledger": {ID: "ledger"}},
				})
				n.update(core.InstancesRead{After: 1, Offset: 2, Changed: []core.Instance{
					{ID: "e1", Service: "ledger", Address: address, Slots: 8, Born: 1}, {ID: "e2", Service: "ledger", Address: address, Slots: 8, Born: 1},
				}})
				is.Equal(postTo(t, s.URL, "first", nil), http.StatusOK)
				is.Equal(postTo(t, s.URL, "second", body), http.StatusBadGateway)
				is.Equal(arrivals.Load(), int32(1))
			})
		}
	}
}

// postTo sends a request to the host h and returns the status of the answer.
func postTo(t *testing.T, url, attempt string, body []byte) int {
	r, err := http.NewRequest(http.MethodPost, url+"/x/", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("Attempt-Id", attempt)
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, a.Body)
	_ = a.Body.Close()
	return a.StatusCode
}
