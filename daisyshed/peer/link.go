package peer

import (
	"context"
	"net"
	"time"

	"daisyshed.dev/core"
	wire "daisyshed.dev/wire/peer"
	"github.com/hashicorp/yamux"
)

// link sends messages to one address of one node, in order.
type link struct {
	transport *Transport
	to        core.NodeID
	address   string
	queue     chan core.PeerBody

	stream *yamux.Stream
	// reused is set once the stream has carried a message.
	reused    bool
	closeConn func()
}

// run sends what is queued until the link is closed or idle.
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
			l.deliver(body)
			idle.Reset(l.transport.Limits.IdleTimeout)
		case <-idle.C:
			if l.transport.retire(l) {
				return
			}
			idle.Reset(l.transport.Limits.IdleTimeout)
		}
	}
}

// deliver sends one message, over a new connection if the old one has broken
// since it was last used. A message that cannot be sent is dropped.
func (l *link) deliver(body core.PeerBody) {
	again := l.reused
	err := l.send(body)
	if err != nil && again {
		err = l.send(body)
	}
	if err != nil {
		l.transport.Meter.PeerDropped()
		l.transport.Meter.PeerFault(err)
	}
}

func (l *link) send(body core.PeerBody) error {
	if err := l.connect(); err != nil {
		return err
	}
	deadline := time.Now().Add(l.transport.Limits.WriteTimeout)
	if err := l.stream.SetWriteDeadline(deadline); err != nil {
		l.disconnect()
		return err
	}
	m := core.Peer{From: l.transport.Self, Incarnation: l.transport.Incarnation, Body: body}
	if _, err := wire.WriteFrame(l.stream, m); err != nil {
		l.disconnect()
		return err
	}
	l.reused = true
	return nil
}

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
	conn = &countedConn{Conn: conn, meter: l.transport.Meter}
	l.closeConn = l.transport.track(conn)
	conn, err = l.transport.secureTo(ctx, conn, l.to)
	if err != nil {
		l.disconnect()
		return err
	}
	if err := l.open(conn); err != nil {
		l.disconnect()
		return err
	}
	return nil
}

func (l *link) open(conn net.Conn) error {
	session, err := yamux.Client(conn, l.transport.sessionConfig())
	if err != nil {
		return err
	}
	stream, err := session.OpenStream()
	if err != nil {
		return err
	}
	l.stream = stream
	return nil
}

func (l *link) disconnect() {
	if l.closeConn != nil {
		l.closeConn()
	}
	l.closeConn = nil
	l.stream = nil
	l.reused = false
}
