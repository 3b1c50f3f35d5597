package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

func init() { cases["channels"] = channels }

const (
	// siteRate is the traffic of all zones of the site, in requests a second.
	siteRate = 66
	// idleLimit is IdleTimeoutMs of the desired state.
	idleLimit = 15 * time.Second
	// channelsFor is how long the clients send requests.
	channelsFor = 88 * time.Second
	// tries is how many clients have to try in vain.
	tries = 7
	// ownDescriptors is how many descriptors the clients need at most.
	ownDescriptors = 8000
)

// heldChannel is a channel that a client keeps after the answer to its only request.
type heldChannel struct {
	node  *node
	c     net.Conn
	since time.Time
}

// phones are clients with one request each. They keep the channel open until the system
// closes it, as the pages allow: of the limits, they stay within all but that on idle time.
type phones struct {
	g *rig

	mu   sync.Mutex
	held map[*heldChannel]struct{}
}

// channels has two of three machines be lost, so that the last one gets all of the site's
// traffic, from clients that do not close their channels.
func channels(g *rig) (bool, error) {
	if err := needDescriptors(ownDescriptors); err != nil {
		return false, err
	}
	if err := g.startLedger(3, 30*time.Millisecond); err != nil {
		return false, err
	}
	p := &phones{g: g, held: map[*heldChannel]struct{}{}}
	checks := g.watchReady()
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), channelsFor)
	defer cancel()
	if g.trouble {
		time.AfterFunc(6*time.Second, func() {
			for _, n := range g.nodes[1:] {
				n.kill()
				g.note("%s is lost for good", n.name)
			}
		})
	}
	go p.report(ctx)
	p.send(ctx, siteRate)
	g.clients.wait.Wait()
	checks.stop()
	p.closeAll()
	n := g.nodes[0]
	broken := g.judgeTaken(n, checks.of(n), began)
	g.noteUnanswered(n)
	return broken, nil
}

// needDescriptors returns an error if this process may not open as many descriptors.
func needDescriptors(count uint64) error {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return err
	}
	if l.Cur < count {
		return fmt.Errorf("the clients need %d descriptors and may have %d", count, l.Cur)
	}
	return nil
}

// startLedger starts three workers of a plain service and the given number of nodes.
func (g *rig) startLedger(nodes int, work time.Duration) error {
	const service = "ledger"
	g.publish(1, service)
	for i := range 3 {
		l, err := listen("127.0.0.1")
		if err != nil {
			return err
		}
		w := &worker{
			id: fmt.Sprintf("i-%d", i+1), service: service, zone: string(rune('a' + i%3)), slots: 6, work: work,
			slowWork: slowWork, store: g.store, onRun: g.addRun,
		}
		w.start(l)
	}
	return g.startNodes(nodes)
}

// send has new clients send their requests, so many a second, until ctx ends.
func (p *phones) send(ctx context.Context, rate time.Duration) {
	var named []*node
	var resolved time.Time
	t := time.NewTicker(time.Second / rate)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if time.Since(resolved) > 2*time.Second {
			resolved = time.Now()
			if list := p.g.clients.resolve(); list != nil {
				named = list
			}
		}
		if len(named) == 0 {
			continue
		}
		n := named[rand.IntN(len(named))]
		p.g.clients.wait.Add(1)
		go func() {
			defer p.g.clients.wait.Done()
			p.call(n)
		}()
	}
}

// call sends a payment on a new channel and keeps the channel after the answer. It allows a
// second for the channel, and waits 1.5 s for the answer in all.
func (p *phones) call(n *node) {
	a := p.g.clients.begin(n, "pay")
	c, err := net.DialTimeout("tcp", n.address(portFront), time.Second)
	if err != nil {
		p.g.clients.end(a, 0, err.Error())
		return
	}
	_ = c.SetReadDeadline(a.sentAt.Add(1500 * time.Millisecond))
	_, err = fmt.Fprintf(c, "POST /pay/%s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 1500\r\nContent-Length: 5\r\n\r\nhello", a.id, host, a.id)
	if err != nil {
		p.g.clients.end(a, 0, err.Error())
		_ = c.Close()
		return
	}
	r := bufio.NewReader(c)
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		p.g.clients.end(a, 0, err.Error())
		_ = c.Close()
		return
	}
	_, err = io.Copy(io.Discard, response.Body)
	if err != nil || response.Close {
		_ = c.Close()
	}
	p.g.clients.end(a, response.StatusCode, "")
	_ = c.SetReadDeadline(time.Time{})
	h := &heldChannel{node: n, c: c, since: time.Now()}
	p.mu.Lock()
	p.held[h] = struct{}{}
	p.mu.Unlock()
	go func() {
		// Whatever ends the read, the system has closed the channel.
		_, _ = r.ReadByte()
		_ = c.Close()
		p.mu.Lock()
		delete(p.held, h)
		p.mu.Unlock()
	}()
}

