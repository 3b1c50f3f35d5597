package peer_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/peer"
	"daisyshed.dev/wire/mutualtls"
	"github.com/matryer/is"
)

var relayLimits = peer.Limits{
	Queue: 4, DialTimeout: 400 * time.Millisecond, WriteTimeout: 200 * time.Millisecond, IdleTimeout: time.Minute,
	Relayed: 8, RelayIdle: time.Minute,
}

// relayPair is two transports, of which a connects to upstreams through b over TCP.
type relayPair struct {
	t        *testing.T
	a, b     *peer.Transport
	relay    core.Relay
	upstream string
	accepted chan net.Conn
	ended    chan core.RelayEnded
	dials    atomic.Int32
	frozen   freezer
	// decide decides on the requests to b in place of a core.
	decide func(m core.RelayRequested)
}

// freezer holds up all reads and writes of connections while it is frozen.
type freezer struct{ mu sync.RWMutex }

type frozenConn struct {
	net.Conn
	f *freezer
}

func (c frozenConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.f.mu.RLock()
	defer c.f.mu.RUnlock()
	return n, err
}

func (c frozenConn) Write(p []byte) (int, error) {
	c.f.mu.RLock()
	defer c.f.mu.RUnlock()
	return c.Conn.Write(p)
}

func newRelayPair(t *testing.T) *relayPair {
	p := &relayPair{t: t, accepted: make(chan net.Conn, 16), ended: make(chan core.RelayEnded, 16)}
	p.upstream = p.listen(func(c net.Conn) { p.accepted <- c })
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", address)
	}
	p.b = &peer.Transport{Self: "b", Meter: &meter{}, Limits: relayLimits, DialUpstream: dial, Receive: p.receive}
	p.decide = func(m core.RelayRequested) {
		p.b.OpenRelay(core.OpenRelay{ID: m.ID, Engine: m.Engine, Address: p.upstream})
	}
	p.relay = core.Relay{Node: "b", Address: p.listen(p.b.ServeConn)}
	p.a = &peer.Transport{Self: "a", Meter: &meter{}, Limits: relayLimits}
	p.a.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		p.dials.Add(1)
		c, err := dial(ctx, address)
		return frozenConn{Conn: c, f: &p.frozen}, err
	}
	t.Cleanup(func() { p.a.Close(); p.b.Close() })
	return p
}

// listen accepts connections, passes each to f and returns the address.
func (p *relayPair) listen(f func(net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f(c)
		}
	}()
	return l.Addr().String()
}

func (p *relayPair) receive(m core.Message) {
	switch m := m.(type) {
	case core.RelayRequested:
		p.decide(m)
	case core.RelayEnded:
		p.ended <- m
	}
}

func (p *relayPair) dial() (net.Conn, error) {
	ctx, cancel := context.WithTimeout(p.t.Context(), 2*time.Second)
	defer cancel()
	return p.a.DialThrough(ctx, p.relay, "e1")
}

// open opens a relayed connection and returns both of its ends.
func (p *relayPair) open() (near net.Conn, far *net.TCPConn) {
	p.t.Helper()
	near, err := p.dial()
	if err != nil {
		p.t.Fatal(err)
	}
	c := (<-p.accepted).(*net.TCPConn)
	p.t.Cleanup(func() { _ = near.Close(); _ = c.Close() })
	return near, c
}

// closedAfter returns how long it takes until reading from c ends.
func closedAfter(t *testing.T, c net.Conn) time.Duration {
	began := time.Now()
	if err := c.SetReadDeadline(began.Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, c)
	return time.Since(began)
}

func TestRelayedConnectionCarriesBytesAndEnd(t *testing.T) {
	is := is.New(t)
	p := newRelayPair(t)
	near, far := p.open()
	_, err := near.Write(make([]byte, 100000))
	is.NoErr(err)
	_, err = io.ReadFull(far, make([]byte, 100000))
	is.NoErr(err)
	_, err = far.Write([]byte("answer"))
	is.NoErr(err)
	is.NoErr(far.Close())
	got, err := io.ReadAll(near)
	is.NoErr(err)
	is.Equal(string(got), "answer")
	is.NoErr(near.Close())
	is.Equal(<-p.ended, core.RelayEnded{ID: 1, Opened: true, Sent: 100000, Received: 6})
	p.open()
	is.Equal(p.dials.Load(), int32(1)) // one session for both
}

