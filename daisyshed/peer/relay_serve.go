package peer

import (
	"bufio"
	"context"
	"net"
	"time"

	"daisyshed.dev/core"
	wire "daisyshed.dev/wire/peer"
	"github.com/hashicorp/yamux"
)

// relayDecision is the core's decision on a connection that another node asks for.
type relayDecision struct {
	// address is the upstream's; empty if the connection is rejected.
	address   string
	rejection core.RelayRejection
}

// OpenRelay has the connection of a RelayRequested opened. It does not block.
func (t *Transport) OpenRelay(c core.OpenRelay) {
	if !t.decide(c.ID, relayDecision{address: c.Address}) {
		// The other node does not wait any more.
		go t.Receive(core.RelayEnded{ID: c.ID})
	}
}

// RejectRelay rejects a RelayRequested. It does not block.
func (t *Transport) RejectRelay(c core.RejectRelay) {
	t.decide(c.ID, relayDecision{rejection: c.Reason})
}

// decide passes a decision on and reports whether it is still waited for.
func (t *Transport) decide(id core.RelayID, d relayDecision) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	decision, ok := t.decisions[id]
	delete(t.decisions, id)
	if ok {
		decision <- d
	}
	return ok
}

// Relaying returns the number of open connections that this node relays for others.
func (t *Transport) Relaying() int { return int(t.relaying.Load()) }

// serveRelays serves the relayed connections on conn. startTimer closes it if nothing is
// received.
func (t *Transport) serveRelays(conn net.Conn, r *bufio.Reader, check identityCheck, startTimer *time.Timer) error {
	if _, err := r.Discard(1); err != nil {
		return err
	}
	from, err := wire.ReadRelayHello(r)
	if !startTimer.Stop() || err != nil {
		return &NoStreamError{Cause: err}
	}
	if err := check(from); err != nil {
		return err
	}
	session, err := t.newRelaySession(conn, Relaying, from)
	if err != nil {
		return err
	}
	defer session.end()
	for {
		stream, err := session.session.AcceptStream()
		if err != nil {
			// The session's end is reported by its watch.
			return nil
		}
		go t.serveRelay(session, stream)
	}
}

// serveRelay serves one relayed connection, if the core and the limits allow it.
func (t *Transport) serveRelay(session *relaySession, stream *yamux.Stream) {
	session.streams.Add(1)
	defer session.streams.Add(-1)
	defer stream.Close()
	n := t.relaying.Add(1)
	defer t.relaying.Add(-1)
	r := bufio.NewReaderSize(stream, relayReadBytes)
	// Setting the deadlines of a stream cannot fail.
	_ = stream.SetDeadline(time.Now().Add(t.Limits.DialTimeout))
	engine, err := wire.ReadRelayOpen(r)
	if err != nil {
		t.Meter.PeerFault(err)
		return
	}
	_ = stream.SetDeadline(time.Time{})
	decision := relayDecision{rejection: core.RelayFull}
	id := core.RelayID(t.lastRelay.Add(1))
	if n <= int64(t.Limits.Relayed) && t.DialUpstream != nil {
		var ok bool
		if decision, ok = t.askCore(core.RelayRequested{ID: id, From: session.node, Engine: engine}); !ok {
			t.refuse(session, stream, wire.RelayReply{})
			return
		}
	}
	if decision.address == "" {
		t.refuse(session, stream, wire.RelayReply{Rejected: true, Rejection: decision.rejection})
		return
	}
	t.Receive(t.relayTo(decision.address, id, session, stream, r))
}

// askCore returns the core's decision; false if it comes too late.
func (t *Transport) askCore(m core.RelayRequested) (relayDecision, bool) {
	decision := make(chan relayDecision, 1)
	t.mu.Lock()
	if t.decisions == nil {
		t.decisions = map[core.RelayID]chan relayDecision{}
	}
	t.decisions[m.ID] = decision
	t.mu.Unlock()
	t.Receive(m)
	timer := time.NewTimer(t.Limits.DialTimeout)
	defer timer.Stop()
	select {
	case d := <-decision:
		return d, true
	case <-timer.C:
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.decisions, m.ID)
	select {
	case d := <-decision:
		return d, true
	default:
		return relayDecision{}, false
	}
}

// refuse replies that the connection is not opened, and waits briefly for the other node to close the
// stream: a reset could overtake the reply.
func (t *Transport) refuse(session *relaySession, stream *yamux.Stream, reply wire.RelayReply) {
	if reply.Rejected {
		t.relayMeter().RelayedRejected(Relaying, session.node, reply.Rejection)
	} else {
		t.relayMeter().RelayedFailed(Relaying)
	}
	// Setting the deadlines of a stream cannot fail. If the write fails, the other node sees
	// the end of the stream.
	_ = stream.SetDeadline(time.Now().Add(t.Limits.DialTimeout))
	_ = wire.WriteRelayReply(stream, reply)
	_, _ = stream.Read(make([]byte, 1))
}

// relayTo opens a connection to an upstream and copies bytes until the other node closes the
// stream.
func (t *Transport) relayTo(address string, id core.RelayID, session *relaySession, stream *yamux.Stream, r *bufio.Reader) core.RelayEnded {
	ended := core.RelayEnded{ID: id}
	ctx, cancel := context.WithTimeout(context.Background(), t.Limits.DialTimeout)
	defer cancel()
	upstream, err := t.DialUpstream(ctx, address)
	if err != nil {
		t.refuse(session, stream, wire.RelayReply{})
		return ended
	}
	defer upstream.Close()
	if err := wire.WriteRelayReply(stream, wire.RelayReply{Opened: true}); err != nil {
		return ended
	}
	t.relayMeter().RelayedOpened(Relaying)
	defer t.relayMeter().RelayedClosed(Relaying)
	b := copyRelayed(upstream, stream, r, t.Limits.RelayIdle)
	return core.RelayEnded{ID: id, Opened: true, BrokenOff: b.brokenOff, Sent: b.sent, Received: b.received}
}
