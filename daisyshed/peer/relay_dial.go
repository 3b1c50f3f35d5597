package peer

import (
	"bufio"
	"context"
	"errors"
	"net"
	"time"

	"daisyshed.dev/core"
	wire "daisyshed.dev/wire/peer"
)

// relayLink is the session with a node through which connections are opened.
type relayLink struct {
	address string
	// opened is closed once session or err is set.
	opened  chan struct{}
	session *relaySession
	err     error
}

// usable reports whether the link's session is being opened, or is usable.
func (l *relayLink) usable() bool {
	select {
	case <-l.opened:
		return l.err == nil && l.session.usable()
	default:
		return true
	}
}

// DialThrough opens a connection to an upstream through another node. It gives a *[RelayError]
// if that fails, and a *[TooManyRelayedError] beyond Limits.Relayed.
func (t *Transport) DialThrough(ctx context.Context, relay core.Relay, engine core.EngineID) (net.Conn, error) {
	if n := t.relayed.Add(1); n > int64(t.Limits.Relayed) {
		t.relayed.Add(-1)
		return nil, &TooManyRelayedError{Limit: t.Limits.Relayed}
	}
	conn, err := t.openThrough(ctx, relay, engine)
	if err == nil {
		t.relayMeter().RelayedOpened(Relayed)
		return conn, nil
	}
	t.relayed.Add(-1)
	var failed *RelayError
	if !errors.As(err, &failed) {
		failed = &RelayError{Relay: relay.Node, Outcome: core.RelayUnanswered, Cause: err}
	}
	switch {
	case errors.Is(err, context.Canceled):
	case failed.Outcome == core.RelayRejected || failed.Outcome == core.RelayDeclined:
		t.relayMeter().RelayedRejected(Relayed, relay.Node, failed.Rejection)
	default:
		t.relayMeter().RelayedFailed(Relayed)
	}
	return nil, failed
}

// rejectedBy returns the error of a connection that a relay rejected.
func rejectedBy(relay core.NodeID, reason core.RelayRejection) error {
	outcome := core.RelayRejected
	if reason == core.RelayUnknownUpstream || reason == core.RelayFull {
		outcome = core.RelayDeclined
	}
	return &RelayError{Relay: relay, Outcome: outcome, Rejection: reason}
}

// openThrough opens a connection on the session with the relay.
func (t *Transport) openThrough(ctx context.Context, relay core.Relay, engine core.EngineID) (net.Conn, error) {
	session, err := t.relaySession(ctx, relay)
	if err != nil {
		return nil, err
	}
	type result struct {
		conn *relayedConn
		err  error
	}
	// Opening a stream waits for as long as the session carries nothing.
	results := make(chan result, 1)
	go func() {
		conn, err := t.openStream(ctx, session, relay.Node, engine)
		results <- result{conn: conn, err: err}
	}()
	select {
	case r := <-results:
		if r.err != nil && ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if r.err != nil {
			return nil, r.err
		}
		return r.conn, nil
	case <-ctx.Done():
		go func() {
			if r := <-results; r.err == nil {
				t.relayMeter().RelayedOpened(Relayed)
				t.relayed.Add(1)
				_ = r.conn.Close()
			}
		}()
		return nil, ctx.Err()
	}
}

// openStream opens a stream and has the relay open the connection to the upstream.
func (t *Transport) openStream(ctx context.Context, session *relaySession, relay core.NodeID, engine core.EngineID) (*relayedConn, error) {
	session.streams.Add(1)
	stream, err := session.session.OpenStream()
	if err != nil {
		session.streams.Add(-1)
		return nil, err
	}
	r := bufio.NewReaderSize(stream, relayReadBytes)
	conn := &relayedConn{Stream: stream, session: session, relay: relay, r: r, chunks: wire.ChunkReader{Source: r}}
	conn.onClose = func() { session.streams.Add(-1) }
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	reply, err := requestRelay(conn, engine)
	switch {
	case !stop() && err == nil:
		err = context.Cause(ctx)
	case err == nil && reply.Rejected:
		err = rejectedBy(relay, reply.Rejection)
	case err == nil && !reply.Opened:
		err = &RelayError{Relay: relay, Outcome: core.RelayFailed}
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	conn.onClose = func() {
		session.streams.Add(-1)
		t.relayed.Add(-1)
		t.relayMeter().RelayedClosed(Relayed)
	}
	return conn, nil
}

// requestRelay performs the handshake of a relayed connection.
func requestRelay(conn *relayedConn, engine core.EngineID) (wire.RelayReply, error) {
	if err := wire.WriteRelayOpen(conn.Stream, engine); err != nil {
		return wire.RelayReply{}, err
	}
	return wire.ReadRelayReply(conn.r)
}

// relaySession returns the session with a node, and opens one if there is none that is usable.
// Connections on an earlier one stay.
func (t *Transport) relaySession(ctx context.Context, relay core.Relay) (*relaySession, error) {
	l := t.relayLink(relay)
	select {
	case <-l.opened:
		return l.session, l.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (t *Transport) relayLink(relay core.Relay) *relayLink {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.relays[relay.Node]
	if l != nil && l.address == relay.Address && l.usable() {
		return l
	}
	if t.relays == nil {
		t.relays = map[core.NodeID]*relayLink{}
	}
	l = &relayLink{address: relay.Address, opened: make(chan struct{})}
	t.relays[relay.Node] = l
	go func() {
		defer close(l.opened)
		l.session, l.err = t.openRelaySession(relay)
	}()
	return l
}

// openRelaySession connects to a node and starts a session for relayed connections.
func (t *Transport) openRelaySession(relay core.Relay) (*relaySession, error) {
	ctx, cancel := context.WithTimeout(context.Background(), t.Limits.DialTimeout)
	defer cancel()
	conn, err := t.Dial(ctx, relay.Address)
	if err != nil {
		return nil, err
	}
	conn = &countingConn{Conn: conn, count: t.countRelayed}
	closeConn := t.track(conn)
	session, err := t.startRelaySession(ctx, conn, relay.Node)
	if err != nil {
		closeConn()
		return nil, err
	}
	go func() {
		<-session.session.CloseChan()
		closeConn()
	}()
	return session, nil
}

func (t *Transport) startRelaySession(ctx context.Context, conn net.Conn, relay core.NodeID) (*relaySession, error) {
	conn, err := t.secureClient(ctx, conn, relay)
	if err != nil {
		return nil, err
	}
	if err := conn.SetWriteDeadline(time.Now().Add(t.Limits.WriteTimeout)); err != nil {
		return nil, err
	}
	if err := wire.WriteRelayHello(conn, t.Self); err != nil {
		return nil, err
	}
	if err := conn.SetWriteDeadline(time.Time{}); err != nil {
		return nil, err
	}
	return t.newRelaySession(conn, Relayed, relay)
}
