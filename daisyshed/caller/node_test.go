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

// testNode is a caller.Server on in-memory connections. The test plays the role
// of the core: it receives the server's messages and answers them.
type testNode struct {
	t        *testing.T
	server   *caller.Server
	messages chan core.Message
	conns    chan net.Conn
	closed   chan struct{}
	client   *http.Client
}

// runWithNode calls f with a new node, under the virtual clock of synctest.
func runWithNode(t *testing.T, f func(t *testing.T, n *testNode)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := &testNode{t: t, messages: make(chan core.Message, 64), conns: make(chan net.Conn), closed: make(chan struct{})}
		n.server = &caller.Server{Node: "n", Limits: limits, SendToCore: func(m core.Message) { n.messages <- m }}
		n.client = &http.Client{Transport: &http.Transport{DialContext: n.dial}}
		server := &http.Server{Handler: n.server.Handler(), WriteTimeout: limits.WriteTimeout}
		go func() { _ = server.Serve(n) }()
		f(t, n)
		n.client.CloseIdleConnections()
		_ = server.Close()
		// net/http delays closing a connection whose request body it did not
		// read to its end.
		time.Sleep(time.Second)
	})
}

func (n *testNode) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case n.conns <- far:
		return near, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (n *testNode) Accept() (net.Conn, error) {
	select {
	case conn := <-n.conns:
		return conn, nil
	case <-n.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (n *testNode) Close() error {
	close(n.closed)
	return nil
}

// Addr implements net.Listener.
func (n *testNode) Addr() net.Addr { return &net.TCPAddr{} }

// post sends a POST request and returns its response, or nil on an error. Headers
// are given as alternating names and values.
func (n *testNode) post(ctx context.Context, path, body string, headers ...string) *http.Response {
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

// postAsync calls post in the background and returns a channel with its response.
func (n *testNode) postAsync(ctx context.Context, path, body string, headers ...string) <-chan *http.Response {
	responses := make(chan *http.Response, 1)
	go func() { responses <- n.post(ctx, path, body, headers...) }()
	return responses
}

// nextRequest receives the next message, which must be a CallerRequest, and
// returns it with the answer to which its tokens are written.
func (n *testNode) nextRequest() (core.CallerRequest, engine.AnswerSink) {
	n.t.Helper()
	m, ok := (<-n.messages).(core.CallerRequest)
	if !ok {
		n.t.Fatal("the server sent a message that is not a CallerRequest")
	}
	a, ok := n.server.Answer(m.Request)
	if !ok {
		n.t.Fatal("the server has no answer for the request that it sent")
	}
	return m, a
}

// readEvents reads the events of a streamed answer in the background, to its end.
func readEvents(responses <-chan *http.Response) <-chan sse.Event {
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

func readBody(t *testing.T, resp *http.Response) string {
	t.Helper()
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}