// The upstream sees that this node has closed its side, and may still answer.
func TestClosingOneSideIsSeenThroughRelay(t *testing.T) {
	is := is.New(t)
	p := newRelayPair(t)
	near, far := p.open()
	_, err := near.Write([]byte("ask"))
	is.NoErr(err)
	is.NoErr(near.(interface{ CloseWrite() error }).CloseWrite())
	got, err := io.ReadAll(far)
	is.NoErr(err)
	is.Equal(string(got), "ask")
	_, err = far.Write([]byte("answer"))
	is.NoErr(err)
	is.NoErr(far.Close())
	got, err = io.ReadAll(near)
	is.NoErr(err)
	is.Equal(string(got), "answer")
}

// An answer that the upstream breaks off must not look complete.
func TestResetOfUpstreamIsSeenThroughRelay(t *testing.T) {
	is := is.New(t)
	p := newRelayPair(t)
	near, far := p.open()
	_, err := far.Write([]byte("part"))
	is.NoErr(err)
	_, err = io.ReadFull(near, make([]byte, 4))
	is.NoErr(err)
	is.NoErr(far.SetLinger(0))
	is.NoErr(far.Close())
	_, err = near.Read(make([]byte, 1))
	is.True(errors.Is(err, syscall.ECONNRESET))
	var path *peer.PathError
	is.True(!errors.As(err, &path))
	is.NoErr(near.Close())
	is.Equal(<-p.ended, core.RelayEnded{ID: 1, Opened: true, BrokenOff: true, Received: 4})
}

// A relay that ends must not be taken for an upstream that does.
func TestEndOfRelayIsNotTheUpstreams(t *testing.T) {
	is := is.New(t)
	p := newRelayPair(t)
	near, far := p.open()
	p.b.Close()
	_, err := near.Read(make([]byte, 1))
	var path *peer.PathError
	is.True(errors.As(err, &path))
	is.Equal(path.Relay, core.NodeID("b"))
	is.True(closedAfter(t, far) < time.Second)
}

// A request that is cancelled must not go on at the upstream, whether it reads or not.
func TestClosingClosesUpstreamsConnection(t *testing.T) {
	for name, body := range map[string]int{"idle": 0, "unread": 64 << 20} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newRelayPair(t)
			near, far := p.open()
			written := make(chan error, 1)
			go func() {
				_, err := near.Write(make([]byte, body))
				written <- err
			}()
			time.Sleep(300 * time.Millisecond)
			is.NoErr(near.Close())
			if body > 0 {
				is.True(<-written != nil)
			}
			began := time.Now()
			is.True((<-p.ended).Opened)
			is.True(time.Since(began) < 100*time.Millisecond)
			closedAfter(t, far)
		})
	}
}

// The memory of both nodes is bounded although a caller does not read.
func TestRelayedConnectionIsFlowControlled(t *testing.T) {
	is := is.New(t)
	p := newRelayPair(t)
	_, far := p.open()
	is.NoErr(far.SetWriteBuffer(64 << 10))
	is.NoErr(far.SetWriteDeadline(time.Now().Add(500 * time.Millisecond)))
	n, err := far.Write(make([]byte, 64<<20))
	is.True(err != nil)
	is.True(n < 16<<20)
}

// A relay that freezes for a moment keeps its connections, and gets no new ones.
func TestFrozenRelayIsReplacedForNewConnections(t *testing.T) {
	is := is.New(t)
	p := newRelayPair(t)
	near, far := p.open()
	is.True(near.(interface{ Unused() bool }).Unused())
	p.frozen.mu.Lock()
	time.Sleep(time.Second)
	is.True(!near.(interface{ Unused() bool }).Unused())
	p.a.Dial = dialTCP
	began := time.Now()
	p.open() // on a session of its own
	is.True(time.Since(began) < 400*time.Millisecond)
	_, err := far.Write([]byte("late"))
	is.NoErr(err)
	go p.frozen.mu.Unlock()
	_, err = io.ReadFull(near, make([]byte, 4))
	is.NoErr(err)
}

// A node that is cut off from the relay for good must not keep connections to upstreams open.
func TestRelayClosesConnectionsOfSilentNode(t *testing.T) {
	is := is.New(t)
	p := newRelayPair(t)
	near, far := p.open()
	p.frozen.mu.Lock()
	is.True(closedAfter(t, far) < 4*time.Second)
	p.frozen.mu.Unlock()
	_, err := near.Read(make([]byte, 1))
	var path *peer.PathError
	is.True(errors.As(err, &path))
}

