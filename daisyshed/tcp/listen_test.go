package tcp_test

import (
	"errors"
	"io"
	"net"
	"testing"

	"daisyshed.dev/daisyshed/tcp"
	"github.com/matryer/is"
)

func listen(t *testing.T, limit int) net.Listener {
	t.Helper()
	l, err := tcp.Listen("127.0.0.1:0", limit)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func TestConnectionsBeyondTheLimitWait(t *testing.T) {
	is := is.New(t)
	l := listen(t, 1)
	accepted := make(chan net.Conn)
	go func() {
		for conn, err := l.Accept(); err == nil; conn, err = l.Accept() {
			accepted <- conn
		}
		close(accepted)
	}()
	var clients [2]net.Conn
	for i := range clients {
		conn, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		defer conn.Close()
		clients[i] = conn
	}
	first := <-accepted
	// The second connection is accepted only after the first is closed. Closing
	// a connection twice releases one slot only.
	select {
	case <-accepted:
		t.Fatal("two connections at a limit of one")
	default:
	}
	is.NoErr(first.Close())
	_ = first.Close()
	second := <-accepted
	go func() { _, _ = clients[1].Write([]byte("x")) }()
	_, err := io.ReadFull(second, make([]byte, 1))
	is.NoErr(err)
	is.NoErr(l.Close())
	_, open := <-accepted
	is.True(!open)
}

func TestAnAddressInUseIsNamed(t *testing.T) {
	is := is.New(t)
	address := listen(t, 1).Addr().String()
	_, err := tcp.Listen(address, 1)
	var inUse *tcp.InUseError
	is.True(errors.As(err, &inUse))
	is.Equal(inUse.Address, address)
	_, err = tcp.Listen("127.0.0.1:none", 1)
	var other *tcp.ListenError
	is.True(errors.As(err, &other))
}
