package peer_test

import (
	"context"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// failingConn is a connection whose writes fail once broken is set.
type failingConn struct {
	net.Conn
	broken *atomic.Bool
}

func (c failingConn) Write(p []byte) (int, error) {
	if c.broken.Load() {
		return 0, syscall.ECONNRESET
	}
	return c.Conn.Write(p)
}

// processorTime returns the processor time of this process.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Reads of all connections of a session were busy from its end until its reader had run, which
// they kept from running: on one processor for 10 ms each.
func TestEndOfSessionKeepsNoProcessorBusy(t *testing.T) {
	if !alone(t) {
		return
	}
	for range 5 {
		endSession(t)
	}
}

// endSession ends a session with 64 connections.
func endSession(t *testing.T) {
	is := is.New(t)
	p := newRelayPair(t)
	p.a.Limits.Relayed, p.b.Limits.Relayed = 64, 64
	var broken atomic.Bool
	p.a.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		c, err := dialTCP(ctx, address)
		return failingConn{Conn: c, broken: &broken}, err
	}
	var reads sync.WaitGroup
	for range 64 {
		near, _ := p.open()
		reads.Go(func() {
			_, err := near.Read(make([]byte, 1))
			is.True(err != nil)
		})
	}
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	time.Sleep(50 * time.Millisecond)
	before := processorTime()
	broken.Store(true)
	reads.Wait()
	if used := processorTime() - before; used > 200*time.Millisecond {
		t.Errorf("the end took %v of processor time", used)
	}
}
