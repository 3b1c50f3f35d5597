package peer

import (
	"bufio"
	"errors"
	"io"
	"net"
	"time"

	wire "daisyshed.dev/wire/peer"
	"github.com/hashicorp/yamux"
)

// Serve takes connections from other nodes until the listener is closed.
func (t *Transport) Serve(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		go t.ServeConn(conn)
	}
}

// ServeConn takes in the messages on one connection until it breaks, is idle
// for too long or carries something else than messages.
func (t *Transport) ServeConn(conn net.Conn) {
	conn = &countedConn{Conn: conn, meter: t.Meter}
	defer t.track(conn)()
	conn, check, err := t.secureFrom(conn)
	if err != nil {
		t.Meter.PeerFault(err)
		return
	}
	session, err := yamux.Server(conn, t.sessionConfig())
	if err != nil {
		t.Meter.PeerFault(err)
		return
	}
	defer session.Close()
	opened := time.AfterFunc(t.Limits.DialTimeout, func() { _ = conn.Close() })
	stream, err := session.AcceptStream()
	if !opened.Stop() || err != nil {
		t.Meter.PeerFault(&NoStreamError{Cause: err})
		return
	}
	if err := t.receive(stream, check); !errors.Is(err, io.EOF) {
		t.Meter.PeerFault(err)
	}
}

// receive takes in the messages of a stream until its end, or until one claims
// another sender than the connection's.
func (t *Transport) receive(stream *yamux.Stream, check identityCheck) error {
	frames := bufio.NewReader(stream)
	for {
		// Twice the sender's own idle time, so that the sender closes first.
		if err := stream.SetReadDeadline(time.Now().Add(2 * t.Limits.IdleTimeout)); err != nil {
			return err
		}
		m, err := wire.ReadFrame(frames)
		if err != nil {
			return err
		}
		if err := check(m.From); err != nil {
			return err
		}
		t.Send(m)
	}
}

// NoStreamError says that a connection to the peer port opened no stream.
type NoStreamError struct{ Cause error }

// Error describes the fault.
func (e *NoStreamError) Error() string {
	if e.Cause == nil {
		return "peer: connection opened no stream in time"
	}
	return "peer: connection opened no stream: " + e.Cause.Error()
}

// Unwrap returns the fault that yamux reported.
func (e *NoStreamError) Unwrap() error { return e.Cause }

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	meter Meter
}

// Read reads and counts.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.ControlBytes(0, n)
	return n, err
}

// Write writes and counts.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.ControlBytes(n, 0)
	return n, err
}
