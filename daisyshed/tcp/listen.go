// Package tcp opens TCP listeners that limit the number of open connections.
package tcp

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// evictEvery is the pause between two idle connections that are closed for a connection that
// waits for a slot.
const evictEvery = 20 * time.Millisecond

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
// a time. A further one replaces the connection whose client has been idle for longest, and waits in
// the operating system's backlog while none is idle.
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
		Listener: l, limit: limit, freed: make(chan struct{}, 1), closed: make(chan struct{}), taken: make(chan struct{}), idle: &IdleTimeout{}, open: map[*slotConn]struct{}{},
	}
}

// limitedListener is a listener that accepts a connection only when a slot is
// free.
type limitedListener struct {
	net.Listener
	// limit is the number of slots. freed receives a value when a slot becomes free.
	limit  int
	freed  chan struct{}
	closed chan struct{}
	once   sync.Once

	idle *IdleTimeout
	// admission bounds the connections and the heads of their requests; nil sets no bound.
	admission *Admission
	// stopping is set once StopAccepting was called, and accepting counts the calls of Accept in
	// progress.
	stopping  atomic.Bool
	accepting atomic.Int32

	mu   sync.Mutex
	open map[*slotConn]struct{}
	// used is the number of slots in use.
	used int
	// queued are connections that Accept returns after StopAccepting. taken is closed once it is
	// complete.
	queued []*slotConn
	taken  chan struct{}
}

// IdleTimeout is for how long a server keeps connections that wait for a further request. Its zero
// value sets no limit. It is safe for concurrent use.
type IdleTimeout struct{ d atomic.Int64 }

// Set changes the timeout of connections that become idle from now on.
func (t *IdleTimeout) Set(d time.Duration) { t.d.Store(int64(d)) }

func (t *IdleTimeout) get() time.Duration { return time.Duration(t.d.Load()) }

// ListenWithIdleTimeout is Listen for a server whose idle connections end after a timeout that may
// change.
func ListenWithIdleTimeout(address string, limit int, idle *IdleTimeout) (net.Listener, error) {
	l, err := Listen(address, limit)
	if limited, ok := l.(*limitedListener); ok {
		limited.idle = idle
	}
	return l, err
}

// Accept waits for a connection, then for a free slot.
func (l *limitedListener) Accept() (net.Conn, error) {
	l.accepting.Add(1)
	defer l.accepting.Add(-1)
	conn, err := l.Listener.Accept()
	switch {
	case err != nil && l.stopping.Load():
		return l.acceptQueued()
	case err != nil:
		return nil, err
	}
	if err := l.takeSlot(); err != nil {
		if l.stopping.Load() {
			return l.track(conn, false), nil
		}
		// The connection has not been used, so an error from closing it does not matter.
		_ = conn.Close()
		return nil, err
	}
	return l.track(conn, true), nil
}

// track returns an accepted connection that counts as open until it is closed. slot says that it
// occupies one of the slots.
func (l *limitedListener) track(conn net.Conn, slot bool) *slotConn {
	c := &slotConn{Conn: conn, listener: l, acceptedAt: time.Now()}
	c.release = sync.OnceFunc(func() {
		l.mu.Lock()
		delete(l.open, c)
		if slot {
			l.used--
		}
		l.mu.Unlock()
		select {
		case l.freed <- struct{}{}:
		default:
		}
	})
	l.mu.Lock()
	l.open[c] = struct{}{}
	l.mu.Unlock()
	return c
}

// takeSlot waits for a free slot. While there is none, it has the server close the connection whose
// client has been silent for longest.
func (l *limitedListener) takeSlot() error {
	for !l.occupy() {
		l.closeSilent(anyConn)
		t := time.NewTimer(evictEvery)
		select {
		case <-l.freed:
		case <-t.C:
		case <-l.closed:
			t.Stop()
			return net.ErrClosed
		}
		t.Stop()
	}
	return nil
}

// occupy takes a slot if one is free.
func (l *limitedListener) occupy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.used >= l.maxConns() {
		return false
	}
	l.used++
	return true
}

// maxConns returns the number of slots.
func (l *limitedListener) maxConns() int {
	if l.admission != nil {
		if n := int(l.admission.conns.Load()); n > 0 {
			return min(n, l.limit)
		}
	}
	return l.limit
}

// Close closes the listener and unblocks Accept.
func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
