// Package peer carries messages between nodes over yamux. Each node opens one
// session, with one stream, to every node that it sends to. Delivery is best
// effort: messages that a slow or unreachable peer does not accept in time are
// dropped.
package peer

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/wire/mutualtls"
	"github.com/hashicorp/yamux"
)

// Transport sends messages to other nodes and receives theirs. Its fields must
// be set before the first use.
type Transport struct {
	Self        core.NodeID
	Incarnation core.Incarnation
	Receive     func(core.Message)
	Dial        func(ctx context.Context, address string) (net.Conn, error)
	Meter       Meter
	// TLS provides the certificates. If it is nil, connections are not
	// encrypted and senders are not checked.
	TLS    *mutualtls.Source
	Limits Limits
	// DialUpstream opens a connection to an upstream for another node. If it is nil, this node
	// relays none.
	DialUpstream func(ctx context.Context, address string) (net.Conn, error)
	// Relays records relayed connections. It may be nil if there are none.
	Relays RelayMeter

	lastRelay atomic.Uint64
	// relayed and relaying count the open relayed connections of this node and of others.
	relayed, relaying atomic.Int64

	mu    sync.Mutex
	links map[core.NodeID]*link
	conns map[net.Conn]struct{}
	// incoming is the connection on which each node sends.
	incoming map[core.NodeID]net.Conn
	// relays has the sessions with the nodes through which connections are opened, and
	// decisions the requests of other nodes on which the core decides.
	relays    map[core.NodeID]*relayLink
	decisions map[core.RelayID]chan relayDecision
	closed    bool
}

// Limits bounds a transport's queues and waiting times.
type Limits struct {
	// Queue bounds the messages queued for one peer.
	Queue int
	// DialTimeout bounds the opening of a connection. On the accepting side it
	// bounds the TLS handshake, and separately the wait for the stream.
	DialTimeout time.Duration
	// WriteTimeout bounds the writing of each part of a message, of 16 KiB at most.
	WriteTimeout time.Duration
	// IdleTimeout is how long an unused connection stays open.
	IdleTimeout time.Duration
	// Relayed bounds the open relayed connections of this node, and separately those that it
	// relays for others.
	Relayed int
	// RelayIdle is how long a relayed connection stays open on which no bytes are sent.
	RelayIdle time.Duration
}

// Meter counts a transport's traffic and errors. Its methods must not block.
type Meter interface {
	// ControlBytes counts bytes exchanged with other nodes.
	ControlBytes(sent, received int)
	// PeerDropped counts a message that was dropped.
	PeerDropped()
	// PeerFault counts and reports an error of a connection.
	PeerFault(err error)
}

// Enqueue enqueues a message for another node. It does not block, and drops the
// message if the queue is full.
func (t *Transport) Enqueue(to core.NodeID, address string, body core.PeerBody) {
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

// replaceLink starts a link to a node and closes the one to its old address.
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

// removeIdle removes an idle link and returns true, unless a message has been
// enqueued in the meantime.
func (t *Transport) removeIdle(l *link) bool {
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

// replaceSilent returns a function that closes a silent connection to a node, so that the next
// message opens a new one. Whatever silenced it may have silenced others, so that all links
// are probed.
func (t *Transport) replaceSilent(to core.NodeID, conn net.Conn) func(after time.Duration) {
	return func(after time.Duration) {
		t.Meter.PeerFault(&SilentError{To: to, After: after})
		// The connection is not used again, so an error of Close does not matter.
		_ = conn.Close()
		t.mu.Lock()
		defer t.mu.Unlock()
		for _, l := range t.links {
			l.check()
		}
	}
}

// Close closes all links and connections.
func (t *Transport) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for id, l := range t.links {
		close(l.queue)
		delete(t.links, id)
	}
	for conn := range t.conns {
		// The connection is not used again, so an error of Close does not matter.
		_ = conn.Close()
	}
}

// track registers an open connection so that Close closes it, and returns a
// function that closes and unregisters it.
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

// sessionConfig returns the configuration of a yamux session. Keepalives are off
// because nodes exchange heartbeats of their own.
func (t *Transport) sessionConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false
	cfg.ConnectionWriteTimeout = t.Limits.WriteTimeout
	cfg.StreamOpenTimeout = t.Limits.DialTimeout
	cfg.AcceptBacklog = 1
	cfg.LogOutput = io.Discard
	return cfg
}
