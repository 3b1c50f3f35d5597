package caller_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/caller"
	"daisyshed.dev/daisyshed/engine"
	"daisyshed.dev/wire/sse"
)

var limits = caller.Limits{
	BodyBytes:    1000,
	Requests:     3,
	ReadTimeout:  time.Second,
	WriteTimeout: time.Second,
	CallTimeout:  10 * time.Second,
}

// node is a server on in-memory connections, with the test as its core.
type node struct {
	t        *testing.T
	server   *caller.Server
	messages chan core.Message
	conns    chan net.Conn
	closed   chan struct{}
	client   *http.Client
}

// run calls f with a node in a bubble of virtual time.
func run(t *testing.T, f func(t *testing.T, n *node)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := &node{t: t, messages: make(chan core.Message, 64), conns: make(chan net.Conn), closed: make(chan struct{})}
		n.server = &caller.Server{Node: "n", Limits: limits, Send: func(m core.Message) { n.messages <- m }}
		n.client = &http.Client{Transport: &http.Transport{DialContext: n.dial}}
		server := &http.Server{Handler: n.server.Handler(), WriteTimeout: limits.WriteTimeout}
		go func() { _ = server.Serve(n) }()
		f(t, n)
		n.client.CloseIdleConnections()
		_ = server.Close()
		// net/http lingers over connections that it refused.
		time.Sleep(time.Second)
	})
}

func (n *node) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case n.conns <- far:
		return near, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept serves net.Listener.
func (n *node) Accept() (net.Conn, error) {
	select {
	case conn := <-n.conns:
		return conn, nil
	case <-n.closed:
		return nil, net.ErrClosed
	}
}

// Close serves net.Listener.
func (n *node) Close() error {
	close(n.closed)
	return nil
}

// Addr serves net.Listener.
func (n *node) Addr() net.Addr { return &net.TCPAddr{} }

// post sends a body; the headers are pairs of name and value.
func (n *node) post(ctx context.Context, path, body string, headers ...string) *http.Response {
	n.t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://n"+path, strings.NewReader(body))
	if err != nil {
		n.t.Fatal(err)
	}
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := n.client.Do(req)
	if err != nil {
		return nil
	}
	return resp
}

// start posts in the background and returns the channel of the response.
func (n *node) start(ctx context.Context, path, body string, headers ...string) <-chan *http.Response {
	responses := make(chan *http.Response, 1)
	go func() { responses <- n.post(ctx, path, body, headers...) }()
	return responses
}

// request returns the next message, which must be a request, and its answer.
func (n *node) request() (core.CallerRequest, engine.Answer) {
	n.t.Helper()
	m, ok := (<-n.messages).(core.CallerRequest)
	if !ok {
		n.t.Fatal("not a CallerRequest")
	}
	a, ok := n.server.Answer(m.Request)
	if !ok {
		n.t.Fatal("no answer to write to")
	}
	return m, a
}

// events reads a streamed answer to its end.
func events(responses <-chan *http.Response) <-chan sse.Event {
	out := make(chan sse.Event, 64)
	go func() {
		defer close(out)
		resp := <-responses
		defer resp.Body.Close()
		r := sse.NewReader(resp.Body)
		for e, err := r.Next(); err == nil; e, err = r.Next() {
			out <- e
		}
	}()
	return out
}

func read(t *testing.T, resp *http.Response) string {
	t.Helper()
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}
