package httpserver_test

import (
	"bufio"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"daisyshed.dev/daisyshed/httpserver"
	"github.com/matryer/is"
)

var limits = httpserver.Limits{
	HeaderBytes:   4096,
	HeaderTimeout: 5 * time.Second,
	ReadTimeout:   10 * time.Second,
	WriteTimeout:  20 * time.Second,
	IdleTimeout:   time.Minute,
}

// pipeListener is a net.Listener that accepts in-memory connections.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

// Accept implements net.Listener.
func (p pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (p pipeListener) Close() error {
	close(p.closed)
	return nil
}

// Addr implements net.Listener.
func (p pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// handle echoes the request's body at /body, writes for longer than WriteTimeout
// at /slow, and elsewhere responds without reading the body.
func handle(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/slow":
		for range 5 {
			time.Sleep(limits.WriteTimeout / 2)
			_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(limits.WriteTimeout))
			_, _ = io.WriteString(w, "x")
		}
	case "/body":
		_, _ = io.Copy(w, r.Body)
	default:
		_, _ = io.WriteString(w, "done")
	}
}

// timeUntilClose sends text and returns how long the server kept the connection
// open, and its response.
func timeUntilClose(t *testing.T, text string) (time.Duration, string) {
	t.Helper()
	p := pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	server := httpserver.New(http.HandlerFunc(handle), limits, log.New(io.Discard, "", 0))
	go func() { _ = server.Serve(p) }()
	clientConn, serverConn := net.Pipe()
	p.conns <- serverConn
	start := time.Now()
	// The write fails if the server closes the connection before it has read
	// everything.
	go func() { _, _ = io.WriteString(clientConn, text) }()
	// The server may close the connection in the middle of a response, so an
	// error is expected here.
	answer, _ := io.ReadAll(bufio.NewReader(clientConn))
	elapsed := time.Since(start)
	_ = clientConn.Close()
	_ = server.Close()
	return elapsed, string(answer)
}

func TestEveryReadIsBounded(t *testing.T) {
	for name, test := range map[string]struct {
		text        string
		maxDuration time.Duration
		answer      string
	}{
		"silent":        {"", limits.HeaderTimeout, ""},
		"half a header": {"GET / HTTP/1.1\r\nHost: n\r\nX-", limits.HeaderTimeout, ""},
		"large header": {
			"GET / HTTP/1.1\r\nHost: n\r\nX-Large: " + strings.Repeat("x", 3*4096) + "\r\n\r\n", limits.HeaderTimeout, "431",
		},
		"unread body": {
			"POST / HTTP/1.1\r\nHost: n\r\nContent-Length: 1000\r\n\r\nx", limits.ReadTimeout, "200 OK",
		},
		"unread body of unknown length": {
			"POST / HTTP/1.1\r\nHost: n\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nx", limits.ReadTimeout, "200 OK",
		},
		"read body": {
			"POST /body HTTP/1.1\r\nHost: n\r\nContent-Length: 1000\r\n\r\nx", 2 * limits.ReadTimeout, "",
		},
		"idle": {"GET / HTTP/1.1\r\nHost: n\r\n\r\n", limits.IdleTimeout, "200 OK"},
		"long answer": {
			"GET /slow HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n", 5 * limits.WriteTimeout, "xxxxx",
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				elapsed, answer := timeUntilClose(t, test.text)
				is.True(elapsed <= test.maxDuration+time.Second)
				is.True(strings.Contains(answer, test.answer))
				// net/http delays the close of connections that it rejected; let
				// that end within the test.
				time.Sleep(time.Minute)
			})
		})
	}
}
