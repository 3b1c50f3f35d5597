package http1

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// settleTime bounds the wait for the outcome of a write that the end of its connection has ended.
const settleTime = 100 * time.Millisecond

// Delivery is the outcome of the writing of a request. A reset of the connection is reported to one of
// a socket's reader and writer only: if the writer gets it, the reader sees an orderly end. A response
// that ends with its connection is therefore whole only if its request was delivered.
type Delivery struct {
	done chan struct{}
	err  error
}

// NewDelivery returns a Delivery of a request that is being written.
func NewDelivery() *Delivery { return &Delivery{done: make(chan struct{})} }

// Finish records the outcome. It is called once.
func (d *Delivery) Finish(err error) {
	d.err = err
	close(d.done)
}

// Written reports whether the whole request has been written, without waiting for it.
func (d *Delivery) Written() bool {
	select {
	case <-d.done:
		return d.err == nil
	default:
		return false
	}
}

// Confirm reports whether the peer has received the whole request. It is called once the peer has
// closed conn.
func (d *Delivery) Confirm(conn net.Conn) bool {
	t := time.NewTimer(settleTime)
	defer t.Stop()
	select {
	case <-d.done:
	case <-t.C:
	}
	return d.Written() && !Unacknowledged(conn)
}

// Unacknowledged reports whether the system holds bytes of a TCP connection that the peer has not
// acknowledged. It returns false if the system does not say.
func Unacknowledged(conn net.Conn) bool {
	source, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	queued := 0
	err = raw.Control(func(fd uintptr) {
		// If the system does not say, queued is zero.
		queued, _ = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ)
	})
	return err == nil && queued > 0
}
