package tcp

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// phase is what a connection's server waits for.
type phase int

const (
	// awaiting: the first byte of a request.
	awaiting phase = iota
	// receivingHead: the rest of a head.
	receivingHead
	// receivingBody: the rest of a body.
	receivingBody
	// serving: nothing of the client; its request is being served.
	serving
)

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// slotConn is a connection that occupies a slot until it is closed.
type slotConn struct {
	net.Conn
	listener *limitedListener
	release  func()
	closed   atomic.Bool
	// broken is set once a write has failed. The server closes the connection after that.
	broken atomic.Bool

	// acceptedAt is when the connection was accepted.
	acceptedAt time.Time

	mu    sync.Mutex
	phase phase
	// interrupted is set once a read that waits for a request has been ended, evicted once the
	// connection has been closed for another one's sake, and refused once a request was rejected before
	// it was parsed.
	interrupted, evicted, refused bool
	// idleSince is when the server began to wait for the next request; zero before the first
	// one has been answered. idleTimer ends the connection after the listener's idle timeout.
	idleSince time.Time
	idleTimer *time.Timer
	// partBegan is when the head or the body that is being received began, and lastRead when bytes were
	// received last. writeBegan is when the present write began; zero if there is none.
	partBegan, lastRead, writeBegan time.Time
	// scanner measures the head that is being received, and headBytes is what the head of the present
	// request takes by the listener's admission.
	scanner   HeadScanner
	headBytes int64
}

// Read reads from the connection.
func (c *slotConn) Read(p []byte) (int, error) {
	if c.isRefused() {
		return 0, c.readError(net.ErrClosed)
	}
	n, err := c.Conn.Read(p)
	if n == 0 && err != nil {
		n, err = c.readArrived(p, err)
	}
	if n > 0 {
		if reason := c.received(p[:n]); reason != nil {
			c.refuse(reason)
			return 0, c.readError(reason)
		}
	}
	return n, err
}

// isRefused reports whether the request was rejected before it was parsed. net/http may go on reading
// after an error.
func (c *slotConn) isRefused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused
}

// received records that bytes were read, and measures those of a head. It returns an error if the head
// is too long or there is no memory for it; the request is not read any further then.
func (c *slotConn) received(p []byte) error {
	reason := c.receive(p)
	for full := (*HeadsFullError)(nil); errors.As(reason, &full) && c.listener.closeSilent(holdsHead); {
		reason = c.receive(nil)
	}
	if reason != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.refused = true
		c.releaseHead()
	}
	return reason
}

// receive is received without making room for the head. p is empty if it was scanned before.
func (c *slotConn) receive(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastRead = time.Now()
	c.beginLocked()
	a := c.listener.admission
	if c.phase != receivingHead || a == nil {
		return nil
	}
	c.scanner.Scan(p)
	if limit, tooLong := a.tooLong(c.scanner.Text()); tooLong {
		return &HeadTooLongError{Limit: limit}
	}
	if err := c.resizeHead(c.scanner.Bytes()); err != nil {
		return err
	}
	if c.scanner.Ended() {
		c.phase = serving
	}
	return nil
}

// resizeHead sets what the head of the present request takes. The caller holds c.mu.
func (c *slotConn) resizeHead(n int64) error {
	a := c.listener.admission
	if a == nil || c.closed.Load() || c.evicted {
		return nil
	}
	if !a.resize(c.headBytes, n) {
		return &HeadsFullError{Bytes: n, Held: a.Held()}
	}
	c.headBytes = n
	return nil
}

// releaseHead frees what the head of the present request takes. The caller holds c.mu.
func (c *slotConn) releaseHead() {
	if a := c.listener.admission; a != nil {
		a.resize(c.headBytes, 0)
	}
	c.headBytes = 0
}

// Write writes to the connection.
func (c *slotConn) Write(p []byte) (int, error) {
	c.setWriteBegan(time.Now())
	n, err := c.Conn.Write(p)
	c.setWriteBegan(time.Time{})
	if err != nil {
		c.broken.Store(true)
	}
	return n, err
}

func (c *slotConn) setWriteBegan(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeBegan = t
}

