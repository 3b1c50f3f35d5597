package peer

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"daisyshed.dev/core"
	"github.com/hashicorp/yamux"
)

const (
	// relayEndFactor is how many times longer than until it counts as silent a session may be
	// silent before its connections are broken. A node that is silent for a shorter time goes
	// on with them.
	relayEndFactor = 10
	// relayCloseTimeout is how long after its closing a relayed connection is reset if the
	// other node does not close it too.
	relayCloseTimeout = 50 * time.Millisecond
	// relayBacklog bounds the relayed connections of a session that wait to be accepted.
	relayBacklog = 64
)

// relaySession carries relayed connections between this node and another one.
type relaySession struct {
	session *yamux.Session
	conn    *liveConn
	role    RelayRole
	node    core.NodeID
	meter   RelayMeter
	// timeout is how long an answer to a ping may take before the session counts as silent, and
	// idleTimeout how long the session stays open without connections.
	timeout, idleTimeout time.Duration

	// streams counts the open connections.
	streams atomic.Int64
	silent  atomic.Bool
}

// liveConn is the connection of a session. It knows when bytes were last received, and has
// yamux end the session from its own reader: from anywhere else, reads of the session's streams
// are busy until that reader has run.
type liveConn struct {
	net.Conn
	opened time.Time
	// ended returns a channel that is closed once the session has ended. It may be called once
	// started is closed.
	started chan struct{}
	ended   func() <-chan struct{}
	// receivedAfter is the time of the last bytes, in nanoseconds after opened.
	receivedAfter atomic.Int64
}

// Read implements net.Conn.
func (c *liveConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.receivedAfter.Store(int64(time.Since(c.opened)))
	}
	if err != nil {
		// yamux closes the connection next, and must not wait there for a write to end.
		_ = c.Close()
	}
	return n, err
}

// Write implements net.Conn. If it fails, it returns once the session has ended.
func (c *liveConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		// This ends the session's reader. The connection is not used again.
		_ = c.Close()
		<-c.started
		<-c.ended()
	}
	return n, err
}

// receivedAt returns when bytes were last received, or when the connection was opened.
func (c *liveConn) receivedAt() time.Time {
	return c.opened.Add(time.Duration(c.receivedAfter.Load()))
}

// newRelaySession starts a session on conn. Its end closes conn.
func (t *Transport) newRelaySession(conn net.Conn, role RelayRole, node core.NodeID) (*relaySession, error) {
	s := &relaySession{
		conn: &liveConn{Conn: conn, opened: time.Now(), started: make(chan struct{})}, role: role, node: node, meter: t.relayMeter(),
		timeout: t.Limits.WriteTimeout, idleTimeout: t.Limits.IdleTimeout,
	}
	start := yamux.Client
	if role == Relaying {
		// The node that opened the session closes it first.
		start, s.idleTimeout = yamux.Server, 2*t.Limits.IdleTimeout
	}
	session, err := start(s.conn, t.relaySessionConfig())
	if err != nil {
		return nil, err
	}
	s.session = session
	s.conn.ended = session.CloseChan
	close(s.conn.started)
	s.meter.RelaySession(role, node, nil)
	go s.watch()
	return s, nil
}

// relaySessionConfig returns the configuration of a session for relayed connections. A node
// that is silent for a moment must not break them.
func (t *Transport) relaySessionConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false
	cfg.ConnectionWriteTimeout = relayEndFactor * t.Limits.WriteTimeout
	// The pings find out whether the session is silent.
	cfg.StreamOpenTimeout = 0
	cfg.StreamCloseTimeout = relayCloseTimeout
	cfg.AcceptBacklog = relayBacklog
	cfg.LogOutput = io.Discard
	return cfg
}

// usable reports whether connections can be opened on the session.
func (s *relaySession) usable() bool { return !s.silent.Load() && !s.session.IsClosed() }

// watch probes the session while it carries connections, and closes it once it is silent or
// idle for too long.
func (s *relaySession) watch() {
	ticker := time.NewTicker(probePause)
	defer ticker.Stop()
	answered := make(chan error, 1)
	// waiting is set from the beginning of a ping until one is answered, and probing until one
	// has ended.
	var waiting, probing bool
	var began time.Time
	last := time.Now()
	for {
		select {
		case <-s.session.CloseChan():
			s.meter.RelaySession(s.role, s.node, yamux.ErrSessionShutdown)
			return
		case err := <-answered:
			probing = false
			if err == nil {
				waiting = false
				s.silent.Store(false)
			}
		case now := <-ticker.C:
			if now.Sub(last) > 2*probePause {
				// This process did not run. An answer may have arrived.
				began = now
			}
			last = now
			if !waiting {
				if s.closeIdle(now) {
					continue
				}
				waiting, began = true, now
			}
			if !probing {
				probing = true
				go s.ping(answered)
			}
			s.judge(now, began)
		}
	}
}

func (s *relaySession) ping(answered chan<- error) {
	_, err := s.session.Ping()
	answered <- err
}

// closeIdle closes the session if it has carried no connection for too long, and reports
// whether it carries none.
func (s *relaySession) closeIdle(now time.Time) bool {
	if s.streams.Load() > 0 {
		return false
	}
	if s.silent.Load() || now.Sub(s.conn.receivedAt()) > s.idleTimeout {
		s.end()
	}
	return true
}

// judge marks the session as silent, or closes it, if nothing was received for too long since
// a ping began.
func (s *relaySession) judge(now, began time.Time) {
	if received := s.conn.receivedAt(); received.After(began) {
		began = received
	}
	quiet := now.Sub(began)
	if quiet > s.timeout && !s.silent.Swap(true) {
		s.meter.RelaySession(s.role, s.node, &SilentError{To: s.node, After: quiet})
	}
	if quiet > relayEndFactor*s.timeout {
		s.end()
	}
}

// end ends the session.
func (s *relaySession) end() {
	// The session's reader notices. An error means that it has done so already.
	_ = s.conn.Close()
}
