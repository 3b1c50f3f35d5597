package peer_test

import (
	"context"
	"errors"
	"net"
	"os"
	"os/exec"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/peer"
	wire "daisyshed.dev/wire/peer"
	"github.com/hashicorp/yamux"
	"github.com/matryer/is"
)

var limits = peer.Limits{
	Queue:        4,
	DialTimeout:  time.Second,
	WriteTimeout: 2 * time.Second,
	IdleTimeout:  time.Minute,
}

// meter records a transport's counts and errors.
type meter struct {
	mu                      sync.Mutex
	sent, received, dropped int
	faults                  []error
}

func (m *meter) ControlBytes(sent, received int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sent += sent
	m.received += received
}

func (m *meter) PeerDropped() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dropped++
}

func (m *meter) PeerFault(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = append(m.faults, err)
}

func (m *meter) counts() (sent, received, dropped int, faults []error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sent, m.received, m.dropped, m.faults
}

func (m *meter) droppedSoFar() int {
	_, _, dropped, _ := m.counts()
	return dropped
}

func (m *meter) faultsSoFar() []error {
	_, _, _, faults := m.counts()
	return faults
}

// pair is two transports, of which a sends to b through in-memory pipes.
type pair struct {
	a, b           *peer.Transport
	meterA, meterB meter
	inbox          chan core.Message
	mu             sync.Mutex
	pipes          []net.Conn
}

func newPair() *pair {
	p := &pair{inbox: make(chan core.Message, 64)}
	p.b = &peer.Transport{Self: "b", Meter: &p.meterB, Limits: limits, Receive: func(m core.Message) { p.inbox <- m }}
	p.a = &peer.Transport{Self: "a", Incarnation: 7, Meter: &p.meterA, Limits: limits, Dial: p.dial}
	return p
}

func (p *pair) dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pipes = append(p.pipes, far)
	go p.b.ServeConn(far)
	return near, nil
}

func (p *pair) connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.pipes)
}

func (p *pair) close() {
	p.a.Close()
	p.b.Close()
}

// aloneKey is set in the environment of a process that runs one test.
const aloneKey = "PEER_TEST_ALONE"

// alone reports whether this process runs the test alone. If not, it runs it in one that does. Some
// tests share something of the process with those whose connections end in the background: yamux
// keeps its timers in a pool, and those of a synctest bubble must not be used outside it.
func alone(t *testing.T) bool {
	if os.Getenv(aloneKey) != "" {
		return true
	}
	cmd := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$", "-test.v")
	cmd.Env = append(os.Environ(), aloneKey+"=1")
	out, err := cmd.CombinedOutput()
	if err != nil {
		t.Errorf("%v: %s", err, out)
	}
	return false
}

// transportCases run one after the other in one synctest bubble: yamux keeps its
// timers in a pool shared by the whole process, and a timer must not be used in
// two bubbles.
var transportCases = []struct {
	name string
	run  func(t *testing.T)
}{
	{"Messages arrive in order over one connection", messagesArriveInOrderOverOneConnection},
	{"Idle connection is closed and reopened", idleConnectionIsClosedAndReopened},
	{"Broken connection is replaced", brokenConnectionIsReplaced},
	{"Full queue drops without blocking", fullQueueDropsWithoutBlocking},
	{"Invalid bytes end only their connection", invalidBytesEndOnlyTheirConnection},
	{"Invalid frame ends only its connection", invalidFrameEndsOnlyItsConnection},
	{"Message of a later build is skipped", messageOfLaterBuildIsSkipped},
	{"Connection without a stream is closed", connectionWithoutStreamIsClosed},
	{"Message that cannot be encoded leaves its connection open", unencodableMessageLeavesItsConnectionOpen},
}

func TestTransport(t *testing.T) {
	if !alone(t) {
		return
	}
	synctest.Test(t, func(t *testing.T) {
		for _, c := range transportCases {
			t.Log(c.name)
			c.run(t)
		}
	})
}

func messagesArriveInOrderOverOneConnection(t *testing.T) {
	is := is.New(t)
	p := newPair()
	defer p.close()
	for i := range 3 {
		p.a.Enqueue("b", "addr", core.Heartbeat{Sequence: uint64(i)})
	}
	for i := range 3 {
		is.Equal(<-p.inbox, core.PeerMessage{From: "a", Incarnation: 7, Protocol: core.LatestProtocol, Body: core.Heartbeat{Sequence: uint64(i)}})
	}
	synctest.Wait()
	is.Equal(p.connections(), 1)
	sent, _, _, _ := p.meterA.counts()
	_, received, _, _ := p.meterB.counts()
	is.True(sent > 0)
	is.Equal(sent, received)
}