func TestRelayRefusals(t *testing.T) {
	is := is.New(t)
	p := newRelayPair(t)
	var failed *peer.RelayError
	refused := func(outcome core.ConnectOutcome, reason core.RelayRejection) {
		t.Helper()
		_, err := p.dial()
		is.True(errors.As(err, &failed))
		is.Equal(failed.Outcome, outcome)
		is.Equal(failed.Rejection, reason)
	}
	p.decide = func(m core.RelayRequested) {
		p.b.RejectRelay(core.RejectRelay{ID: m.ID, Reason: core.RelayLeaving})
	}
	refused(core.RelayRejected, core.RelayLeaving)
	p.decide = func(m core.RelayRequested) {
		p.b.OpenRelay(core.OpenRelay{ID: m.ID, Address: "127.0.0.1:1"})
	}
	refused(core.RelayFailed, 0)
	is.Equal(<-p.ended, core.RelayEnded{ID: 2})
	late := make(chan core.RelayID, 1)
	p.decide = func(m core.RelayRequested) { late <- m.ID }
	refused(core.RelayFailed, 0)
	p.b.OpenRelay(core.OpenRelay{ID: <-late, Address: p.upstream})
	is.Equal(<-p.ended, core.RelayEnded{ID: 3})
	p.decide = func(m core.RelayRequested) {
		p.b.OpenRelay(core.OpenRelay{ID: m.ID, Address: p.upstream})
	}
	p.b.Limits.Relayed = 1
	time.Sleep(500 * time.Millisecond) // the relay waits for the ends of refused connections
	p.open()
	refused(core.RelayDeclined, core.RelayFull)
	p.a.Limits.Relayed = 1
	_, err := p.dial()
	var tooMany *peer.TooManyRelayedError
	is.True(errors.As(err, &tooMany))
}

// Bytes that arrive while no request is in flight belong to no request.
func TestUnusedNoticesBytesAndEnd(t *testing.T) {
	for name, act := range map[string]func(c *net.TCPConn) error{
		"bytes": func(c *net.TCPConn) error { _, err := c.Write([]byte("x")); return err },
		"end":   func(c *net.TCPConn) error { return c.Close() },
		"reset": func(c *net.TCPConn) error { _ = c.SetLinger(0); return c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newRelayPair(t)
			near, far := p.open()
			is.True(near.(interface{ Unused() bool }).Unused())
			is.NoErr(act(far))
			time.Sleep(50 * time.Millisecond)
			is.True(!near.(interface{ Unused() bool }).Unused())
		})
	}
}

// A write that fails before its first byte proves that nothing was sent; no other does.
func TestWriteToEndedRelayProvesNothingSent(t *testing.T) {
	is := is.New(t)
	p := newRelayPair(t)
	near, _ := p.open()
	p.b.Close()
	_, err := near.Read(make([]byte, 1))
	is.True(err != nil)
	n, err := near.Write([]byte("request"))
	is.True(err != nil)
	is.Equal(n, 0)
}

// heldConn is a connection whose writes of a request return once held is closed, although their
// bytes are sent.
type heldConn struct {
	net.Conn
	held chan struct{}
}

func (c heldConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if bytes.Contains(p, []byte("request")) {
		<-c.held
	}
	return n, err
}

// Guards against a request that runs twice: its first write fails as the relay ends, and counts as
// not sent, although the upstream has received it.
func TestFailedFirstWriteMayHaveBeenSent(t *testing.T) {
	is := is.New(t)
	p := newRelayPair(t)
	held := make(chan struct{})
	defer close(held)
	p.a.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		c, err := dialTCP(ctx, address)
		return heldConn{Conn: c, held: held}, err
	}
	near, far := p.open()
	written := make(chan int, 1)
	go func() {
		n, err := near.Write([]byte("request"))
		is.True(err != nil)
		written <- n
	}()
	_, err := io.ReadFull(far, make([]byte, len("request")))
	is.NoErr(err)
	p.b.Close()
	is.True(<-written > 0)
}

func TestIdleRelayedConnectionIsClosed(t *testing.T) {
	is := is.New(t)
	p := newRelayPair(t)
	p.b.Limits.RelayIdle = 100 * time.Millisecond
	_, far := p.open()
	is.True(closedAfter(t, far) < time.Second)
	is.True((<-p.ended).Opened)
}

// A node asks for relayed connections only under its own name.
func TestRelayHelloOfOtherNodeIsRejected(t *testing.T) {
	is := is.New(t)
	impostor, faults, address, inbox := securePair(t, "c")
	impostor.Limits.Relayed = 1
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	_, err := impostor.DialThrough(ctx, core.Relay{Node: "b", Address: address}, "e1")
	var failed *peer.RelayError
	is.True(errors.As(err, &failed))
	is.Equal(failed.Outcome, core.RelayUnanswered)
	var identity *mutualtls.IdentityError
	is.True(errors.As(faults.waitForFault(), &identity))
	is.Equal(len(inbox), 0)
}
