package tcp_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"daisyshed.dev/daisyshed/tcp"
	"github.com/matryer/is"
)

// serveIdle serves empty answers on a listener and returns a function that connects to it, has one
// request answered, leaves the connection open and returns once the server counts it as idle.
func serveIdle(t *testing.T, limit int, idle *tcp.IdleTimeout) (connect func() net.Conn) {
	t.Helper()
	is := is.New(t)
	l, err := tcp.ListenWithIdleTimeout("127.0.0.1:0", limit, idle)
	is.NoErr(err)
	idleConns := make(chan struct{}, 64)
	track := func(c net.Conn, state http.ConnState) {
		tcp.TrackState(c, state)
		if state == http.StateIdle {
			idleConns <- struct{}{}
		}
	}
	s := &http.Server{ReadHeaderTimeout: time.Second, ConnState: track, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { _ = c.Close() })
		exchange(t, c)
		<-idleConns
		return c
	}
}

// exchange has one request answered on a connection.
func exchange(t *testing.T, c net.Conn) {
	t.Helper()
	is := is.New(t)
	is.NoErr(c.SetDeadline(time.Now().Add(2 * time.Second)))
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
}

// closedWithin reports whether the other end closes a connection within d.
func closedWithin(t *testing.T, c net.Conn, d time.Duration) bool {
	t.Helper()
	is.New(t).NoErr(c.SetDeadline(time.Now().Add(d)))
	_, err := c.Read(make([]byte, 1))
	return err == io.EOF
}

// Idle connections stayed open for minutes, whatever operators had set, until no descriptor was
// left.
func TestIdleConnectionsEndAfterTheirTimeout(t *testing.T) {
	is := is.New(t)
	var idle tcp.IdleTimeout
	connect := serveIdle(t, 8, &idle)
	first := connect()
	idle.Set(300 * time.Millisecond)
	second := connect()
	time.Sleep(200 * time.Millisecond)
	exchange(t, second)
	time.Sleep(200 * time.Millisecond)
	exchange(t, second)
	is.True(closedWithin(t, second, 2*time.Second))
	is.True(!closedWithin(t, first, 50*time.Millisecond))
}

// A new connection must not wait while others are idle.
func TestNewConnectionReplacesTheLongestIdle(t *testing.T) {
	is := is.New(t)
	connect := serveIdle(t, 3, &tcp.IdleTimeout{})
	first := connect()
	time.Sleep(5 * time.Millisecond)
	second := connect()
	time.Sleep(5 * time.Millisecond)
	exchange(t, first)
	connect()
	connect()
	is.True(closedWithin(t, second, time.Second))
	exchange(t, first)
}
