package hosted

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

const (
	dialTimeout = time.Second
	// resetDelay is how long after the end of a connection its reset may still arrive.
	resetDelay = 30 * time.Millisecond
)

// callerConn is a caller's connection to a node. Unlike net/http's client it sends
// nothing again by itself, and tells whether the node read a request that it did not
// answer.
type callerConn struct {
	net.Conn
	r       *bufio.Reader
	address string
}

func dialNode(address string) (*callerConn, error) {
	c, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, r: bufio.NewReader(c), address: address}, nil
}

// closedError reports a connection that the node closed without a byte of a response.
// Unread says that the node cannot have read the whole request: the system resets a
// connection that is closed while it holds bytes that were not read.
type closedError struct{ Unread bool }

// Error returns the message.
func (e closedError) Error() string {
	if e.Unread {
		return "closed unread"
	}
	return "closed without an answer"
}

// do sends a request and reads the head of the response, until the deadline.
func (c *callerConn) do(r *http.Request, deadline time.Time) (*http.Response, error) {
	// A deadline cannot be set on a closed connection; the write fails then.
	_ = c.SetDeadline(deadline)
	writeErr := r.Write(c)
	if _, err := c.r.Peek(1); err != nil {
		if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() {
			return nil, err
		}
		// A request that was not written whole cannot have been read whole.
		return nil, closedError{Unread: writeErr != nil || errors.Is(err, syscall.ECONNRESET) || c.wasReset(err)}
	}
	response, err := http.ReadResponse(c.r, r)
	if err != nil {
		return nil, &headError{Cause: err}
	}
	return response, nil
}

// headError reports a head of a response that has begun and is not complete or not valid.
type headError struct{ Cause error }

// Error returns the message with the cause.
func (e *headError) Error() string { return "head of the response: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *headError) Unwrap() error { return e.Cause }

// wasReset reports whether a connection whose end was read is reset as well.
func (c *callerConn) wasReset(err error) bool {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || !errors.Is(err, io.EOF) {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	for until := time.Now().Add(resetDelay); time.Now().Before(until); time.Sleep(time.Millisecond) {
		pending := 0
		// If the connection cannot be examined, it counts as read.
		_ = raw.Control(func(fd uintptr) { pending, _ = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR) })
		if errno := syscall.Errno(pending); errno == syscall.ECONNRESET || errno == syscall.EPIPE {
			return true
		}
	}
	return false
}
