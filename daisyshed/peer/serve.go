package peer

import (
	"bufio"
	"errors"
	"io"
	"net"
	"time"

	"daisyshed.dev/core"
	wire "daisyshed.dev/wire/peer"
	"github.com/hashicorp/yamux"
)

// minAcceptPause and maxAcceptPause bound the pause after a failed Accept. It doubles with each
// further failure.
const (
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = 250 * time.Millisecond
)

// Serve accepts connections from other nodes until the listener is closed. Accept fails for a
// while if the process or its machine has no descriptor or buffer left.
func (t *Transport) Serve(l net.Listener) error {
	pause := minAcceptPause
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			t.Meter.PeerFault(&AcceptError{Cause: err})
			time.Sleep(pause)
			pause = min(2*pause, maxAcceptPause)
			continue
		}
		pause = minAcceptPause
		go t.ServeConn(conn)
	}
}

// AcceptError reports that a connection of another node could not be accepted.
type AcceptError struct{ Cause error }

// Error implements error.
func (e *AcceptError) Error() string { return "peer: accept failed: " + e.Cause.Error() }

// Unwrap returns the error of the listener.
func (e *AcceptError) Unwrap() error { return e.Cause }

// ServeConn receives the messages on one connection, or serves the relayed connections that
// it carries, until it breaks, is idle for too long or carries an invalid message.
func (t *Transport) ServeConn(conn net.Conn) {
	counting := &countingConn{Conn: conn, count: t.Meter.ControlBytes}
	defer t.track(counting)()
	conn, check, err := t.secureServer(counting)
	if err != nil {
		t.Meter.PeerFault(err)
		return
	}
	startTimer := time.AfterFunc(t.Limits.DialTimeout, func() { _ = conn.Close() })
	begun := bufio.NewReader(conn)
	first, err := begun.Peek(1)
	if err != nil {
		startTimer.Stop()
		t.Meter.PeerFault(&NoStreamError{Cause: err})
		return
	}
	conn = &bufferedConn{Conn: conn, r: begun}
	if first[0] == wire.RelayPreamble {
		counting.count = t.countRelaying
		err = t.serveRelays(conn, begun, check, startTimer)
	} else {
		err = t.serveMessages(conn, check, startTimer)
	}
	if err != nil {
		t.Meter.PeerFault(err)
	}
}

// serveMessages receives the messages on a connection. startTimer closes it if no stream
// opens.
func (t *Transport) serveMessages(conn net.Conn, check identityCheck, startTimer *time.Timer) error {
	session, err := yamux.Server(conn, t.sessionConfig())
	if err != nil {
		return err
	}
	defer session.Close()
	stream, err := session.AcceptStream()
	if !startTimer.Stop() || err != nil {
		return &NoStreamError{Cause: err}
	}
	if err := t.receive(conn, stream, check); !errors.Is(err, io.EOF) {
		return err
	}
	return nil
}

// bufferedConn is a connection of which a part has been read into r.
type bufferedConn struct {
	net.Conn
	r *bufio.Reader
}

// Read implements net.Conn.
func (c *bufferedConn) Read(p []byte) (int, error) { return c.r.Read(p) }

// receive passes the messages of a stream to t.Receive until the stream ends, or
// until a message names a sender that the connection's certificate does not
// allow. A message that only later builds know is skipped, and reported once for the stream.
func (t *Transport) receive(conn net.Conn, stream *yamux.Stream, check identityCheck) error {
	frames := bufio.NewReader(stream)
	var sender core.NodeID
	reported := false
	defer func() { t.forgetIncoming(sender, conn) }()
	for {
		// The deadline is twice the sender's idle timeout, so that the sender
		// closes an idle connection first.
		if err := stream.SetReadDeadline(time.Now().Add(2 * t.Limits.IdleTimeout)); err != nil {
			return err
		}
		m, err := wire.ReadFrame(frames)
		if errors.Is(err, wire.EmptyEnvelopeError{}) {
			if !reported {
				t.Meter.PeerFault(err)
			}
			reported = true
			continue
		}
		if err != nil {
			return err
		}
		if err := check(m.From); err != nil {
			return err
		}
		if m.From != sender {
			sender = m.From
			t.supersedeIncoming(sender, conn)
		}
		t.Receive(m)
	}
}

// supersedeIncoming closes the connection on which a node sent messages before, as it sends on
// one at a time: it may be silent, and would stay open until its deadline. What it still
// carries has WriteTimeout to arrive.
func (t *Transport) supersedeIncoming(from core.NodeID, conn net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.incoming == nil {
		t.incoming = map[core.NodeID]net.Conn{}
	}
	if old := t.incoming[from]; old != nil && old != conn {
		time.AfterFunc(t.Limits.WriteTimeout, func() { _ = old.Close() })
	}
	t.incoming[from] = conn
}

// forgetIncoming forgets the connection of a node unless another one has superseded it.
func (t *Transport) forgetIncoming(from core.NodeID, conn net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.incoming[from] == conn {
		delete(t.incoming, from)
	}
}

// NoStreamError reports that no stream was opened on a connection to the peer
// port.
type NoStreamError struct{ Cause error }

// Error implements error.
func (e *NoStreamError) Error() string {
	if e.Cause == nil {
		return "peer: no stream opened on the connection within the timeout"
	}
	return "peer: no stream opened on the connection: " + e.Cause.Error()
}

// Unwrap returns the error that yamux reported.
func (e *NoStreamError) Unwrap() error { return e.Cause }

// countingConn is a connection that reports its bytes.
type countingConn struct {
	net.Conn
	count func(sent, received int)
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count(0, n)
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count(n, 0)
	return n, err
}
