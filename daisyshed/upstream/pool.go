package upstream

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"syscall"
	"time"
)

// connect returns an unused connection to the upstream, or opens a new one.
func (c *Client) connect(ctx context.Context, r *Request) (*conn, error) {
	if !r.NewConnection {
		if cn := c.takeIdle(r); cn != nil {
			return cn, nil
		}
	}
	o, err := c.open(ctx, r)
	if err != nil {
		return nil, err
	}
	in := &limitedReader{r: o.conn, held: c.Unfinished.Reserve()}
	return &conn{Conn: o.conn, r: bufio.NewReaderSize(in, readBufferSize), in: in, relay: o.relay, openedAt: time.Now()}, nil
}

// takeIdle returns the most recently used connection to the upstream that is
// still open, has not timed out and has received nothing; nil if there is none.
// It closes those that it passes over.
func (c *Client) takeIdle(r *Request) *conn {
	for {
		cn := c.popIdle(r)
		if cn == nil {
			return nil
		}
		if time.Since(cn.lastUsedAt) < cn.idleLimit && nothingReceived(cn.Conn) {
			return cn
		}
		// The connection is discarded, so an error from closing it does not matter.
		_ = cn.Close()
	}
}

// popIdle removes and returns the most recently used connection to the
// upstream that the request may use; nil if there is none.
func (c *Client) popIdle(r *Request) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := r.poolKey()
	list := c.idle[key]
	for i := len(list) - 1; i >= 0; i-- {
		if cn := list[i]; (cn.relay == "" || !r.Direct) && (r.Discards || !cn.hasCarried(r.Series)) {
			c.idle[key] = slices.Delete(list, i, i+1)
			return cn
		}
	}
	return nil
}

// putIdle keeps a connection for later requests to the same upstream. It closes
// the connection if maxIdleConns are already kept, its path is not used any more or the
// client is closed.
func (c *Client) putIdle(r *Request, cn *conn, h http.Header) {
	cn.lastUsedAt, cn.idleLimit = time.Now(), defaultIdleTimeout
	if r.ParseIdleTimeout != nil {
		if d := r.ParseIdleTimeout(h); d > 0 {
			cn.idleLimit = time.Duration(idleFraction * float64(d))
		}
	}
	c.addIdle(r, cn)
}

// addIdle keeps a connection for as long as its idleLimit says, like putIdle.
func (c *Client) addIdle(r *Request, cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := r.poolKey()
	if c.closed || c.full(key, cn) || !c.allowed(cn) {
		_ = cn.Close()
		return
	}
	if c.idle == nil {
		c.idle = map[string][]*conn{}
	}
	c.idle[key] = append(c.idle[key], cn)
}

// CloseExpired closes the unused connections that have timed out, and returns how
// many remain.
func (c *Client) CloseExpired() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forgetPaths()
	open := 0
	for key, list := range c.idle {
		kept := list[:0]
		for _, cn := range list {
			if time.Since(cn.lastUsedAt) < cn.idleLimit {
				kept = append(kept, cn)
				continue
			}
			_ = cn.Close()
		}
		if c.idle[key] = kept; len(kept) == 0 {
			delete(c.idle, key)
		}
		open += len(kept)
	}
	return open
}

// Close closes all unused connections. Those in use are closed when their
// responses are.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, list := range c.idle {
		for _, cn := range list {
			_ = cn.Close()
		}
	}
	c.idle = nil
}

// nothingReceived reports whether an unused connection is open and has received
// no bytes. Bytes that arrive while no request is in flight belong to no
// request, so the connection must not be reused.
func nothingReceived(c net.Conn) bool {
	if relayed, ok := c.(interface{ Unused() bool }); ok {
		return relayed.Unused()
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = rc.Control(func(fd uintptr) {
		var probe [1]byte
		_, _, err := syscall.Recvfrom(int(fd), probe[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = err == syscall.EAGAIN || err == syscall.EINTR
	})
	return err == nil && empty
}

// encodeRequest returns a request as it is written to the connection.
func encodeRequest(r *Request) []byte { return append(encodeHead(r), r.Body...) }

// encodeHead returns the request line and the headers as they are written to the connection.
func encodeHead(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	replaced := make(map[string]bool, len(r.Replace))
	for name := range r.Replace {
		replaced[name] = true
	}
	// Writing to a bytes.Buffer cannot fail.
	_ = r.Header.WriteSubset(&b, replaced)
	_ = r.Replace.Write(&b)
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
