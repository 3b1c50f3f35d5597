package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["bodies"] = bodies }

const (
	// maxBody is MaxBodyBytes of the desired state, and bodySize the length of the clients' bodies.
	maxBody  = 4194304
	bodySize = 4190000
	// memoryLimit is MemoryMb of the settings, in bytes.
	memoryLimit = 134000000
	// bodyWork is how long a worker works on a request.
	bodyWork = 1330 * time.Millisecond
	// calmRate is the usual number of requests a second, burstFactor how many times that come
	// in a burst, and burstLength how long a burst is.
	calmRate    = 12.0
	burstFactor = 2.3
	burstLength = 4 * time.Second
	// bodyPatience is how long a client waits for an answer.
	bodyPatience = 14 * time.Second
	// lostTolerance is how many requests may be lost.
	lostTolerance = 3
)

// uploader is a client with a channel that it keeps for its requests.
type uploader struct {
	node *node
	c    net.Conn
	r    *bufio.Reader
}

// uploaders are the clients, of which those that have no request in progress are free.
type uploaders struct {
	g *rig

	mu    sync.Mutex
	free  []*uploader
	named []*node
	// kept are the attempts on channels that had carried a request before.
	kept map[string]bool
	// closed are the attempts whose channel ended without an answer.
	closed map[string]bool
}

// bodies has clients with bodies within the operator's limit come more often for some seconds.
// The platform kills a node that exceeds its memory, and starts it again.
func bodies(g *rig) (bool, error) {
	if err := g.startLedger(3, bodyWork); err != nil {
		return false, err
	}
	g.publishUploads(2)
	ctx, cancel := context.WithCancel(context.Background())
	p := &memoryWatch{g: g, most: map[*node]int64{}}
	p.done.Add(1)
	go p.run(ctx)
	u := &uploaders{g: g, kept: map[string]bool{}, closed: map[string]bool{}}
	time.Sleep(contactTime)
	began, last := time.Now(), time.Time{}
	const length = 45 * time.Second
	for time.Since(began) < length {
		rate := calmRate
		if g.trouble && inBurst(time.Since(began)) {
			rate *= burstFactor
		}
		if time.Since(last) > 2*time.Second {
			last = time.Now()
			if list := g.clients.resolve(); list != nil {
				u.named = list
			}
		}
		time.Sleep(time.Duration((0.7 + 0.6*rand.Float64()) / rate * float64(time.Second)))
		g.clients.wait.Add(1)
		go func() {
			defer g.clients.wait.Done()
			u.next()
		}()
	}
	g.clients.wait.Wait()
	cancel()
	p.done.Wait()
	for _, n := range g.nodes {
		g.note("%s used %.1f MB at most, of MemoryMb 134", n.name, float64(p.most[n])/1e6)
	}
	return u.judgeLost(), nil
}

// inBurst reports whether a burst is in progress at a time since the start of the traffic.
func inBurst(at time.Duration) bool {
	for _, start := range []time.Duration{10 * time.Second, 25 * time.Second} {
		if at >= start && at < start+burstLength {
			return true
		}
	}
	return false
}

// publishUploads writes a desired state with a route whose requests take some seconds.
func (g *rig) publishUploads(version int) {
	const state = `{"Version":%d,"Routes":[` +
		`{"Name":"r-pay","Host":"%s","PathPrefix":"/pay/","Kind":"non_idempotent","TimeoutMs":14000,"SloMs":8000,"Priority":2,"Service":"ledger","MaxAttempts":1}],` +
		`"Services":[{"Name":"ledger","HealthPath":"/health","MaxConns":110,"Protocol":"h1","Tls":false}],` +
		`"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":%d,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`
	g.store.put(topicOperator, "config", fmt.Appendf(nil, state, version, host, maxBody))
}

