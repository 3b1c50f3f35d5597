package tcp

import (
	"errors"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"
)

// firstRequestTime is how long after it was accepted a connection may be without its first request
// when the server stops. A caller that has connected sends its request at once; the time is for
// the network, and for a caller without processor time.
const firstRequestTime = 500 * time.Millisecond

// nextRequestTime is the same for the next request after an answer. A caller that has another
// request sends it at once; the answer to that one says that the connection is closed.
const nextRequestTime = 100 * time.Millisecond

// StopAccepting closes a listener of this package. The connections that have been established by
// then, and wait to be accepted or for a slot, are accepted all the same: their callers may have
// sent requests, and could not tell whether those run.
func StopAccepting(l net.Listener) {
	limited, ok := l.(*limitedListener)
	if !ok {
		// The listener may have been closed before.
		_ = l.Close()
		return
	}
	if limited.stopping.Swap(true) {
		return
	}
	defer close(limited.taken)
	limited.takeQueued()
	// The same holds here.
	_ = limited.Close()
}

// takeQueued takes the connections from the operating system's queue that there may be slots for:
// free ones, and those of idle connections. It ends the listening at once, because the descriptor
// stays open until the server's accept loop has noticed the close, and what is established
// meanwhile would be reset.
func (l *limitedListener) takeQueued() {
	source, ok := l.Listener.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return
	}
	var taken []int
	// If the listener is closed already, there is nothing to take.
	_ = raw.Control(func(s uintptr) {
		for range max(l.room(), 0) {
			fd, _, err := syscall.Accept4(int(s), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if err != nil {
				break
			}
			taken = append(taken, fd)
		}
		// If it fails, the close that follows has the same effect, later.
		_ = syscall.Shutdown(int(s), syscall.SHUT_RD)
	})
	for _, fd := range taken {
		f := os.NewFile(uintptr(fd), "")
		conn, err := net.FileConn(f)
		// FileConn has duplicated the descriptor.
		_ = f.Close()
		if err != nil {
			continue
		}
		c := l.track(conn, false)
		l.mu.Lock()
		l.queued = append(l.queued, c)
		l.mu.Unlock()
	}
}

// room returns how many further connections there may be slots for once idle ones are closed.
func (l *limitedListener) room() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	room := l.maxConns() - l.used
	for c := range l.open {
		if c.idle() {
			room++
		}
	}
	return room
}

// acceptQueued returns a connection that takeQueued has taken, or an error if there is none left.
func (l *limitedListener) acceptQueued() (net.Conn, error) {
	<-l.taken
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queued) == 0 {
		return nil, net.ErrClosed
	}
	c := l.queued[0]
	l.queued = l.queued[1:]
	return c, nil
}

// readArrived reads what has arrived although the read that waited for a request was ended, and
// returns err if nothing has. The server reads the request to its end then.
func (c *slotConn) readArrived(p []byte, err error) (int, error) {
	if !errors.Is(err, os.ErrDeadlineExceeded) || !c.resume() {
		return 0, err
	}
	return c.Conn.Read(p)
}

// resume clears the deadline of a read that was ended, if something has arrived, and reports
// whether it has.
func (c *slotConn) resume() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.interrupted || !arrived(c.Conn) {
		return false
	}
	c.interrupted = false
	c.beginLocked()
	return c.Conn.SetReadDeadline(time.Time{}) == nil
}

// arrived reports whether a connection has received bytes that were not read.
func arrived(c net.Conn) bool {
	source, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		var probe [1]byte
		n, _, _ = syscall.Recvfrom(int(fd), probe[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}

// BeginRequest records that a handler serves a request, and reports whether its connection has to be
// closed after it, because the listener was closed by [StopAccepting]. It returns a *[HeadsFullError]
// if there is no memory for the request's head; the handler rejects the request then. A server that has
// read the request together with the one before does not tell by [TrackState] that it serves it, and
// its head was not measured before.
func BeginRequest(r *http.Request) (last bool, err error) {
	c, ok := r.Context().Value(connKey{}).(*slotConn)
	if !ok {
		return false, nil
	}
	if err := c.beginRequest(r); err != nil {
		c.listener.admission.report(err)
		return true, err
	}
	return c.listener.stopping.Load(), nil
}

func (c *slotConn) beginRequest(r *http.Request) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beginLocked()
	c.phase = serving
	if c.listener.admission == nil {
		return nil
	}
	return c.resizeHead(HeaderBytes(r.Header) + HeadBytes(int64(len(r.RequestURI)+len(r.Host)), 0))
}

// ReceiveBody records that the body of a request is read until the returned function is called. The
// connection may be closed for another one's sake until then.
func ReceiveBody(r *http.Request) (received func()) {
	c, ok := r.Context().Value(connKey{}).(*slotConn)
	if !ok {
		return func() {}
	}
	c.setPhase(receivingBody)
	return func() { c.setPhase(serving) }
}

func (c *slotConn) setPhase(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.partBegan = p, time.Now()
}
