// Package upstream sends HTTP/1.1 requests to upstreams, each exactly once.
// net/http's own client does not fit: it sends some requests again by itself
// over a new connection, which an upstream counts as another arrival.
package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// idleGuess is how long an unused connection is kept where the upstream
	// does not say how long it keeps its side.
	idleGuess = 2 * time.Second
	// idleShare is the part of the upstream's own idle timeout after which a
	// connection is not used again, so that a request does not cross its close.
	idleShare = 0.5
	// maxIdle bounds the unused connections to one upstream.
	maxIdle = 16
	// inlineBody is the largest body that is written before the answer is
	// read. Upstreams may answer before they have read a longer one.
	inlineBody = 8 << 10
	// foreignAnswers is how many answers to other requests are skipped on one
	// connection.
	foreignAnswers = 2
	// readBuffer holds an answer's headers in most cases.
	readBuffer = 4 << 10
)

// Request is one request to an upstream.
type Request struct {
	// Key names the upstream; connections are not shared between keys.
	Key     string
	Address string
	Method  string
	// Target is the request target as it stands in the first line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Fresh asks for a new connection.
	Fresh bool
	// Mine reports whether an answer's headers belong to this request; nil
	// takes every answer.
	Mine func(http.Header) bool
	// Idle reads the upstream's idle timeout from an answer's headers.
	Idle func(http.Header) time.Duration
}

// Answer is an upstream's answer. Close must be called.
type Answer struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Length is the declared length of the body, or -1.
	Length int64

	close func(whole bool)
	whole bool
}

// Close gives the connection back if the body was read to its end.
func (a *Answer) Close() { a.close(a.whole) }

// UnsentError says that nothing of a request left this node.
type UnsentError struct{ Cause error }

// Error describes the fault.
func (e *UnsentError) Error() string { return "upstream: not sent: " + e.Cause.Error() }

// Unwrap returns the network's error.
func (e *UnsentError) Unwrap() error { return e.Cause }

// BrokenError says that a request was sent and got no usable answer.
type BrokenError struct{ Cause error }

// Error describes the fault.
func (e *BrokenError) Error() string { return "upstream: no answer: " + e.Cause.Error() }

// Unwrap returns the fault.
func (e *BrokenError) Unwrap() error { return e.Cause }

// ForeignError says that a connection brought answers to other requests only.
type ForeignError struct{}

// Error describes the fault.
func (ForeignError) Error() string {
	return "the answers on the connection belong to other requests"
}

// Client sends requests. Its fields are set before the first use.
type Client struct {
	// DialTimeout bounds the making of a connection.
	DialTimeout time.Duration

	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool
}

type conn struct {
	net.Conn
	r       *bufio.Reader
	usedAt  time.Time
	idleFor time.Duration
}

// Do sends a request and returns its answer's head; the body is read through
// the answer. It ends early when ctx does.
func (c *Client) Do(ctx context.Context, r *Request) (*Answer, error) {
	cn, err := c.connect(ctx, r)
	if err != nil {
		return nil, &UnsentError{Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.Close() })
	answer, err := c.exchange(cn, r)
	if err != nil {
		stop()
		// The connection is of no further use.
		_ = cn.Close()
		return nil, err
	}
	finish := answer.close
	answer.close = func(whole bool) { finish(stop() && whole) }
	return answer, nil
}

// exchange writes a request and reads the head of its answer.
func (c *Client) exchange(cn *conn, r *Request) (*Answer, error) {
	written := make(chan error, 1)
	if len(r.Body) <= inlineBody {
		n, err := writeRequest(cn, r)
		if err != nil && n == 0 {
			return nil, &UnsentError{Cause: err}
		}
		written <- err
	} else {
		go func() {
			_, err := writeRequest(cn, r)
			written <- err
		}()
	}
	answer, err := readAnswer(cn, r)
	if err != nil {
		return nil, &BrokenError{Cause: err}
	}
	keep := !answer.Close && answer.ContentLength != -1 || isChunked(answer)
	out := &Answer{Status: answer.StatusCode, Header: answer.Header, Length: answer.ContentLength}
	out.Body = &wholeReader{r: answer.Body, whole: &out.whole}
	out.whole = answer.ContentLength == 0
	out.close = func(whole bool) {
		if whole && keep && !answer.Close && wrote(written) && cn.r.Buffered() == 0 {
			c.keep(r, cn, answer.Header)
			return
		}
		// The connection is of no further use.
		_ = cn.Close()
	}
	return out, nil
}

func isChunked(a *http.Response) bool {
	return len(a.TransferEncoding) > 0 && a.TransferEncoding[0] == "chunked"
}

// wrote reports whether the whole request has been written.
func wrote(written <-chan error) bool {
	select {
	case err := <-written:
		return err == nil
	default:
		return false
	}
}

// readAnswer reads the head of the answer that belongs to the request. A late
// answer to an earlier request may stand before it.
func readAnswer(cn *conn, r *Request) (*http.Response, error) {
	for range foreignAnswers {
		answer, err := http.ReadResponse(cn.r, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if answer.StatusCode < http.StatusOK {
			continue
		}
		if r.Mine == nil || r.Mine(answer.Header) {
			return answer, nil
		}
		if answer.Close || answer.ContentLength < 0 && !isChunked(answer) {
			return nil, ForeignError{}
		}
		if _, err := io.Copy(io.Discard, answer.Body); err != nil {
			return nil, err
		}
	}
	return nil, ForeignError{}
}

// writeRequest writes a request and returns how many bytes went out.
func writeRequest(cn *conn, r *Request) (int, error) {
	buffer := newRequestBuffer(r)
	return cn.Write(buffer)
}

// wholeReader notes whether a body was read to its declared end.
type wholeReader struct {
	r     io.Reader
	whole *bool
}

// Read reads on.
func (w *wholeReader) Read(p []byte) (int, error) {
	n, err := w.r.Read(p)
	if err == io.EOF {
		*w.whole = true
	}
	return n, err
}
