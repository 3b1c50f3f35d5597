// Package tcp opens TCP listeners that limit the number of open connections.
package tcp

import (
	"errors"
	"net"
	"sync"
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
	return Limit(l, limit), nil
}

// Limit returns a listener that keeps at most limit connections of l open at a time.
func Limit(l net.Listener, limit int) net.Listener {
	return &limitedListener{
		Listener: l, slots: make(chan struct{}, limit), closed: make(chan struct{}), open: map[*slotConn]struct{}{},
	}
}

// limitedListener is a listener that accepts a connection only when a slot is
// free.
type limitedListener struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once

	mu   sync.Mutex
	open map[*slotConn]struct{}
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
	c := &slotConn{Conn: conn}
	c.release = sync.OnceFunc(func() {
		l.mu.Lock()
		delete(l.open, c)
		l.mu.Unlock()
		<-l.slots
	})
	l.mu.Lock()
	l.open[c] = struct{}{}
	l.mu.Unlock()
	return c, nil
}

// Close closes the listener and unblocks Accept.
func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
