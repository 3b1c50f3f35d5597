package upstream

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"
)

// connect returns an unused connection to the upstream, or a new one.
func (c *Client) connect(ctx context.Context, r *Request) (*conn, error) {
	if !r.Fresh {
		if cn := c.reuse(r); cn != nil {
			return cn, nil
		}
	}
	d := net.Dialer{Timeout: c.DialTimeout, KeepAlive: -1}
	raw, err := d.DialContext(ctx, "tcp", r.Address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, r: bufio.NewReaderSize(raw, readBuffer)}, nil
}

// reuse takes the connection that was used last and is still silent and open.
func (c *Client) reuse(r *Request) *conn {
	for {
		cn := c.pop(r)
		if cn == nil {
			return nil
		}
		if time.Since(cn.usedAt) < cn.idleFor && silent(cn.Conn) {
			return cn
		}
		// The connection is of no further use.
		_ = cn.Close()
	}
}

func (c *Client) pop(r *Request) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := r.Key + r.Address
	list := c.idle[key]
	if len(list) == 0 {
		return nil
	}
	cn := list[len(list)-1]
	c.idle[key] = list[:len(list)-1]
	return cn
}

// keep puts a connection back for later requests to the same upstream.
func (c *Client) keep(r *Request, cn *conn, h http.Header) {
	cn.usedAt, cn.idleFor = time.Now(), idleGuess
	if r.Idle != nil {
		if d := r.Idle(h); d > 0 {
			cn.idleFor = time.Duration(idleShare * float64(d))
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	key := r.Key + r.Address
	if c.closed || len(c.idle[key]) >= maxIdle {
		_ = cn.Close()
		return
	}
	if c.idle == nil {
		c.idle = map[string][]*conn{}
	}
	c.idle[key] = append(c.idle[key], cn)
}

// Sweep closes connections that are too old to be used again, and returns how
// many stay open.
func (c *Client) Sweep() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	open := 0
	for key, list := range c.idle {
		kept := list[:0]
		for _, cn := range list {
			if time.Since(cn.usedAt) < cn.idleFor {
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

// Close closes all unused connections.
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

// silent reports whether nothing has arrived on an unused connection, not even
// its end. Bytes that nobody asked for belong to no request.
func silent(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = rc.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EINTR
	})
	return err == nil && quiet
}

// newRequestBuffer returns the bytes of a request.
func newRequestBuffer(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// A bytes.Buffer takes every write.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}
