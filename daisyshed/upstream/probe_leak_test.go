package upstream_test

import (
	"bufio"
	"context"
	"net"
	"runtime"
	"testing"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/peer"
	"daisyshed.dev/daisyshed/upstream"
	"github.com/matryer/is"
)

// Guards against probes of upstreams that never close, directly and through a relay, whose connections
// and goroutines stay at the relay or at this node.
func TestProbesOfSilentUpstreamsLeaveNothingOpen(t *testing.T) {
	is := is.New(t)
	silent := serve(t, func(c net.Conn, _ *bufio.Reader) { <-t.Context().Done(); _ = c.Close() })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	limits := peer.Limits{DialTimeout: time.Second, WriteTimeout: time.Second, IdleTimeout: time.Minute, Relayed: 64, RelayIdle: time.Minute}
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
	ended := make(chan core.RelayEnded, 64)
	b := &peer.Transport{Self: "b", Meter: noMeter{}, Limits: limits, DialUpstream: dial}
	b.Receive = func(m core.Message) {
		switch m := m.(type) {
		case core.RelayRequested:
			b.OpenRelay(core.OpenRelay{ID: m.ID, Engine: m.Engine, Address: silent})
		case core.RelayEnded:
			ended <- m
		}
	}
	go func() { _ = b.Serve(l) }()
	a := &peer.Transport{Self: "a", Meter: noMeter{}, Limits: limits, Dial: dial}
	t.Cleanup(func() { _ = l.Close(); a.Close(); b.Close() })
	outcomes := make(chan core.ConnectionObserved, 64)
	c := &upstream.Client{DialTimeout: time.Second, DialThrough: a.DialThrough, OnConnection: func(m core.ConnectionObserved) { outcomes <- m }}
	relay := core.Relay{Node: "b", Address: l.Addr().String()}
	probe := func(n int) {
		for range n {
			c.Probe(core.ProbeUpstream{Engine: "e1", Address: silent, Relay: relay})
		}
		for range n {
			is.Equal((<-outcomes).Outcome, core.Unanswered)
			m := <-ended
			is.True(m.Opened && !m.BrokenOff)
		}
	}
	probe(1)
	time.Sleep(100 * time.Millisecond)
	before := runtime.NumGoroutine()
	probe(32)
	time.Sleep(500 * time.Millisecond)
	is.Equal(b.Relaying(), 0)
	// The upstream of this test keeps a goroutine for each connection.
	is.True(runtime.NumGoroutine() <= before+32+2)
}
