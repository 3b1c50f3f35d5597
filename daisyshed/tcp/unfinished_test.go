package tcp_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"daisyshed.dev/daisyshed/tcp"
	"github.com/matryer/is"
)

// Hundreds of callers send most of a long head and not its end. Each head was within its own limit, and
// together they exceeded the memory of the process.
func TestUnfinishedHeadsAreBoundedTogether(t *testing.T) {
	is := is.New(t)
	const limit, size, conns = 64 << 10, 16 << 10, 16
	l := listen(t, 2*conns)
	var heads tcp.Admission
	heads.SetHeadMemory(limit)
	tcp.Admit(l, &heads)
	s := &http.Server{
		ReadHeaderTimeout: 5 * time.Second, ConnContext: tcp.WithConn, ConnState: tcp.TrackState,
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = tcp.BeginRequest(r) }),
	}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	open := func(head string) net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { _ = c.Close() })
		_, err = io.WriteString(c, head)
		is.NoErr(err)
		return c
	}
	served := func(head string) bool {
		c := open(head + "\r\n\r\n")
		_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		return err == nil && r.StatusCode == http.StatusOK
	}
	long := "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", size)
	is.True(served(long))
	var held []net.Conn
	for range conns {
		held = append(held, open(long))
		time.Sleep(2 * time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	is.True(heads.Held() <= limit)
	closed := 0
	for _, c := range held {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
			closed++
		}
	}
	is.True(closed >= conns-limit/size)
	is.True(served("GET / HTTP/1.1\r\nHost: h"))
	for _, c := range held {
		_ = c.Close()
	}
	time.Sleep(50 * time.Millisecond)
	is.Equal(heads.Held(), int64(0))
	is.True(served(long))
}