func unencodableMessageLeavesItsConnectionOpen(t *testing.T) {
	is := is.New(t)
	p := newPair()
	defer p.close()
	for _, body := range []core.PeerBody{
		core.VMListQuery{}, core.VersionQuery{Service: "\xff"}, core.KeyCall{Body: make([]byte, wire.MaxEnvelopeBytes)}, core.VMListQuery{},
	} {
		p.a.Enqueue("b", "addr", body)
	}
	<-p.inbox
	<-p.inbox
	synctest.Wait()
	is.Equal(p.connections(), 1)
	is.Equal(p.meterA.droppedSoFar(), 2)
	is.Equal(len(p.meterA.faultsSoFar()), 2)
}

func idleConnectionIsClosedAndReopened(t *testing.T) {
	is := is.New(t)
	p := newPair()
	defer p.close()
	p.a.Enqueue("b", "addr", core.VMListQuery{})
	<-p.inbox
	time.Sleep(3 * limits.IdleTimeout)
	p.a.Enqueue("b", "addr", core.VMListQuery{})
	<-p.inbox
	synctest.Wait()
	is.Equal(p.connections(), 2)
	is.Equal(p.meterA.droppedSoFar(), 0)
}

func brokenConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	p := newPair()
	defer p.close()
	p.a.Enqueue("b", "addr", core.Heartbeat{Sequence: 1})
	<-p.inbox
	is.NoErr(p.pipes[0].Close())
	synctest.Wait()
	p.a.Enqueue("b", "addr", core.Heartbeat{Sequence: 2})
	got := (<-p.inbox).(core.PeerMessage)
	is.Equal(got.Body, core.Heartbeat{Sequence: 2})
	is.Equal(p.connections(), 2)
}

func fullQueueDropsWithoutBlocking(t *testing.T) {
	is := is.New(t)
	p := newPair()
	defer p.close()
	p.a.Dial = func(ctx context.Context, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	for range 20 {
		p.a.Enqueue("b", "addr", core.VMListQuery{})
	}
	synctest.Wait()
	// The link may have dequeued one message; up to limits.Queue more are queued.
	is.True(p.meterA.droppedSoFar() >= 20-limits.Queue-1)
	time.Sleep(time.Minute)
	synctest.Wait()
	is.Equal(p.meterA.droppedSoFar(), 20)
}

func invalidBytesEndOnlyTheirConnection(t *testing.T) {
	is := is.New(t)
	p := newPair()
	defer p.close()
	near, far := net.Pipe()
	go p.b.ServeConn(far)
	// The server closes the connection at the first invalid bytes, so the write
	// may fail.
	_, _ = near.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	synctest.Wait()
	_, err := near.Read(make([]byte, 1))
	is.True(err != nil)
	is.Equal(len(p.meterB.faultsSoFar()), 1)
	var none *peer.NoStreamError
	is.True(errors.As(p.meterB.faultsSoFar()[0], &none))
}

func invalidFrameEndsOnlyItsConnection(t *testing.T) {
	is := is.New(t)
	p := newPair()
	defer p.close()
	near, far := net.Pipe()
	defer near.Close()
	go p.b.ServeConn(far)
	session, err := yamux.Client(near, nil)
	is.NoErr(err)
	stream, err := session.OpenStream()
	is.NoErr(err)
	// The server closes the session once it has read the frame, possibly before
	// the write returns. The error checked below shows that the frame arrived.
	_, _ = stream.Write([]byte{3, 0xff, 0xff, 0xff})
	<-session.CloseChan()
	synctest.Wait()
	is.Equal(len(p.meterB.faultsSoFar()), 1)
	var decode *wire.DecodeError
	is.True(errors.As(p.meterB.faultsSoFar()[0], &decode))
}

// The connection of a node with a later build was closed at each message that this build does not
// know, and what followed was lost.
func messageOfLaterBuildIsSkipped(t *testing.T) {
	is := is.New(t)
	p := newPair()
	defer p.close()
	near, far := net.Pipe()
	defer near.Close()
	go p.b.ServeConn(far)
	session, err := yamux.Client(near, nil)
	is.NoErr(err)
	stream, err := session.OpenStream()
	is.NoErr(err)
	// An envelope from "a" with field 59, which is no body of this build.
	unknown := []byte{6, 0x0a, 1, 'a', 0xda, 0x03, 0}
	known, err := wire.EncodeFrame(core.PeerMessage{From: "a", Body: core.StateQuery{}})
	is.NoErr(err)
	for _, frame := range [][]byte{unknown, known, unknown, known} {
		_, err = stream.Write(frame)
		is.NoErr(err)
	}
	synctest.Wait()
	is.Equal(len(p.inbox), 2)
	is.Equal(p.meterB.faultsSoFar(), []error{wire.EmptyEnvelopeError{}})
}

func connectionWithoutStreamIsClosed(t *testing.T) {
	is := is.New(t)
	p := newPair()
	defer p.close()
	near, far := net.Pipe()
	go p.b.ServeConn(far)
	_, err := near.Read(make([]byte, 1))
	is.True(err != nil)
	synctest.Wait()
	is.Equal(len(p.meterB.faultsSoFar()), 1)
}
