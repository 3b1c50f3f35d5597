package peer_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// silentBound is the time within which messages have to arrive again after connections have
// gone silent.
const silentBound = 1500 * time.Millisecond

// mutedConn is a connection that carries nothing more once its switch is muted: writes succeed,
// and reads wait.
type mutedConn struct {
	net.Conn
	muted *muteSwitch
}

// muteSwitch mutes a connection.
type muteSwitch struct {
	mu   sync.Mutex
	on   bool
	done chan struct{}
}

func (s *muteSwitch) mute() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.on = true
}

func (s *muteSwitch) isOn() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.on
}

func (c mutedConn) Write(p []byte) (int, error) {
	select {
	case <-c.muted.done:
		return 0, net.ErrClosed
	default:
	}
	if c.muted.isOn() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c mutedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.muted.isOn() {
		<-c.muted.done
		return 0, net.ErrClosed
	}
	return n, err
}

func (c mutedConn) Close() error {
	c.muted.mu.Lock()
	defer c.muted.mu.Unlock()
	select {
	case <-c.muted.done:
	default:
		close(c.muted.done)
	}
	return c.Conn.Close()
}

// mutedConns are the connections of a transport that can be muted.
type mutedConns struct {
	mu       sync.Mutex
	switches []*muteSwitch
}

// muteable makes the connections that a opens muteable.
func (p *pair) muteable() *mutedConns {
	m := &mutedConns{}
	p.a.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		c, err := p.dial(ctx, address)
		s := &muteSwitch{done: make(chan struct{})}
		m.mu.Lock()
		defer m.mu.Unlock()
		m.switches = append(m.switches, s)
		return mutedConn{Conn: c, muted: s}, err
	}
	return m
}

// muteAll mutes the connections that were opened so far.
func (m *mutedConns) muteAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.switches {
		s.mute()
	}
}

// A link's connection goes silent for good in both directions, again and again. Messages were
// written to it for as long as its buffers took them, and none arrived.
func TestSilentConnectionIsReplaced(t *testing.T) {
	if !alone(t) {
		return
	}
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair()
		defer p.close()
		p.a.Limits.WriteTimeout, p.b.Limits.WriteTimeout = 500*time.Millisecond, 500*time.Millisecond
		m := p.muteable()
		send := func() { p.a.Enqueue("b", "addr", core.Heartbeat{Sequence: 1}) }
		send()
		<-p.inbox
		for range 3 {
			time.Sleep(time.Second)
			m.muteAll()
			began := time.Now()
			arrived := false
			for !arrived && time.Since(began) < silentBound {
				send()
				time.Sleep(100 * time.Millisecond)
				arrived = len(p.inbox) > 0
			}
			is.True(arrived)
			for len(p.inbox) > 0 {
				<-p.inbox
			}
		}
	})
}

// All connections of a node to its peers go silent. The first that is found silent has the
// others checked, so that the next message to any peer arrives.
func TestSilentConnectionHasTheOthersChecked(t *testing.T) {
	if !alone(t) {
		return
	}
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair()
		defer p.close()
		p.a.Limits.WriteTimeout, p.b.Limits.WriteTimeout = 500*time.Millisecond, 500*time.Millisecond
		m := p.muteable()
		for _, to := range []core.NodeID{"b", "c", "d"} {
			p.a.Enqueue(to, "addr", core.Heartbeat{Sequence: 1})
			<-p.inbox
		}
		time.Sleep(time.Second)
		m.muteAll()
		p.a.Enqueue("b", "addr", core.Heartbeat{Sequence: 2})
		time.Sleep(silentBound)
		for _, to := range []core.NodeID{"c", "d"} {
			p.a.Enqueue(to, "addr", core.Heartbeat{Sequence: 3})
		}
		time.Sleep(100 * time.Millisecond)
		is.Equal(len(p.inbox), 2)
	})
}
