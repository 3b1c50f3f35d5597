package peer_test

import (
	"context"
	"net"
	"runtime"
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// slowConn writes at a limited rate.
type slowConn struct {
	net.Conn
	bytesPerSecond int
}

// Write waits for the time that the bytes take before it writes them.
func (c slowConn) Write(p []byte) (int, error) {
	time.Sleep(time.Duration(len(p)) * time.Second / time.Duration(c.bytesPerSecond))
	return c.Conn.Write(p)
}

// A large desired state takes longer to send over a slow link than a small message may
// take. Every attempt to send one was given up, and the connection with it.
func TestLargeStateIsSentOverASlowLink(t *testing.T) {
	is := is.New(t)
	// As in TestTransport, no timer of yamux may be left in its pool.
	defer runtime.GC()
	defer runtime.GC()
	p := newPair()
	defer p.close()
	p.a.Limits.WriteTimeout = 200 * time.Millisecond
	dial := p.a.Dial
	p.a.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		c, err := dial(ctx, address)
		return slowConn{Conn: c, bytesPerSecond: 2_000_000}, err
	}
	p.a.Enqueue("b", "addr", core.StateAnswer{Record: make([]byte, 1_000_000)})
	select {
	case <-p.inbox:
	case <-time.After(10 * time.Second):
		t.Error("the message did not arrive")
	}
	is.Equal(p.meterA.droppedSoFar(), 0)
}
