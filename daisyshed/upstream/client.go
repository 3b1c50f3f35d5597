// Package upstream sends HTTP/1.1 requests to upstreams, each exactly once. It
// does not use net/http's client, which resends some requests by itself on a
// new connection; the upstream counts these as further requests.
package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/tcp"
	"daisyshed.dev/wire/http1"
)

const (
	// defaultIdleTimeout is how long an unused connection is kept if the
	// upstream does not state its own idle timeout.
	defaultIdleTimeout = 2 * time.Second
	// idleFraction is the fraction of the upstream's own idle timeout for which
	// an unused connection is kept. The margin prevents a request from being
	// sent while the upstream closes the connection.
	idleFraction = 0.5
	// maxIdleConns bounds the unused connections kept to one upstream.
	maxIdleConns = 16
	// maxInlineBody is the largest body that is written before the response is
	// read. A longer one is written concurrently, because the upstream may
	// respond before it has read all of it.
	maxInlineBody = 8 << 10
	// maxResponsesRead bounds how many responses are read from a connection to
	// find the one that belongs to the request, and maxInterim how many interim ones
	// besides.
	maxResponsesRead = 2
	maxInterim       = 8
	// readBufferSize is enough for the headers of most responses.
	readBufferSize = 4 << 10
)

// Request is a request to an upstream.
type Request struct {
	// Key identifies the upstream; connections are not shared between keys.
	Key     string
	Address string
	Method  string
	// Target is the request target as written in the request line.
	Target string
	Host   string
	Header http.Header
	// Replace has the headers that replace those of the same names in Header. One without values is not
	// sent.
	Replace http.Header
	Body    []byte
	// NewConnection prevents the reuse of an earlier connection.
	NewConnection bool
	// Direct prevents the use of a relay.
	Direct bool
	// Matches reports whether a response with these headers belongs to this
	// request. If it is nil, every response does.
	Matches func(http.Header) bool
	// Series identifies the requests whose responses Matches cannot tell apart. A connection
	// that has lately carried a response of the same series is not used, because a late copy of
	// that response would pass for the response to this request. It may be empty.
	Series string
	// Discards says that the content of the response is not used, so that a late copy in its
	// place does no harm.
	Discards bool
	// Check is called once a connection is open, immediately before the request is written. If it
	// returns an error, nothing is sent. It may be nil.
	Check func() error
	// ParseIdleTimeout returns the upstream's idle timeout from the headers of
	// a response; zero if they do not state it.
	ParseIdleTimeout func(http.Header) time.Duration
}

// poolKey identifies the upstream at its address.
func (r *Request) poolKey() string { return r.Key + r.Address }

// Response is the response of an upstream. The caller must call Close.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Length is the declared length of the body, or -1 if unknown.
	Length int64
	// Unframed says that the body has neither a length nor chunks, and ends with the
	// connection.
	Unframed bool
	// OpenedAt is when the connection was opened.
	OpenedAt time.Time
	// Relay is the node through which the connection goes; empty if it is direct.
	Relay core.NodeID

	close       func(complete bool)
	reportLimit func(error)
	complete    bool
	unfinished  *tcp.Unfinished
	// head is what the head holds in parsed form.
	head tcp.Reservation
}

// Close keeps the connection for reuse if request and response are complete and
// the upstream allows it, and closes it otherwise.
func (r *Response) Close() { r.close(r.complete) }

// ReadAll reads the whole body, of at most limit bytes. A longer one gives a
// *[TooLongError], and one for which there is no memory a *[tcp.UnfinishedError].
func (r *Response) ReadAll(limit int64) ([]byte, error) {
	held := r.Reserve()
	defer held.Release()
	body, err := r.ReadHeld(limit, &held)
	if err == nil && int64(len(body)) > limit {
		body, err = nil, &TooLongError{Part: Body, Limit: limit}
	}
	r.reportLimit(err)
	return body, err
}

// Reserve returns an empty reservation for parts of the body.
func (r *Response) Reserve() tcp.Reservation { return r.unfinished.Reserve() }

// ReadHeld reads the body up to its end or to limit+1 bytes, and records it in a reservation. With a
// *[tcp.UnfinishedError], it returns what it has read; the rest can still be read from Body.
func (r *Response) ReadHeld(limit int64, held *tcp.Reservation) ([]byte, error) {
	return io.ReadAll(io.LimitReader(&heldReader{r: r.Body, held: held}, limit+1))
}

// UnsentError reports that no byte of a request was sent. Relay is the node through which
// the connection goes; empty if it is direct or could not be opened.
type UnsentError struct {
	Relay core.NodeID
	Cause error
}

