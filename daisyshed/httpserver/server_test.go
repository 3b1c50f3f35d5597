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

// pipes is a listener of in-memory connections.
type pipes struct {
	conns  chan net.Conn
	closed chan struct{}
}

// Accept serves net.Listener.
func (p pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

// Close serves net.Listener.
func (p pipes) Close() error {
	close(p.closed)
	return nil
}

// Addr serves net.Listener.
func (p pipes) Addr() net.Addr { return &net.TCPAddr{} }

// handle answers without reading the body, except at /slow, which writes for
// longer than any timeout, and at /body.
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

// closedAfter sends text and returns how long the server keeps the connection
// open, and what it answered.
func closedAfter(t *testing.T, text string) (time.Duration, string) {
	t.Helper()
	p := pipes{conns: make(chan net.Conn), closed: make(chan struct{})}
	server := httpserver.New(http.HandlerFunc(handle), limits, log.New(io.Discard, "", 0))
	go func() { _ = server.Serve(p) }()
	near, far := net.Pipe()
	p.conns <- far
	start := time.Now()
	// A server that closes early leaves the rest unread.
	go func() { _, _ = io.WriteString(near, text) }()
	// The connection may break in place of an orderly end.
	answer, _ := io.ReadAll(bufio.NewReader(near))
	lasted := time.Since(start)
	_ = near.Close()
	_ = server.Close()
	return lasted, string(answer)
}

func TestEveryReadIsBounded(t *testing.T) {
	for name, test := range map[string]struct {
		text   string
		most   time.Duration
		answer string
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
				lasted, answer := closedAfter(t, test.text)
				is.True(lasted <= test.most+time.Second)
				is.True(strings.Contains(answer, test.answer))
				// net/http lingers over connections that it refused.
				time.Sleep(time.Minute)
			})
		})
	}
}
