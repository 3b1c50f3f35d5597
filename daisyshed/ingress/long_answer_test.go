package ingress_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// An engine answers a resumable request with a long body that is no stream and breaks off.
// Events of another engine must not be joined to it.
func TestEventsAreNotJoinedToABodyThatIsNoStream(t *testing.T) {
	is := is.New(t)
	var arrivals atomic.Int32
	h := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Server-Seal", "s")
		if arrivals.Add(1) == 1 {
			w.Header().Set("Content-Type", "text/plain")
			_, _ = w.Write(bytes.Repeat([]byte("x"), 2<<20))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(200 * time.Millisecond)
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: 1\n\n")
	}
	s, _ := startNode(t, nodeOptions{retries: someRetries, engines: []core.Instance{
		startUpstream(t, "e1", "model", core.Decode, h), startUpstream(t, "e2", "model", core.Decode, h),
	}})
	got, err := readStream(t, s.URL)
	is.True(err != nil)
	is.True(!strings.Contains(got, "data:"))
}

// A caller closes its connection in the middle of a long answer. That is no failure of the
// upstream.
func TestCallerThatLeavesALongAnswerIsNoFailureOfTheUpstream(t *testing.T) {
	is := is.New(t)
	u, writing := endlessUpstream(t, 200, "application/octet-stream", bytes.Repeat([]byte("x"), 64<<10), 0)
	u.Service, u.Role = "ledger", core.Plain
	s, n := startPlainNode(t, 10*time.Second, u)
	conn, err := net.Dial("tcp", strings.TrimPrefix(s.URL, "http://"))
	is.NoErr(err)
	_, err = fmt.Fprint(conn, "GET /plain/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\nDeadline-Ms: 8000\r\n\r\n")
	is.NoErr(err)
	_, err = io.CopyN(io.Discard, conn, 4<<20)
	is.NoErr(err)
	_ = conn.Close()
	eventually(t, writing, time.Second)
	time.Sleep(100 * time.Millisecond)
	is.Equal(n.count("step-failed"), 0)
	is.Equal(n.count("gone"), 1)
}