// next has a free client send its next request, or a new one its first two: a small request,
// and then one with a large body.
func (u *uploaders) next() {
	u.mu.Lock()
	var c *uploader
	if n := len(u.free); n > 0 {
		c = u.free[n-1]
		u.free = u.free[:n-1]
	}
	var at *node
	if len(u.named) > 0 {
		at = u.named[rand.IntN(len(u.named))]
	}
	u.mu.Unlock()
	if c == nil && at != nil {
		c = u.open(at)
	}
	if c == nil || !u.send(c, bodySize) {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.free = append(u.free, c)
}

// open opens a channel with a small request.
func (u *uploaders) open(n *node) *uploader {
	conn, err := net.DialTimeout("tcp", n.address(portFront), time.Second)
	if err != nil {
		return nil
	}
	c := &uploader{node: n, c: conn, r: bufio.NewReader(conn)}
	if !u.send(c, 0) {
		return nil
	}
	return c
}

// send sends a request with a body of the given size, and reports whether the channel can be
// used again.
func (u *uploaders) send(c *uploader, size int) bool {
	a := u.g.clients.begin(c.node, "pay")
	if size > 0 {
		u.mu.Lock()
		u.kept[a.id] = true
		u.mu.Unlock()
	}
	_ = c.c.SetDeadline(a.sentAt.Add(bodyPatience))
	_, err := fmt.Fprintf(c.c, "POST /pay/%s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		a.id, host, a.id, bodyPatience.Milliseconds(), size)
	if err == nil {
		_, err = c.c.Write(bytes.Repeat([]byte("x"), size))
	}
	var response *http.Response
	if err == nil {
		response, err = http.ReadResponse(c.r, nil)
	}
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	if err != nil {
		var timeout net.Error
		if !errors.As(err, &timeout) || !timeout.Timeout() {
			u.mu.Lock()
			u.closed[a.id] = true
			u.mu.Unlock()
		}
		u.g.clients.end(a, 0, err.Error())
		_ = c.c.Close()
		return false
	}
	u.g.clients.end(a, response.StatusCode, "")
	if response.Close {
		_ = c.c.Close()
		return false
	}
	return true
}

// judgeLost reports whether more than three requests on kept channels were passed on to a worker,
// and their channel closed without an answer.
func (u *uploaders) judgeLost() bool {
	u.g.mu.Lock()
	ran := map[string]run{}
	for _, r := range u.g.runs {
		ran[r.attempt] = r
	}
	u.g.mu.Unlock()
	u.g.clients.mu.Lock()
	var lines []string
	statuses := map[int]int{}
	for i := 1; i <= u.g.clients.last; i++ {
		a := u.g.clients.attempts[fmt.Sprintf("a%06d", i)]
		statuses[a.status]++
		r, passedOn := ran[a.id]
		if u.kept[a.id] && u.closed[a.id] && passedOn {
			lines = append(lines, fmt.Sprintf("%s, sent to %s at %s and run by %s at %s: the channel ended at %s without an answer",
				a.id, a.node, u.g.at(a.sentAt), r.worker, u.g.at(r.at), u.g.at(a.answered)))
		}
	}
	u.g.clients.mu.Unlock()
	for _, line := range lines {
		u.g.note("%s", line)
	}
	broken := len(lines) > lostTolerance
	word := "held"
	if broken {
		word = "BROKEN"
	}
	u.g.note("%s (LOST): %d requests on kept channels were passed on to a sound worker and not answered; all requests by status: %v", word, len(lines), statuses)
	return broken
}

// memoryWatch is the part of the platform that kills processes which exceed their memory.
type memoryWatch struct {
	g    *rig
	done sync.WaitGroup
	most map[*node]int64
}

// run checks all nodes until ctx ends.
func (p *memoryWatch) run(ctx context.Context) {
	defer p.done.Done()
	for ctx.Err() == nil {
		for _, n := range p.g.nodes {
			used := memoryOf(n.cmd.Process.Pid)
			p.most[n] = max(p.most[n], used)
			if used <= memoryLimit {
				continue
			}
			n.signal(syscall.SIGKILL)
			<-n.ended
			p.g.note("the platform kills %s, which uses %.1f MB of MemoryMb 134", n.name, float64(used)/1e6)
			time.Sleep(200 * time.Millisecond)
			if err := n.start(p.g.bin, false); err != nil {
				p.g.note("%s does not start again: %v", n.name, err)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// memoryOf returns the resident memory of a process in bytes; zero if it has ended.
func memoryOf(pid int) int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			if err != nil {
				return 0
			}
			return kilobytes << 10
		}
	}
	return 0
}
