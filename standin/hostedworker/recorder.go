package hostedworker

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// maxRecorded bounds the recorded bytes of one response. A longer one is not repeated.
const maxRecorded = 64 << 10

// recorder is a connection that records the response being written, so that it can be
// sent again.
type recorder struct {
	net.Conn
	mu       sync.Mutex
	response []byte
	tooLong  bool
}

// Write writes to the connection and records what is written.
func (c *recorder) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.tooLong = c.tooLong || len(c.response)+len(p) > maxRecorded; !c.tooLong {
		c.response = append(c.response, p...)
	}
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// next begins the recording of the next response and returns the previous one; nil if
// there is none.
func (c *recorder) next() []byte {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := c.response
	if c.tooLong {
		previous = nil
	}
	c.response, c.tooLong = nil, false
	return previous
}

// repeat writes a recorded response once more.
func (c *recorder) repeat(response []byte) {
	if c == nil || len(response) == 0 {
		return
	}
	// A write error shows when the response to the request is written.
	_, _ = c.Conn.Write(response)
}

// recordingListener returns its connections as recorders.
type recordingListener struct{ net.Listener }

// Accept waits for a connection.
func (l recordingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &recorder{Conn: c}, nil
}

// recorderKey is the key of a recorder in a context.
type recorderKey struct{}

func withRecorder(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, recorderKey{}, c)
}

// recorderOf returns the connection that a request came on; nil if it is not known.
func recorderOf(r *http.Request) *recorder {
	c, _ := r.Context().Value(recorderKey{}).(*recorder)
	return c
}
