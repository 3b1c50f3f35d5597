package tcp

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// refusalTimeout bounds the time to write the answer to a request that is rejected before it is
	// parsed. It fits the socket's buffer, unless the client reads nothing.
	refusalTimeout = 100 * time.Millisecond
	// lingerTime and lingerBytes bound what is read and dropped after such an answer. A connection that
	// is closed with unread bytes is reset, and the client may not see the answer.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
	// refusalRetryAfter is the Retry-After of such an answer, in seconds.
	refusalRetryAfter = 1
)

// refuse reports why the head of a request is not read any further, and answers the request.
func (c *slotConn) refuse(reason error) {
	c.listener.admission.report(reason)
	status, more := http.StatusServiceUnavailable, fmt.Sprintf("Retry-After: %d\r\n", refusalRetryAfter)
	if _, tooLong := reason.(*HeadTooLongError); tooLong {
		status, more = http.StatusRequestHeaderFieldsTooLarge, ""
	}
	// If the deadline cannot be set or the write fails, the client has closed the connection.
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\n%sConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), more)
}

// linger closes the connection once its client has closed its side, and frees its slot.
func (c *slotConn) linger() {
	defer c.release()
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		// If the deadline cannot be set, the read fails. How it ends does not matter.
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
	// The connection is not used any more.
	_ = c.Conn.Close()
}

// readError returns the error of a read that ends a connection without a further answer of the server.
func (c *slotConn) readError(cause error) error {
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: cause}
}
