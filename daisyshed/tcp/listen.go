// Package tcp opens listeners that bound their connections.
package tcp

import (
	"errors"
	"net"
	"sync"
	"syscall"
)

// InUseError says that another process holds an address.
type InUseError struct{ Address string }

// Error describes the fault.
func (e *InUseError) Error() string { return "tcp: address in use: " + e.Address }

// ListenError says that an address could not be listened on.
type ListenError struct {
	Address string
	Cause   error
}

// Error describes the fault.
func (e *ListenError) Error() string {
	return "tcp: cannot listen on " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the system's error.
func (e *ListenError) Unwrap() error { return e.Cause }

// Listen listens on address and accepts at most limit connections at a time;
// further ones wait in the system's backlog.
func Listen(address string, limit int) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if errors.Is(err, syscall.EADDRINUSE) {
		return nil, &InUseError{Address: address}
	}
	if err != nil {
		return nil, &ListenError{Address: address, Cause: err}
	}
	return &limited{Listener: l, slots: make(chan struct{}, limit), closed: make(chan struct{})}, nil
}

type limited struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
}

// Accept waits for a free slot, then for a connection.
func (l *limited) Accept() (net.Conn, error) {
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

// Close stops listening.
func (l *limited) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type slotConn struct {
	net.Conn
	release func()
}

// Close closes the connection and frees its slot.
func (c *slotConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
