package hosted

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// linkFault is a fault of a link.
type linkFault int32

const (
	// linkHealthy forwards everything.
	linkHealthy linkFault = iota
	// linkDelayed forwards everything after linkDelay.
	linkDelayed
	// linkDropBoth drops all data in both directions, linkDropToTarget and
	// linkDropFromTarget in one. A connection that has lost data in a direction
	// forwards nothing more in it.
	linkDropBoth
	linkDropToTarget
	linkDropFromTarget
	// linkReset resets the open connections; new ones are forwarded.
	linkReset
)

// linkBuffer is the size of the system's buffers of a link's connections, in bytes. With larger ones, a
// long upload would be acknowledged although its upstream does not read it.
const linkBuffer = 16 << 10

// linkDelay is the time by which linkDelayed delays each read of data.
const linkDelay = 120 * time.Millisecond

// proxy forwards TCP connections from daemons to a worker or the store, and can
// have a fault.
type proxy struct {
	target   string
	listener net.Listener
	fault    atomic.Int32
	// bytesPerSecond is the rate from the target; zero if it is not limited. It is set
	// before the first connection.
	bytesPerSecond int
	mu             sync.Mutex
	open           map[net.Conn]struct{}
	// usedAt is when an open connection last carried bytes, and hung holds those that
	// carry nothing more.
	usedAt map[net.Conn]time.Time
	hung   map[net.Conn]bool
	// cuts are the partitions in effect, and noFilter is why the system does not drop new
	// connections for them; nil if it does.
	cuts     []*partition
	noFilter error
}

// openProxy listens on an address and forwards connections to a target. The
// returned function stops that and resets the open connections.
func openProxy(address, target string) (*proxy, func(), error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, err
	}
	p := &proxy{target: target, listener: l, open: map[net.Conn]struct{}{}, usedAt: map[net.Conn]time.Time{}, hung: map[net.Conn]bool{}}
	served := make(chan struct{})
	go func() {
		defer close(served)
		p.serve()
	}()
	return p, func() {
		_ = l.Close()
		// The address is free once the listener is not used any more.
		<-served
		p.resetAll()
	}, nil
}

func (p *proxy) serve() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.connect(from)
	}
}

// connect forwards one connection. If the target cannot be reached, it resets the
// connection.
func (p *proxy) connect(from net.Conn) {
	to, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil || p.cutOf(sourceOf(from), cutReset, cutNew) != nil {
		reset(from)
		return
	}
	// If the sizes cannot be set, a connection has ended.
	_ = from.(*net.TCPConn).SetReadBuffer(linkBuffer)
	_ = to.(*net.TCPConn).SetWriteBuffer(linkBuffer)
	p.mu.Lock()
	p.open[from], p.open[to] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copyDirection(from, to, from, linkDropToTarget) })
	both.Go(func() { p.copyDirection(from, from, to, linkDropFromTarget) })
	both.Wait()
	p.mu.Lock()
	delete(p.usedAt, from)
	delete(p.hung, from)
	delete(p.open, from)
	delete(p.open, to)
	p.mu.Unlock()
}

// copyDirection copies one direction until it ends. It forwards the end unless
// bytes were dropped, since a peer behind a broken link does not learn of the end
// either.
// connection is the one to the node.
func (p *proxy) copyDirection(connection, to, from net.Conn, cut linkFault) {
	lost, buffer := false, make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.waitWhileCut(connection)
		fault := linkFault(p.fault.Load())
		lost = lost || fault == linkDropBoth || fault == cut || p.use(connection)
		if p.bytesPerSecond > 0 && cut == linkDropFromTarget {
			time.Sleep(time.Duration(n) * time.Second / time.Duration(p.bytesPerSecond))
		}
		if fault == linkDelayed {
			time.Sleep(linkDelay)
		}
		if n > 0 && !lost {
			if _, err := to.Write(buffer[:n]); err != nil {
				reset(from)
				return
			}
		}
		switch {
		case err == nil:
		case lost:
			return
		case err == io.EOF:
			// The other direction may still be open.
			_ = to.(*net.TCPConn).CloseWrite()
			return
		default:
			reset(to)
			return
		}
	}
}

// use records that a connection carries bytes, and reports whether it hangs.
func (p *proxy) use(connection net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usedAt[connection] = time.Now()
	return p.hung[connection]
}

// hangWaiting lets the connections hang that have carried nothing for a time: reads that
// wait for a change. New connections work.
func (p *proxy) hangWaiting(quiet time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c, at := range p.usedAt {
		p.hung[c] = p.hung[c] || time.Since(at) > quiet
	}
}

// silence lets each open connection hang with a probability of share, for good and in both
// directions. New connections work.
func (p *proxy) silence(rng *rand.Rand, share float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.usedAt {
		p.hung[c] = p.hung[c] || rng.Float64() < share
	}
}

// setFault sets the current fault of the link. linkReset takes effect once and
// leaves the current fault as it was.
func (p *proxy) setFault(f linkFault) {
	if f == linkReset {
		p.resetAll()
		return
	}
	p.fault.Store(int32(f))
}

func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		reset(c)
	}
}

// reset closes a connection such that its peer receives a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// injectLinkFault injects a random fault into a random link, between the nodes
// and a worker or between a node and the store, and ends it after a random time.
func (d *deployment) injectLinkFault() {
	d.mu.Lock()
	workers := d.workerIDs()
	n := d.rng.IntN(len(d.links) + len(workers))
	endHarm, p := func() {}, (*proxy)(nil)
	if n < len(d.links) {
		p, endHarm = d.links[n], d.judge.beginHarm(d.nodeAddress(n, callerPort), nodeCutOff)
	} else {
		worker := workers[n-len(d.links)]
		p = d.workers[worker].link
		endHarm = d.judge.beginHarm(worker, linkHarmed)
	}
	d.mu.Unlock()
	end := d.judge.beginDisturbance()
	p.setFault(linkFault(1 + d.rng.IntN(int(linkReset))))
	d.afterRandomDelay(2500*time.Millisecond, func() {
		p.setFault(linkHealthy)
		endHarm()
		end()
	})
}