// Error returns the message with its cause.
func (e *UnsentError) Error() string { return "upstream: request not sent: " + e.Cause.Error() }

// Unwrap returns the network error.
func (e *UnsentError) Unwrap() error { return e.Cause }

// NoResponseError reports that a request may have been sent but got no usable
// response. Relay is the node through which the connection goes; empty if it is direct.
type NoResponseError struct {
	Relay core.NodeID
	Cause error
}

// Error returns the message with its cause.
func (e *NoResponseError) Error() string { return "upstream: no answer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NoResponseError) Unwrap() error { return e.Cause }

// MismatchedResponseError reports that none of the responses read from a
// connection belongs to the request.
type MismatchedResponseError struct{}

// Error returns the message.
func (MismatchedResponseError) Error() string {
	return "responses on the connection belong to other requests"
}

// Client sends requests and keeps connections for reuse. Its exported fields
// are set before the first use.
type Client struct {
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// LocalAddr is the local address of connections; nil leaves it to the system.
	LocalAddr net.Addr
	// OnResponse is called with the head of each response that belongs to its request.
	// It may be nil.
	OnResponse func(key string, status int, h http.Header)
	// OnUnmatched is called with the head of each response that does not belong to the
	// request that waits on its connection. It may be nil.
	OnUnmatched func(key string, h http.Header)
	// OnLimit is called with the error when a response exceeds a limit. It may be nil.
	OnLimit func(key string, err error)
	// Unfinished bounds what all responses together hold in memory before they have ended, or their
	// present part has. It may be nil.
	Unfinished *tcp.Unfinished
	// DialThrough opens a connection to an upstream through another node. It may be nil.
	DialThrough func(ctx context.Context, relay core.Relay, engine core.EngineID) (net.Conn, error)
	// OnConnection is called with the outcomes of attempts to connect that differ from what
	// was reported before, and from time to time with others. It may be nil.
	OnConnection func(core.ConnectionObserved)

	mu sync.Mutex
	// idle holds the unused connections of each upstream, the last used at the
	// end.
	idle   map[string][]*conn
	closed bool
	// relays is the last argument of UseRelays, and known the relay through which an upstream
	// was reached last.
	relays core.UseRelays
	known  map[string]relayPath
	// observed is the last report on each path, and direct what the last ones said of direct
	// connections.
	observed map[observedPath]observation
	direct   pathState
}

// conn is a connection to an upstream. While it is unused, it is kept for
// idleLimit after lastUsedAt.
type conn struct {
	net.Conn
	// r reads from the connection through in.
	r  *bufio.Reader
	in *limitedReader
	// relay is the node through which the connection goes; empty if it is direct.
	relay core.NodeID
	// answered says that a response was received on it.
	answered bool
	// openedAt is when the connection was established, or later.
	openedAt   time.Time
	lastUsedAt time.Time
	idleLimit  time.Duration
	// carried are the series of the responses received lately.
	carried []carriedSeries
}

// scanBuffered measures the part of a head that was read together with what precedes it.
func (cn *conn) scanBuffered() {
	// Peek cannot fail for what is buffered.
	buffered, _ := cn.r.Peek(cn.r.Buffered())
	cn.in.head.Scan(buffered)
}

// abort closes the connection and discards what was written to it and not delivered. After an
// orderly close the system goes on to deliver it, also when a partition ends later.
func (cn *conn) abort() {
	if direct, ok := cn.Conn.(*net.TCPConn); ok {
		// If the option cannot be set, the connection is closed already.
		_ = direct.SetLinger(0)
	}
	// The connection is discarded, so an error from closing it does not matter.
	_ = cn.Close()
}

// Do sends a request and returns once the head of the response has been read.
// Cancelling ctx aborts the connection, also while the body is being read.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	cn, err := c.connect(ctx, r)
	if err != nil {
		return nil, &UnsentError{Cause: err}
	}
	return c.do(ctx, cn, r, func(cn *conn, h http.Header) { c.putIdle(r, cn, h) })
}

// do sends a request on a connection. keep receives the connection, with the head of the
// response, if it can be used again.
func (c *Client) do(ctx context.Context, cn *conn, r *Request, keep func(*conn, http.Header)) (*Response, error) {
	err := ctx.Err()
	if err == nil && r.Check != nil {
		err = r.Check()
	}
	if err != nil {
		// The connection is discarded, so an error from closing it does not matter.
		_ = cn.Close()
		return nil, &UnsentError{Relay: cn.relay, Cause: err}
	}
	stop := context.AfterFunc(ctx, cn.abort)
	response, err := c.roundTrip(cn, r, keep)
	if err != nil {
		c.reportLimit(r.Key, err)
		stop()
		// The connection is discarded, so an error from closing it does not matter.
		_ = cn.Close()
		return nil, err
	}
	release := response.close
	response.close = func(complete bool) { release(stop() && complete) }
	response.holdHead(ctx)
	return response, nil
}

