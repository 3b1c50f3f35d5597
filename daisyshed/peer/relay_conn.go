package peer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"daisyshed.dev/core"
	wire "daisyshed.dev/wire/peer"
	"github.com/hashicorp/yamux"
)

// relayReadBytes is the size of the read buffer of a relayed connection.
const relayReadBytes = 4 << 10

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// relayedConn is a connection to an upstream through another node. The relay or the connection
// to it failing gives a *[PathError].
type relayedConn struct {
	*yamux.Stream
	session *relaySession
	relay   core.NodeID
	r       *bufio.Reader
	chunks  wire.ChunkReader
	// onClose is called once.
	onClose func()
	once    sync.Once
	closed  atomic.Bool
}

// Read implements net.Conn.
func (c *relayedConn) Read(p []byte) (int, error) {
	n, err := c.chunks.Read(p)
	return n, c.pathError(err)
}

// pathError wraps an error unless it is one of the upstream or of this node's own.
func (c *relayedConn) pathError(err error) error {
	var broken wire.BrokenOffError
	switch {
	case err == nil, err == io.EOF, errors.As(err, &broken):
		return err
	case c.closed.Load():
		return net.ErrClosed
	case errors.Is(err, yamux.ErrTimeout):
		return context.DeadlineExceeded
	default:
		return &PathError{Relay: c.relay, Cause: err}
	}
}

// Write implements net.Conn. It returns an n of zero only if it is certain that no byte was
// sent: yamux may send later what it could not send in time.
func (c *relayedConn) Write(p []byte) (int, error) {
	written := 0
	for len(p) > 0 {
		part := p[:min(len(p), wire.MaxChunkBytes)]
		n, err := c.Stream.Write(wire.AppendChunk(make([]byte, 0, wire.ChunkHeaderBytes+len(part)), part))
		if err != nil {
			if n == 0 && unsent(err) {
				return written, c.pathError(err)
			}
			return written + min(max(n-wire.ChunkHeaderBytes, 1), len(part)), c.pathError(err)
		}
		written += len(part)
		p = p[len(part):]
	}
	return written, nil
}

// CloseWrite closes this node's side of the upstream's connection. No write may follow.
func (c *relayedConn) CloseWrite() error {
	_, err := c.Stream.Write(wire.AppendChunkEnd(nil, true))
	return c.pathError(err)
}

// unsent reports whether an error of yamux's first write proves that it sent nothing.
func unsent(err error) bool {
	return errors.Is(err, yamux.ErrStreamClosed) || errors.Is(err, yamux.ErrConnectionReset) || errors.Is(err, yamux.ErrTimeout)
}

// Unused reports whether the connection is open, its relay answers, and nothing was received
// that has not been read. No read may be under way.
func (c *relayedConn) Unused() bool {
	if c.closed.Load() || !c.session.usable() || c.r.Buffered() > 0 || c.chunks.Partial() {
		return false
	}
	var probe [1]byte
	// Setting the deadlines of a stream cannot fail.
	_ = c.SetReadDeadline(past)
	_, err := c.Stream.Read(probe[:])
	_ = c.SetReadDeadline(time.Time{})
	c.Shrink()
	return errors.Is(err, yamux.ErrTimeout)
}

// Close closes the connection without waiting for the relay, and ends reads and writes that
// are under way.
func (c *relayedConn) Close() error {
	c.once.Do(func() {
		c.closed.Store(true)
		// Setting the deadline of a stream cannot fail.
		_ = c.SetDeadline(past)
		c.onClose()
		// The relay closes the upstream's connection once it notices; an error of Close means
		// that the session has ended.
		go func() { _ = c.Stream.Close() }()
	})
	return nil
}
