package upstream

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"
)

// errNotHeld is the cause of an [UnsentError] of a held connection that is in use or closed.
var errNotHeld = errors.New("the held connection is in use or closed")

// Held is a connection to an upstream that is kept for requests that must reach the process
// at its other end and no other. It is never replaced by another connection. The caller must
// call Close. A Held may be used by several goroutines.
type Held struct {
	client *Client
	r      *Request

	mu sync.Mutex
	// cn is nil while a request uses the connection, and after it was closed. header is the
	// head of the latest response.
	cn     *conn
	header http.Header
	closed bool
}

// Hold takes an unused connection to the upstream of r, or opens a new one, and holds it. No
// request is sent. Of r, the fields that describe the upstream and NewConnection count. An
// error is an *[UnsentError].
func (c *Client) Hold(ctx context.Context, r *Request) (*Held, error) {
	cn, err := c.connect(ctx, r)
	if err != nil {
		return nil, &UnsentError{Cause: err}
	}
	return &Held{client: c, r: r, cn: cn}, nil
}

// Do sends a request on the held connection, as [Client.Do] does. If the connection can no
// longer be used, nothing is sent and the error is an *[UnsentError].
func (h *Held) Do(ctx context.Context, r *Request) (*Response, error) {
	cn := h.take()
	if cn == nil {
		return nil, &UnsentError{Cause: errNotHeld}
	}
	return h.client.do(ctx, cn, r, h.giveBack)
}

// take returns the connection for a request; nil if it is not open and unused.
func (h *Held) take() *conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	cn := h.cn
	h.cn = nil
	if cn != nil && !nothingReceived(cn.Conn) {
		// The connection is discarded, so an error from closing it does not matter.
		_ = cn.Close()
		return nil
	}
	return cn
}

// giveBack holds the connection again after a request.
func (h *Held) giveBack(cn *conn, header http.Header) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		h.client.putIdle(h.r, cn, header)
		return
	}
	h.cn, h.header = cn, header
}

// Open reports whether the connection is open and unused, as far as this process knows.
func (h *Held) Open() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cn != nil && nothingReceived(h.cn.Conn)
}

// OpenFor returns for how long the connection has been open; zero if it is in use or closed.
func (h *Held) OpenFor() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cn == nil {
		return 0
	}
	return time.Since(h.cn.openedAt)
}

// Close ends the hold. An unused connection is kept for other requests.
func (h *Held) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	switch {
	case h.cn == nil:
	case h.header == nil && h.cn.idleLimit > 0:
		// Nothing was sent: the upstream counts its idle time from before.
		h.client.addIdle(h.r, h.cn)
	default:
		h.client.putIdle(h.r, h.cn, h.header)
	}
	h.cn = nil
}
