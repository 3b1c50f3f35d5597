package hosted

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// linkFault is what goes wrong on a link.
type linkFault int32

const (
	// linkSound passes everything on.
	linkSound linkFault = iota
	// linkDelayed passes everything on late.
	linkDelayed
	// linkSilent, linkDeaf and linkMute lose what is sent both ways, towards the
	// target, and back. A connection that lost something stays so for good.
	linkSilent
	linkDeaf
	linkMute
	// linkReset resets the open connections; new ones work.
	linkReset
)

// linkDelay is how much later a delayed link passes each piece on.
const linkDelay = 120 * time.Millisecond

// proxy is a link from daemons to a worker or the store, with faults.
type proxy struct {
	target   string
	listener net.Listener
	fault    atomic.Int32
	mu       sync.Mutex
	open     map[net.Conn]struct{}
}

// openProxy forwards connections from an address to a target. The clean-up
// function ends it and resets what is open.
func openProxy(address, target string) (*proxy, func(), error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, err
	}
	p := &proxy{target: target, listener: l, open: map[net.Conn]struct{}{}}
	go p.serve()
	return p, func() {
		_ = l.Close()
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

// connect carries one connection. Its target may be gone, which resets it.
func (p *proxy) connect(from net.Conn) {
	to, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		reset(from)
		return
	}
	p.mu.Lock()
	p.open[from], p.open[to] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.carry(to, from, linkDeaf) })
	both.Go(func() { p.carry(from, to, linkMute) })
	both.Wait()
	p.mu.Lock()
	delete(p.open, from)
	delete(p.open, to)
	p.mu.Unlock()
}

// carry copies one direction until its end, which it passes on unless bytes were
// lost: who sits behind a cut link hears of no end either.
func (p *proxy) carry(to, from net.Conn, cut linkFault) {
	lost, buffer := false, make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		fault := linkFault(p.fault.Load())
		lost = lost || fault == linkSilent || fault == cut
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
			// The other direction may go on.
			_ = to.(*net.TCPConn).CloseWrite()
			return
		default:
			reset(to)
			return
		}
	}
}

// set sets the fault of the link. linkReset is over at once.
func (p *proxy) set(f linkFault) {
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

// reset closes a connection so that its peer sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// breakLink harms the link to a worker or of a node to the store for a while.
func (d *deployment) breakLink() {
	d.mu.Lock()
	links := make([]*proxy, 0, len(d.links)+len(d.workers))
	links = append(links, d.links...)
	for _, id := range d.workerIDs() {
		links = append(links, d.workers[id].link)
	}
	d.mu.Unlock()
	p, end := links[d.rng.IntN(len(links))], d.judge.disturb()
	p.set(linkFault(1 + d.rng.IntN(int(linkReset))))
	d.later(2500*time.Millisecond, func() {
		p.set(linkSound)
		end()
	})
}
