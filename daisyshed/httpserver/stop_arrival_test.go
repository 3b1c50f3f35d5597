package httpserver_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"daisyshed.dev/daisyshed/httpserver"
	"daisyshed.dev/daisyshed/tcp"
	"github.com/matryer/is"
)

const plainRequest = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"

// gatedListener returns connections whose reads wait while the gate is held, as those of a process
// without processor time do.
type gatedListener struct {
	*net.TCPListener
	gate *atomic.Pointer[chan struct{}]
}

func (l gatedListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return gatedConn{c, l.gate}, nil
}

type gatedConn struct {
	*net.TCPConn
	gate *atomic.Pointer[chan struct{}]
}

func (c gatedConn) Read(p []byte) (int, error) {
	if gate := c.gate.Load(); gate != nil {
		<-*gate
	}
	return c.TCPConn.Read(p)
}

// stoppable is a server that can be stopped while requests arrive.
type stoppable struct {
	*http.Server
	listener net.Listener
	gate     atomic.Pointer[chan struct{}]
	stopped  chan error
}

// newStoppable returns a server for h that has at most limit connections, and does not serve yet.
func newStoppable(t *testing.T, limit int, h http.HandlerFunc) *stoppable {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s := &stoppable{stopped: make(chan error, 1)}
	s.listener = tcp.Limit(gatedListener{inner.(*net.TCPListener), &s.gate}, limit)
	s.Server = httpserver.New(h, httpserver.Limits{HeaderTimeout: time.Second, ReadTimeout: time.Second, WriteTimeout: 5 * time.Second, IdleTimeout: time.Minute}, nil)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// connect opens a connection and sends text on it.
func (s *stoppable) connect(t *testing.T, text string) (net.Conn, *bufio.Reader) {
	is := is.New(t)
	c, err := net.Dial("tcp", s.listener.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	is.NoErr(c.SetDeadline(time.Now().Add(5 * time.Second)))
	_, err = io.WriteString(c, text)
	is.NoErr(err)
	return c, bufio.NewReader(c)
}

// stop stops the server in the background and returns once that has begun.
func (s *stoppable) stop(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	t.Cleanup(cancel)
	go func() { s.stopped <- httpserver.Stop(ctx, s.listener) }()
	time.Sleep(50 * time.Millisecond)
}

// answered reports whether a whole answer is read.
func answered(r *bufio.Reader) bool {
	a, err := http.ReadResponse(r, nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, a.Body)
	return err == nil && a.StatusCode == http.StatusOK
}

func ok(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

// Connections wait in the operating system's queue with their requests when the server stops, as
// it has no processor time to accept them.
func TestQueuedConnectionsAreAnsweredAtAStop(t *testing.T) {
	is := is.New(t)
	s := newStoppable(t, 10, ok)
	var readers []*bufio.Reader
	for range 5 {
		_, r := s.connect(t, plainRequest)
		readers = append(readers, r)
	}
	s.stop(t)
	go func() { _ = s.Serve(s.listener) }()
	for _, r := range readers {
		is.True(answered(r))
	}
	is.NoErr(<-s.stopped)
}

// A connection waits for a slot with its request when the server stops.
func TestConnectionWithoutASlotIsAnsweredAtAStop(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	s := newStoppable(t, 1, func(w http.ResponseWriter, r *http.Request) {
		<-release
		ok(w, r)
	})
	go func() { _ = s.Serve(s.listener) }()
	_, first := s.connect(t, plainRequest)
	time.Sleep(20 * time.Millisecond)
	_, second := s.connect(t, plainRequest)
	time.Sleep(50 * time.Millisecond)
	s.stop(t)
	close(release)
	is.True(answered(first))
	is.True(answered(second))
	is.NoErr(<-s.stopped)
}

// A request has arrived when the server stops, and has not been read yet: on a new connection, and
// on a kept one.
func TestUnreadRequestIsAnsweredAtAStop(t *testing.T) {
	for name, kept := range map[string]bool{"new connection": false, "kept connection": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			gate := make(chan struct{})
			var s *stoppable
			s = newStoppable(t, 10, func(w http.ResponseWriter, r *http.Request) {
				// The server's read beside the handler has passed the gate by then.
				time.Sleep(50 * time.Millisecond)
				s.gate.Store(&gate)
				ok(w, r)
			})
			if !kept {
				s.gate.Store(&gate)
			}
			go func() { _ = s.Serve(s.listener) }()
			c, r := s.connect(t, plainRequest)
			if kept {
				is.True(answered(r))
				_, err := io.WriteString(c, plainRequest)
				is.NoErr(err)
			}
			time.Sleep(20 * time.Millisecond)
			s.stop(t)
			close(gate)
			is.True(answered(r))
			is.NoErr(<-s.stopped)
		})
	}
}

// A caller has connected when the server stops, and sends its request a moment later.
func TestNewConnectionMaySendItsRequestAtAStop(t *testing.T) {
	is := is.New(t)
	s := newStoppable(t, 10, ok)
	go func() { _ = s.Serve(s.listener) }()
	c, r := s.connect(t, "")
	time.Sleep(20 * time.Millisecond)
	s.stop(t)
	_, err := io.WriteString(c, plainRequest)
	is.NoErr(err)
	is.True(answered(r))
	is.NoErr(<-s.stopped)
}

// A caller has sent its second request before the answer to the first, and the server stops while
// it handles the second.
func TestPipelinedRequestIsAnsweredAtAStop(t *testing.T) {
	is := is.New(t)
	began, release := make(chan struct{}, 2), make(chan struct{}, 2)
	s := newStoppable(t, 10, func(w http.ResponseWriter, r *http.Request) {
		began <- struct{}{}
		select {
		case <-release:
			ok(w, r)
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	})
	go func() { _ = s.Serve(s.listener) }()
	_, r := s.connect(t, plainRequest+plainRequest)
	<-began
	release <- struct{}{}
	is.True(answered(r))
	<-began
	s.stop(t)
	release <- struct{}{}
	is.True(answered(r))
	is.NoErr(<-s.stopped)
}