func (p *phones) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for h := range p.held {
		_ = h.c.Close()
	}
}

// report notes now and then how many channels of the first node are open and idle.
func (p *phones) report(ctx context.Context) {
	n := p.g.nodes[0]
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(10 * time.Second):
		}
		open, overdue := 0, 0
		p.mu.Lock()
		for h := range p.held {
			if h.node == n {
				open++
				if time.Since(h.since) > idleLimit {
					overdue++
				}
			}
		}
		p.mu.Unlock()
		fds, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.cmd.Process.Pid))
		p.g.note("%s: %d idle channels of clients, %d of them idle for more than IdleTimeoutMs; %d descriptors of %d", n.name, open, overdue, len(fds), maxDescriptors)
	}
}

// readyChecks are the platform's readiness checks, one a second and node.
type readyChecks struct {
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu     sync.Mutex
	failed map[*node][]time.Time
}

// watchReady begins readiness checks.
func (g *rig) watchReady() *readyChecks {
	ctx, cancel := context.WithCancel(context.Background())
	r := &readyChecks{cancel: cancel, failed: map[*node][]time.Time{}}
	for _, n := range g.nodes {
		r.done.Add(1)
		go func() {
			defer r.done.Done()
			for ctx.Err() == nil {
				if !n.ready() {
					r.mu.Lock()
					r.failed[n] = append(r.failed[n], time.Now())
					r.mu.Unlock()
				}
				select {
				case <-ctx.Done():
				case <-time.After(time.Second):
				}
			}
		}()
	}
	return r
}

func (r *readyChecks) stop() {
	r.cancel()
	r.done.Wait()
}

// of returns when a node was not ready.
func (r *readyChecks) of(n *node) []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failed[n]
}

// judgeTaken reports whether a node that was ready took no new channel for ContactMs while
// seven clients or more tried. A channel is taken if its client gets any answer.
func (g *rig) judgeTaken(n *node, notReady []time.Time, began time.Time) bool {
	g.clients.mu.Lock()
	defer g.clients.mu.Unlock()
	last, vain, broken := began.Add(contactTime), 0, false
	worst, worstVain := time.Duration(0), 0
	for i := 1; i <= g.clients.last; i++ {
		a := g.clients.attempts[fmt.Sprintf("a%06d", i)]
		if a.node != n.name || a.sentAt.Before(last) {
			continue
		}
		if a.status != 0 {
			last, vain = a.sentAt, 0
			continue
		}
		vain++
		span := a.sentAt.Sub(last)
		ready := true
		for _, at := range notReady {
			ready = ready && (at.Before(last.Add(-time.Second)) || at.After(a.sentAt.Add(time.Second)))
		}
		if ready && span > worst {
			worst, worstVain = span, vain
		}
		broken = broken || ready && span >= contactTime && vain >= tries
	}
	word := "held"
	if broken {
		word = "BROKEN"
	}
	g.note("%s (RECOVER): %s was ready and took no new channel for %.1f s at most, while %d clients tried", word, n.name, worst.Seconds(), worstVain)
	return broken
}

// noteUnanswered notes how many requests a node never answered.
func (g *rig) noteUnanswered(n *node) {
	g.clients.mu.Lock()
	unanswered, all := 0, 0
	for _, a := range g.clients.attempts {
		if a.node != n.name {
			continue
		}
		all++
		if a.status == 0 {
			unanswered++
		}
	}
	g.clients.mu.Unlock()
	g.note("%s: %d of %d requests got no answer until their clients left after 1.5 s (TimeoutMs 800)", n.name, unanswered, all)
}
