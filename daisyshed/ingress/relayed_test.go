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

// A node that is partitioned from the upstreams rejected all requests, although its peers
// could reach them.
func TestUnreachableUpstreamIsReachedThroughPeer(t *testing.T) {
	is := is.New(t)
	_, address := startWorker(t, hostedworker.Settings{Slots: 2})
	client := &upstream.Client{DialTimeout: 400 * time.Millisecond}
	client.DialThrough = func(ctx context.Context, relay core.Relay, engine core.EngineID) (net.Conn, error) {
		is.Equal(relay, core.Relay{Node: "n2", Address: "peer"})
		is.Equal(engine, core.EngineID("e1"))
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
	client.UseRelays(core.UseRelays{Relays: []core.Relay{{Node: "n2", Address: "peer"}}})
	dead := unreachable(t)
	s, _ := startServerWith(t, func(s *ingress.Server) { s.Upstreams = client }, func(m core.Message) []core.ForwardCommand {
		switch m := m.(type) {
		case core.Forward:
			return []core.ForwardCommand{core.RunForward{ID: m.ID, Send: 1, Engine: "e1", Address: dead, Patience: time.Second}}
		case core.StepFailed:
			return []core.ForwardCommand{core.EndForward{ID: m.ID, Reason: core.NoCapacity, NotRun: m.Unsent}}
		}
		return nil
	})
	body := bytes.Repeat([]byte("b"), 5000)
	a := post(t, s.URL, "a", body)
	is.Equal(a.StatusCode, http.StatusOK)
	got, err := io.ReadAll(a.Body)
	is.NoErr(err)
	is.Equal(got, hostedworker.Answer("a", body))
}
