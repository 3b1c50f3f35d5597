// Package peer carries messages between nodes, over yamux. Each node opens one
// session to every node that it sends to, with one stream. Delivery is not
// assured: what a slow or absent peer does not take in time is dropped.
package peer

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/wire/mutualtls"
	"github.com/hashicorp/yamux"
)

// Transport sends messages to other nodes and takes in theirs. Its fields are
// set before the first use.
type Transport struct {
	Self        core.NodeID
	Incarnation core.Incarnation
	Send        func(core.Message)
	Dial        func(ctx context.Context, address string) (net.Conn, error)
	Meter       Meter
	// TLS gives the certificates for connections; they are plain if it is nil.
	TLS    *mutualtls.Source
	Limits Limits

	mu     sync.Mutex
	links  map[core.NodeID]*link
	conns  map[net.Conn]struct{}
	closed bool
}

// Limits bounds what a transport holds and how long it waits.
type Limits struct {
	// Queue bounds the messages that wait for one peer.
	Queue int
	// DialTimeout bounds the making of a connection.
	DialTimeout time.Duration
	// WriteTimeout bounds the writing of one message.
	WriteTimeout time.Duration
	// IdleTimeout is how long an unused connection stays open.
	IdleTimeout time.Duration
}

// Meter counts what a transport does. Its methods must not block.
type Meter interface {
	ControlBytes(sent, received int)
	PeerDropped()
	PeerFault(err error)
}

// Post queues a message for another node without blocking, and drops it if the
// queue is full.
func (t *Transport) Post(to core.NodeID, address string, body core.PeerBody) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return
	}
	l := t.links[to]
	if l == nil || l.address != address {
		l = t.replaceLink(to, address)
	}
	select {
	case l.queue <- body:
	default:
		t.Meter.PeerDropped()
	}
}

// replaceLink starts a link to a node and ends the one to its old address.
func (t *Transport) replaceLink(to core.NodeID, address string) *link {
	if t.links == nil {
		t.links = map[core.NodeID]*link{}
	}
	if old := t.links[to]; old != nil {
		close(old.queue)
	}
	l := &link{transport: t, to: to, address: address, queue: make(chan core.PeerBody, t.Limits.Queue)}
	t.links[to] = l
	go l.run()
	return l
}

// retire removes a link that has been idle, unless a message came meanwhile.
func (t *Transport) retire(l *link) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(l.queue) > 0 {
		return false
	}
	if t.links[l.to] == l {
		delete(t.links, l.to)
	}
	return true
}

// Close ends all links and connections.
func (t *Transport) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for id, l := range t.links {
		close(l.queue)
		delete(t.links, id)
	}
	for conn := range t.conns {
		// The connection is of no further use, whatever Close says.
		_ = conn.Close()
	}
}

// track notes an open connection, for Close, and returns a function that
// closes it.
func (t *Transport) track(conn net.Conn) func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conns == nil {
		t.conns = map[net.Conn]struct{}{}
	}
	t.conns[conn] = struct{}{}
	if t.closed {
		_ = conn.Close()
	}
	return func() {
		_ = conn.Close()
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.conns, conn)
	}
}

// sessionConfig returns yamux's settings. Nodes exchange heartbeats of their
// own, so yamux sends none.
func (t *Transport) sessionConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false
	cfg.ConnectionWriteTimeout = t.Limits.WriteTimeout
	cfg.StreamOpenTimeout = t.Limits.DialTimeout
	cfg.AcceptBacklog = 1
	cfg.LogOutput = io.Discard
	return cfg
}
