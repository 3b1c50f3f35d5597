package peer

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"daisyshed.dev/core"
	wire "daisyshed.dev/wire/peer"
	"github.com/hashicorp/yamux"
)

// link sends messages to one node at one address, in order.
type link struct {
	transport *Transport
	to        core.NodeID
	address   string
	queue     chan core.PeerBody

	stream *yamux.Stream
	// used is set once a message has been sent on the stream.
	used      bool
	closeConn func()
	prober    atomic.Pointer[prober]
}

// run sends the queued messages until the link is closed or idle for
// Limits.IdleTimeout.
func (l *link) run() {
	defer l.disconnect()
	idle := time.NewTimer(l.transport.Limits.IdleTimeout)
	defer idle.Stop()
	for {
		select {
		case body, ok := <-l.queue:
			if !ok {
				return
			}
			l.sendWithRetry(body)
			idle.Reset(l.transport.Limits.IdleTimeout)
		case <-idle.C:
			if l.transport.removeIdle(l) {
				return
			}
			idle.Reset(l.transport.Limits.IdleTimeout)
		}
	}
}

// sendWithRetry sends one message. If that fails on a connection that was used
// before, which may have broken since, it retries once on a new one. A message that
// cannot be encoded or sent is dropped.
func (l *link) sendWithRetry(body core.PeerBody) {
	m := core.PeerMessage{From: l.transport.Self, Incarnation: l.transport.Incarnation, Protocol: core.LatestProtocol, Body: body}
	frame, err := wire.EncodeFrame(m)
	if err != nil {
		l.drop(body, 0, err)
		return
	}
	retry := l.used
	n, err := l.send(frame)
	if err != nil && retry {
		n, err = l.send(frame)
	}
	if err != nil {
		l.drop(body, n, err)
	}
}

// drop counts and reports a message of which written bytes were sent.
func (l *link) drop(body core.PeerBody, written int, cause error) {
	l.transport.Meter.PeerDropped()
	l.transport.Meter.PeerFault(&SendError{To: l.to, Message: fmt.Sprintf("%T", body), Written: written, Cause: cause})
}

// send writes one frame to the stream, and disconnects if the write fails. It returns the
// number of bytes written.
func (l *link) send(frame []byte) (int, error) {
	if err := l.connect(); err != nil {
		return 0, err
	}
	n, err := partWriter{stream: l.stream, timeout: l.transport.Limits.WriteTimeout}.Write(frame)
	if err != nil {
		l.disconnect()
		return n, err
	}
	l.used = true
	l.prober.Load().sent(n)
	return n, nil
}

// partBytes is the size of the parts in which a message is written.
const partBytes = 16 << 10

// partWriter writes in parts and bounds the time that each part takes, so that a large
// message over a slow link is not taken for one that does not progress.
type partWriter struct {
	stream  *yamux.Stream
	timeout time.Duration
}

// Write implements io.Writer.
func (w partWriter) Write(p []byte) (int, error) {
	written := 0
	for len(p) > 0 {
		if err := w.stream.SetWriteDeadline(time.Now().Add(w.timeout)); err != nil {
			return written, err
		}
		n, err := w.stream.Write(p[:min(len(p), partBytes)])
		written += n
		if err != nil {
			return written, err
		}
		p = p[n:]
	}
	return written, nil
}

// SendError reports a message that could not be sent whole.
type SendError struct {
	To core.NodeID
	// Message is the type of the message, and Written how many of its bytes were sent.
	Message string
	Written int
	Cause   error
}

// Error returns the message with the receiver, the type and the bytes.
func (e *SendError) Error() string {
	return fmt.Sprintf("peer: %s to %s broke off after %d bytes: %s", e.Message, e.To, e.Written, e.Cause)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }

// check probes the link's connection, if it has one. It is safe for concurrent use.
func (l *link) check() {
	if p := l.prober.Load(); p != nil {
		p.check()
	}
}

// connect opens a connection and a stream on it, unless one is open.
func (l *link) connect() error {
	if l.stream != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), l.transport.Limits.DialTimeout)
	defer cancel()
	conn, err := l.transport.Dial(ctx, l.address)
	if err != nil {
		return err
	}
	conn = &countingConn{Conn: conn, count: l.transport.Meter.ControlBytes}
	l.closeConn = l.transport.track(conn)
	conn, err = l.transport.secureClient(ctx, conn, l.to)
	if err != nil {
		l.disconnect()
		return err
	}
	if err := l.openStream(conn); err != nil {
		l.disconnect()
		return err
	}
	return nil
}

// openStream starts a yamux session on conn and opens its stream.
func (l *link) openStream(conn net.Conn) error {
	session, err := yamux.Client(conn, l.transport.sessionConfig())
	if err != nil {
		return err
	}
	stream, err := session.OpenStream()
	if err != nil {
		return err
	}
	l.stream = stream
	l.prober.Store(&prober{
		session: session, timeout: l.transport.Limits.WriteTimeout, answeredAt: time.Now(), silent: l.transport.replaceSilent(l.to, conn),
	})
	return nil
}

// disconnect closes the connection, so that the next message opens a new one.
func (l *link) disconnect() {
	if l.closeConn != nil {
		l.closeConn()
	}
	l.closeConn = nil
	l.stream = nil
	l.prober.Store(nil)
	l.used = false
}
