package peer_test

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/peer"
	"github.com/matryer/is"
)

// failingListener fails its first calls of Accept as if no descriptor was left.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// A node without a descriptor exited when another node connected to it.
func TestServeOutlastsMissingDescriptors(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	faults, inbox := &meter{}, make(chan core.Message, 1)
	b := &peer.Transport{Self: "b", Meter: faults, Limits: limits, Receive: func(m core.Message) { inbox <- m }}
	served := make(chan error, 1)
	go func() { served <- b.Serve(&failingListener{Listener: l, failures: 3}) }()
	a := &peer.Transport{Self: "a", Incarnation: 7, Meter: &meter{}, Limits: limits, Dial: dialTCP}
	defer a.Close()
	defer b.Close()
	a.Enqueue("b", l.Addr().String(), core.Heartbeat{Sequence: 1})
	select {
	case <-inbox:
	case err := <-served:
		t.Fatal(err)
	case <-time.After(5 * time.Second):
		t.Fatal("no message arrived")
	}
	var accept *peer.AcceptError
	is.True(errors.As(faults.faultsSoFar()[0], &accept))
	is.NoErr(l.Close())
	is.NoErr(<-served)
}