// SetReadDeadline sets the deadline of reads, unless the connection was closed for another one's sake.
func (c *slotConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// begin records that a request has begun to arrive. The server reads it to its end and
// answers it, although the connection was to be closed.
func (c *slotConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beginLocked()
}

// beginLocked is begin for a caller that holds c.mu.
func (c *slotConn) beginLocked() {
	if c.phase == awaiting {
		c.phase, c.partBegan = receivingHead, time.Now()
	}
	if c.idleTimer != nil {
		c.idleTimer.Stop()
	}
	if c.interrupted {
		c.interrupted = false
		// If the deadline cannot be set, the next read fails.
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
}

// end records that the server waits for the next request.
func (c *slotConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseHead()
	c.phase, c.scanner, c.idleSince = awaiting, HeadScanner{}, time.Now()
	timeout := c.listener.idle.get()
	switch {
	case timeout <= 0:
	case c.idleTimer == nil:
		c.idleTimer = time.AfterFunc(timeout, c.expire)
	default:
		c.idleTimer.Reset(timeout)
	}
}

// expire ends the connection if it has been idle for the listener's idle timeout.
func (c *slotConn) expire() {
	c.mu.Lock()
	idle := c.phase == awaiting && time.Since(c.idleSince) >= c.listener.idle.get()
	c.mu.Unlock()
	if idle {
		c.interrupt()
	}
}

// idle reports whether the connection waits for a further request, and is not being closed.
func (c *slotConn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == awaiting && !c.interrupted && !c.idleSince.IsZero()
}

// expectsRequest reports whether the connection is new, or its last answer has just been sent, so
// that a request may be on its way.
func (c *slotConn) expectsRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleSince.IsZero() {
		return time.Since(c.acceptedAt) < firstRequestTime
	}
	return time.Since(c.idleSince) < nextRequestTime
}

// interrupt ends the read that waits for a request, so that the server closes the
// connection. It does nothing once a request has begun to arrive.
func (c *slotConn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interruptLocked()
}

// interruptLocked is interrupt for a caller that holds c.mu.
func (c *slotConn) interruptLocked() {
	if c.phase != awaiting {
		return
	}
	c.interrupted = true
	// If the deadline cannot be set, the connection is closed already.
	_ = c.Conn.SetReadDeadline(past)
}

// Close closes the connection and frees its slot. If a request was rejected before it was parsed, its
// client is given time to read the answer.
func (c *slotConn) Close() error {
	again := c.closed.Swap(true)
	c.mu.Lock()
	c.releaseHead()
	if c.idleTimer != nil {
		c.idleTimer.Stop()
	}
	lingers := c.refused && !c.evicted
	c.mu.Unlock()
	if lingers {
		if !again {
			go c.linger()
		}
		return nil
	}
	defer c.release()
	return c.Conn.Close()
}

// TrackState is for [http.Server.ConnState]. It tells connections of this package's
// listeners when the server waits for their next request.
func TrackState(c net.Conn, state http.ConnState) {
	if c, ok := c.(*slotConn); ok && state == http.StateIdle {
		c.end()
	}
}

// CloseIdle has the server close those connections of a listener of this package on which
// no request has begun to arrive, and returns how many connections are open. New ones get
// firstRequestTime for their first request, and others nextRequestTime after an answer. The server may miss it for a connection that is
// just becoming idle; call CloseIdle again for that.
func CloseIdle(l net.Listener) int {
	limited, ok := l.(*limitedListener)
	if !ok {
		return 0
	}
	limited.mu.Lock()
	defer limited.mu.Unlock()
	for c := range limited.open {
		if !c.expectsRequest() {
			c.interrupt()
		}
	}
	if limited.stopping.Load() {
		// One that is being accepted is not among them yet.
		return len(limited.open) + int(limited.accepting.Load())
	}
	return len(limited.open)
}

// connKey is the key of a connection in a context.
type connKey struct{}

// WithConn returns a context that carries a connection, for [http.Server.ConnContext].
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ClosedHere reports whether this process has closed the connection that ctx carries,
// although its peer still took what was written. It returns false if ctx carries no
// connection of a listener of this package.
func ClosedHere(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*slotConn)
	return ok && c.closed.Load() && !c.broken.Load()
}
