package ingress_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// endlessUpstream answers each request with a head and then writes chunk after chunk, with
// a pause between them, until the connection is closed. It counts the answers in progress.
func endlessUpstream(t *testing.T, status int, contentType string, chunk []byte, pause time.Duration) (core.Instance, *atomic.Int32) {
	var writing atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writing.Add(1)
		defer writing.Add(-1)
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Server-Seal", "s")
		w.Header().Set("Content-Type", contentType)
		w.WriteHeader(status)
		for {
			if _, err := w.Write(chunk); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
			select {
			case <-time.After(pause):
			case <-r.Context().Done():
				return
			}
		}
	}))
	t.Cleanup(s.Close)
	return core.Instance{ID: "e1", Service: "model", Address: s.Listener.Addr().String(), Slots: 8, Role: core.Decode, Born: 1}, &writing
}

// sendStream sends a request for a stream whose caller waits for the given time.
func sendStream(t *testing.T, url string, patience time.Duration) net.Conn {
	c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_, err = fmt.Fprintf(c, "POST /resumable/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\nToken-Count: 10,20\r\nDeadline-Ms: %d\r\nContent-Length: 0\r\n\r\n", patience.Milliseconds())
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// eventually waits until the count is zero.
func eventually(t *testing.T, count *atomic.Int32, within time.Duration) {
	t.Helper()
	for until := time.Now().Add(within); count.Load() != 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%d answers are still in progress after %v", count.Load(), within)
		}
	}
}

// An upstream sends an answer that never ends, and the caller reads it for ever. The node
// must end it, and not much later than the caller said that it would wait.
func TestEndlessAnswerEnds(t *testing.T) {
	big := bytes.Repeat([]byte("x"), 64<<10)
	for name, c := range map[string]struct {
		status      int
		contentType string
		chunk       []byte
		pause       time.Duration
	}{
		"success":               {200, "text/plain", big, time.Millisecond},
		"slow success":          {200, "text/plain", []byte("x"), 20 * time.Millisecond},
		"failure":               {500, "text/plain", big, time.Millisecond},
		"slow failure":          {500, "text/plain", []byte("x"), 20 * time.Millisecond},
		"rejection":             {429, "text/plain", big, time.Millisecond},
		"stream of events":      {200, "text/event-stream", []byte("data: x\n\n"), time.Millisecond},
		"event without end":     {200, "text/event-stream", big, time.Millisecond},
		"slow event":            {200, "text/event-stream", []byte("x"), 20 * time.Millisecond},
		"stream of blank lines": {200, "text/event-stream", []byte("\n"), time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			u, writing := endlessUpstream(t, c.status, c.contentType, c.chunk, c.pause)
			s, _ := startNode(t, nodeOptions{engines: []core.Instance{u}, retries: someRetries})
			conn := sendStream(t, s.URL, time.Second)
			began := time.Now()
			_ = conn.SetReadDeadline(began.Add(6 * time.Second))
			a, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			_, err = io.Copy(io.Discard, a.Body)
			is.True(a.StatusCode >= 400 || err != nil)
			is.True(time.Since(began) < 3*time.Second)
			eventually(t, writing, time.Second)
		})
	}
}

// A caller that does not read must not hold an engine longer than it said that it waits.
func TestCallerThatDoesNotReadIsGivenUp(t *testing.T) {
	u, writing := endlessUpstream(t, 200, "text/event-stream", []byte("data: "+strings.Repeat("x", 60<<10)+"\n\n"), 0)
	s, n := startNode(t, nodeOptions{engines: []core.Instance{u}, retries: someRetries})
	conn := sendStream(t, s.URL, time.Second)
	defer conn.Close()
	for until := time.Now().Add(2 * time.Second); writing.Load() == 0 && time.Now().Before(until); {
		time.Sleep(10 * time.Millisecond)
	}
	eventually(t, writing, 5*time.Second)
	is.New(t).Equal(n.count("gone")+n.count("fail"), 1)
}
