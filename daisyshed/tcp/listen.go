// Package tcp opens TCP listeners that limit the number of open connections.
package tcp

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
)

// InUseError reports that another listener already uses an address.
type InUseError struct{ Address string }

// Error returns a message that names the address.
func (e *InUseError) Error() string { return "tcp: address in use: " + e.Address }

// ListenError reports that listening on an address failed for another reason.
type ListenError struct {
	Address string
	Cause   error
}

// Error returns a message with the address and the cause.
func (e *ListenError) Error() string {
	return "tcp: cannot listen on " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the error of package net.
func (e *ListenError) Unwrap() error { return e.Cause }

// Listen listens on address and keeps at most limit accepted connections open at
// a time. Further connections wait in the operating system's backlog.
func Listen(address string, limit int) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if errors.Is(err, syscall.EADDRINUSE) {
		return nil, &InUseError{Address: address}
	}
	if err != nil {
		return nil, &ListenError{Address: address, Cause: err}
	}
	return &limitedListener{Listener: l, slots: make(chan struct{}, limit), closed: make(chan struct{})}, nil
}

// limitedListener is a listener that accepts a connection only when a slot is
// free.
type limitedListener struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
}

// Accept waits for a free slot, then for a connection.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &slotConn{Conn: conn, release: sync.OnceFunc(func() { <-l.slots })}, nil
}

// Close closes the listener and unblocks Accept.
func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// slotConn is a connection that occupies a slot until it is closed.
type slotConn struct {
	net.Conn
	release func()
	closed  atomic.Bool
}

// Close closes the connection and frees its slot.
func (c *slotConn) Close() error {
	defer c.release()
	c.closed.Store(true)
	return c.Conn.Close()
}

// connKey is the key of a connection in a context.
type connKey struct{}

// WithConn returns a context that carries a connection, for [http.Server.ConnContext].
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ClosedHere reports whether this process has closed the connection that ctx carries. It
// returns false if ctx carries no connection of a listener of this package.
func ClosedHere(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*slotConn)
	return ok && c.closed.Load()
}
