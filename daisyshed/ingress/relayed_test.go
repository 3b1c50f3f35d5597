package ingress_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/ingress"
	"daisyshed.dev/daisyshed/peer"
	"daisyshed.dev/daisyshed/upstream"
	"daisyshed.dev/standin/hostedworker"
	"github.com/matryer/is"
)

// unreachable returns an address at which connections are refused.
func unreachable(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// relayed is a client that reaches the upstream at an address only through another node.
type relayed struct {
	*upstream.Client
	relay *peer.Transport
	ended chan core.RelayEnded
}

func newRelayed(t *testing.T, address string) *relayed {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
	limits := peer.Limits{DialTimeout: 400 * time.Millisecond, WriteTimeout: 500 * time.Millisecond, IdleTimeout: time.Minute, Relayed: 8, RelayIdle: time.Minute}
	r := &relayed{ended: make(chan core.RelayEnded, 8)}
	r.relay = &peer.Transport{Self: "n2", Meter: noMeter{}, Limits: limits, DialUpstream: dial}
	r.relay.Receive = func(m core.Message) {
		switch m := m.(type) {
		case core.RelayRequested:
			r.relay.OpenRelay(core.OpenRelay{ID: m.ID, Engine: m.Engine, Address: address})
		case core.RelayEnded:
			r.ended <- m
		}
	}
	go func() { _ = r.relay.Serve(l) }()
	self := &peer.Transport{Self: "n1", Meter: noMeter{}, Limits: limits, Dial: dial}
	r.Client = &upstream.Client{DialTimeout: limits.DialTimeout, DialThrough: self.DialThrough}
	r.UseRelays(core.UseRelays{Relays: []core.Relay{{Node: "n2", Address: l.Addr().String()}}})
	t.Cleanup(func() { _ = l.Close(); r.Close(); self.Close(); r.relay.Close() })
	return r
}

// noMeter records nothing.
type noMeter struct{}

func (noMeter) ControlBytes(int, int) {}
func (noMeter) PeerDropped()          {}
func (noMeter) PeerFault(error)       {}

// startRelayed starts a server whose upstream has an address that cannot be reached directly. The
// server rejects requests whose step fails, and the failures are sent to the channel.
func startRelayed(t *testing.T, client *upstream.Client) (url string, failures chan core.StepFailed) {
	dead := unreachable(t)
	failures = make(chan core.StepFailed, 1)
	s, _ := startServerWith(t, func(s *ingress.Server) { s.Upstreams = client }, func(m core.Message) []core.ForwardCommand {
		switch m := m.(type) {
		case core.Forward:
			return []core.ForwardCommand{core.RunForward{ID: m.ID, Send: 1, Engine: "e1", Address: dead, Patience: time.Second, Once: true}}
		case core.StepFailed:
			failures <- m
			return []core.ForwardCommand{core.EndForward{ID: m.ID, Reason: core.NoCapacity, NotRun: m.Unsent}}
		}
		return nil
	})
	return s.URL, failures
}

// A node that is partitioned from the upstreams rejected all requests, although its peers
// could reach them.
func TestUnreachableUpstreamIsReachedThroughPeer(t *testing.T) {
	is := is.New(t)
	_, address := startWorker(t, hostedworker.Settings{Slots: 2})
	url, _ := startRelayed(t, newRelayed(t, address).Client)
	for _, size := range []int{5000, 0, 200000} {
		body := bytes.Repeat([]byte("b"), size)
		a := post(t, url, "a", body)
		is.Equal(a.StatusCode, http.StatusOK)
		got, err := io.ReadAll(a.Body)
		is.NoErr(err)
		is.Equal(got, hostedworker.Answer("a", body))
	}
}

// A request may run although its relay has failed, which must not count against the upstream.
func TestFailureOfRelayUnderRequest(t *testing.T) {
	is := is.New(t)
	_, address := startWorker(t, hostedworker.Settings{Slots: 2, Work: time.Second})
	client := newRelayed(t, address)
	url, failures := startRelayed(t, client.Client)
	time.AfterFunc(300*time.Millisecond, client.relay.Close)
	a := post(t, url, "a", nil)
	is.Equal(a.StatusCode, http.StatusBadGateway)
	m := <-failures
	is.Equal(m.Relay, core.NodeID("n2"))
	is.True(m.PathFailed)
	is.True(!m.Unsent)
	is.True(!m.BrokenOff)
}

// A caller that disconnects must not leave its request running behind the relay.
func TestCancelledRequestEndsAtRelay(t *testing.T) {
	is := is.New(t)
	_, address := startWorker(t, hostedworker.Settings{Slots: 2, Work: 3 * time.Second})
	client := newRelayed(t, address)
	url, _ := startRelayed(t, client.Client)
	ctx, cancel := context.WithCancel(t.Context())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/x/", nil)
	is.NoErr(err)
	r.Header.Set("Attempt-Id", "a")
	time.AfterFunc(300*time.Millisecond, cancel)
	_, err = http.DefaultClient.Do(r)
	is.True(err != nil)
	began := time.Now()
	is.True((<-client.ended).Opened)
	is.True(time.Since(began) < 100*time.Millisecond)
}