// holdHead records the head as held until ctx ends, unless it is small.
func (r *Response) holdHead(ctx context.Context) {
	if r.head.Small() {
		r.head.Release()
		return
	}
	context.AfterFunc(ctx, r.head.Release)
}

// roundTrip writes a request and reads the head of the response.
func (c *Client) roundTrip(cn *conn, r *Request, keep func(*conn, http.Header)) (*Response, error) {
	delivery := http1.NewDelivery()
	if len(r.Body) <= maxInlineBody {
		n, err := writeRequest(cn, r)
		if err != nil && n == 0 {
			return nil, &UnsentError{Relay: cn.relay, Cause: err}
		}
		delivery.Finish(err)
	} else {
		go func() { delivery.Finish(writeLongRequest(cn, r)) }()
	}
	response, err := c.readResponse(cn, r)
	head := cn.in.removeLimit()
	if err != nil {
		head.Release()
		if cn.in.exceeded != nil {
			// net/http may report the part that was read as malformed.
			err = cn.in.exceeded
		}
		return nil, &NoResponseError{Relay: cn.relay, Cause: err}
	}
	c.observeAnswer(r.Key, cn)
	if c.OnResponse != nil {
		c.OnResponse(r.Key, response.StatusCode, response.Header)
	}
	reusable := !response.Close && response.ContentLength != -1 || http1.IsChunked(response)
	out := &Response{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength, OpenedAt: cn.openedAt, Relay: cn.relay, unfinished: c.Unfinished, head: head}
	out.Unframed = http1.IsUnframed(response)
	out.Body = &bodyReader{received: response, response: out, conn: cn.Conn, delivery: delivery}
	out.reportLimit = func(err error) { c.reportLimit(r.Key, err) }
	out.complete = response.ContentLength == 0
	out.close = func(complete bool) {
		if complete && reusable && !response.Close && delivery.Written() && cn.r.Buffered() == 0 {
			cn.recordSeries(r.Series)
			keep(cn, response.Header)
			return
		}
		// The connection is discarded, so an error from closing it does not matter.
		_ = cn.Close()
	}
	return out, nil
}

// readResponse reads the head of the response that belongs to the request. A
// late response to an earlier request may precede it on the connection.
func (c *Client) readResponse(cn *conn, r *Request) (*http.Response, error) {
	for range maxResponsesRead {
		response, err := readFinalHead(cn, r)
		if err != nil {
			return nil, err
		}
		if r.Matches == nil || r.Matches(response.Header) {
			return response, nil
		}
		if c.OnUnmatched != nil {
			c.OnUnmatched(r.Key, response.Header)
		}
		if response.Close || http1.IsUnframed(response) {
			return nil, MismatchedResponseError{}
		}
		cn.in.setLimit(LateBody, maxLateBytes)
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, err
		}
	}
	return nil, MismatchedResponseError{}
}

// readFinalHead reads the head of the next response, without the interim ones before it.
func readFinalHead(cn *conn, r *Request) (*http.Response, error) {
	for range maxInterim + 1 {
		cn.in.setLimit(Head, maxHeadBytes)
		cn.scanBuffered()
		response, err := http.ReadResponse(cn.r, &http.Request{Method: r.Method})
		if err != nil {
			return nil, headError(err)
		}
		if err := cn.in.checkHead(response); err != nil {
			return nil, &MalformedHeadError{Cause: err}
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
	return nil, MismatchedResponseError{}
}

// writeRequest writes a request and returns the number of bytes written.
func writeRequest(cn *conn, r *Request) (int, error) {
	buffer := encodeRequest(r)
	return cn.Write(buffer)
}

// writeLongRequest writes a request without a copy of its body.
func writeLongRequest(cn *conn, r *Request) error {
	if _, err := cn.Write(encodeHead(r)); err != nil {
		return err
	}
	_, err := cn.Write(r.Body)
	return err
}

// bodyReader reads the body of a response and records when it has been read to its end.
type bodyReader struct {
	received *http.Response
	response *Response
	conn     net.Conn
	delivery *http1.Delivery
}

// Read reads from the body. At its end it checks that the response is whole.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.received.Body.Read(p)
	if err != io.EOF {
		return n, err
	}
	if b.response.Unframed && !b.delivery.Confirm(b.conn) {
		return n, io.ErrUnexpectedEOF
	}
	if err := http1.CheckFields(b.received.Trailer); err != nil {
		return n, err
	}
	b.response.complete = true
	return n, io.EOF
}
