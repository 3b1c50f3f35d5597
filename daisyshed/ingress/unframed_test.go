package ingress_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// unframedUpstream answers with a stream that has neither a length nor chunks, and closes
// the connection after the given bytes.
func unframedUpstream(t *testing.T, events string) core.Instance {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: s\r\nContent-Type: text/event-stream\r\n\r\n%s", r.Header.Get("Attempt-Id"), events)
	}))
	t.Cleanup(s.Close)
	return core.Instance{ID: "e1", Service: "model", Address: s.Listener.Addr().String(), Slots: 8, Role: core.Decode, Born: 1}
}

// An engine's stream has neither a length nor chunks, and ends with its connection. It is
// complete if it ends after an event. One that ends inside an event, or before the first, has
// broken off: its caller must not take it for a whole answer.
func TestUnframedStreamThatBreaksOffIsNotComplete(t *testing.T) {
	const event = "id: 1\ndata: x\n\n"
	for name, c := range map[string]struct {
		events   string
		complete bool
	}{
		"after an event":         {event + event, true},
		"inside an event":        {event + "id: 2\ndata: ", false},
		"inside the first event": {"id: 1\nda", false},
		"at the end of a line":   {event + "id: 2\n", false},
		"before the first event": {"", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s, _ := startNode(t, nodeOptions{engines: []core.Instance{unframedUpstream(t, c.events)}})
			conn := sendStream(t, s.URL, 2*time.Second)
			_ = conn.SetReadDeadline(time.Now().Add(6 * time.Second))
			a, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				is.True(!c.complete)
				return
			}
			defer a.Body.Close()
			body, err := io.ReadAll(a.Body)
			is.Equal(a.StatusCode == http.StatusOK && err == nil, c.complete)
			if c.complete {
				is.Equal(string(body), c.events)
			}
		})
	}
}
