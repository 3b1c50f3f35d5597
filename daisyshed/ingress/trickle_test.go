package ingress_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// trickle is what a stalled engine sends every tricklePause.
const tricklePause = 50 * time.Millisecond

// startTrickling starts an engine that sends first, and then a trickle without end.
func startTrickling(t *testing.T, first, trickle string) core.Instance {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		_, err = io.WriteString(c, strings.ReplaceAll(first, "ATTEMPT", r.Header.Get("Attempt-Id")))
		for err == nil {
			time.Sleep(tricklePause)
			_, err = io.WriteString(c, trickle)
		}
	}))
	t.Cleanup(s.Close)
	return core.Instance{ID: "e1", Service: "model", Address: s.Listener.Addr().String(), Slots: 8, Role: core.Decode, Born: 1}
}

// An engine stalls and sends some bytes now and then that make no event. Its stream must go on at
// another engine, as that of a silent one does.
func TestTrickleIsNoProgressOfAStream(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nAttempt-Id: ATTEMPT\r\nServer-Seal: s\r\nContent-Type: text/event-stream\r\n"
	events := ""
	for i := range silentAfter {
		events += fmt.Sprintf("id: %d\ndata: %d\n\n", i+1, i+1)
	}
	for name, c := range map[string]struct{ first, trickle string }{
		"header lines":                {head, "X: y\r\n"},
		"interim responses":           {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"comments before any event":   {head + "\r\n", ": x\n\n"},
		"blank lines":                 {head + "\r\n" + events, "\n"},
		"comments":                    {head + "\r\n" + events, ": x\n\n"},
		"comments with CRLF":          {head + "\r\n" + events, ": x\r\n\r\n"},
		"reconnection times":          {head + "\r\n" + events, "retry: 1\n\n"},
		"bytes of an event":           {head + "\r\n" + events + "id: 4\ndata: ", "x"},
		"lines of an event":           {head + "\r\n" + events + "id: 4\n", "data: x\n"},
		"comments inside of an event": {head + "\r\n" + events + "id: 4\n", ": x\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			stalled := startTrickling(t, c.first, c.trickle)
			other := startSilentEngine(t, "e2", 0)
			other.Draining = true
			s, n := startNode(t, nodeOptions{engines: []core.Instance{stalled, other.Instance}, retries: someRetries})
			// The stalled engine is the only open one when the stream begins.
			time.AfterFunc(300*time.Millisecond, func() {
				other.Draining = false
				n.update(core.InstancesRead{After: 1, Offset: 2, Changed: []core.Instance{other.Instance}})
			})
			began := time.Now()
			got, err := readStream(t, s.URL)
			is.NoErr(err)
			is.True(time.Since(began) < 6*time.Second)
			is.Equal(fields(got), fields(wholeStream()))
		})
	}
}

// fields returns the lines of a stream's ids and data.
func fields(stream string) (lines []string) {
	for line := range strings.Lines(stream) {
		if strings.HasPrefix(line, "id:") || strings.HasPrefix(line, "data:") {
			lines = append(lines, line)
		}
	}
	return lines
}

// A plain upstream sends its answer a byte at a time. Another one must be asked, as beside one that
// is silent.
func TestTrickleIsNoProgressOfAPlainAnswer(t *testing.T) {
	is := is.New(t)
	slow := startTrickling(t, "HTTP/1.1 200 OK\r\nAttempt-Id: ATTEMPT\r\nServer-Seal: s\r\nContent-Length: 100000\r\n\r\n", "x")
	slow.Service, slow.Role = "ledger", core.Plain
	sound := startUpstream(t, "e2", "ledger", core.Plain, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Server-Seal", "s")
		_, _ = io.WriteString(w, "answer")
	})
	sound.Draining = true
	s, n := startPlainNode(t, 200*time.Millisecond, slow, sound)
	time.AfterFunc(200*time.Millisecond, func() {
		sound.Draining = false
		n.update(core.InstancesRead{After: 2, Offset: 3, Changed: []core.Instance{sound}})
	})
	status, body, err := get(t, s.URL, "/plain/x", "5000")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(body, "answer")
}
