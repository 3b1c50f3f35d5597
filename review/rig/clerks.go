package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["return"] = nodeReturns }

const (
	// clerkCount is how many clients keep a channel each for all their requests, and clerkPause the
	// mean pause between two of them.
	clerkCount = 26
	clerkPause = 1400 * time.Millisecond
	// clerkRate is about how many requests a second the clerks send.
	clerkRate = 10
	// returnAfter is when the lost machines are there again, since the start of the clients.
	returnAfter = 84 * time.Second
	// mayBeLost is how many requests may be lost.
	mayBeLost = 3
)

// clerks are clients that keep their channels.
type clerks struct {
	g    *rig
	wait sync.WaitGroup

	mu sync.Mutex
	// kept are the attempts on channels that had carried a request before, and closed those
	// whose channel ended without an answer.
	kept, closed map[string]bool
}

// nodeReturns does the same as channels, and then starts the lost machines again. The node that was
// never disturbed has no descriptor left for their channels.
func nodeReturns(g *rig) (bool, error) {
	if err := needDescriptors(ownDescriptors); err != nil {
		return false, err
	}
	if err := g.startLedger(3, 30*time.Millisecond); err != nil {
		return false, err
	}
	g.publishSlow(2)
	p := &phones{g: g, held: map[*heldChannel]struct{}{}}
	c := &clerks{g: g, kept: map[string]bool{}, closed: map[string]bool{}}
	ctx, cancel := context.WithTimeout(context.Background(), channelsFor)
	defer cancel()
	n := g.nodes[0]
	go func() {
		<-n.ended
		if ctx.Err() == nil {
			g.note("the process of %s has ended by itself: %s", n.name, n.cmd.ProcessState)
		}
	}()
	if g.trouble {
		time.AfterFunc(6*time.Second, func() {
			for _, n := range g.nodes[1:] {
				n.kill()
				g.note("%s is lost", n.name)
			}
		})
		time.AfterFunc(returnAfter, func() {
			for _, n := range g.nodes[1:] {
				if err := n.start(g.bin, false); err != nil {
					g.note("%s does not start: %v", n.name, err)
					return
				}
				g.note("%s is started again", n.name)
			}
		})
	}
	for range clerkCount {
		c.wait.Add(1)
		go func() {
			defer c.wait.Done()
			c.work(ctx)
		}()
	}
	go p.report(ctx)
	p.send(ctx, siteRate-clerkRate)
	c.wait.Wait()
	g.clients.wait.Wait()
	p.closeAll()
	return c.judgeLost(n), nil
}

// publishSlow writes a desired state with another route, whose requests take longer.
func (g *rig) publishSlow(version int) {
	const state = `{"Version":%d,"Routes":[` +
		`{"Name":"r-pay","Host":"%s","PathPrefix":"/pay/","Kind":"non_idempotent","TimeoutMs":800,"SloMs":150,"Priority":2,"Service":"ledger","MaxAttempts":1},` +
		`{"Name":"r-slow","Host":"%s","PathPrefix":"/slow/","Kind":"non_idempotent","TimeoutMs":5000,"SloMs":2000,"Priority":2,"Service":"ledger","MaxAttempts":1}],` +
		`"Services":[{"Name":"ledger","HealthPath":"/health","MaxConns":110,"Protocol":"h1","Tls":false}],` +
		`"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`
	g.store.put(topicOperator, "config", fmt.Appendf(nil, state, version, host, host))
}

// work has one clerk send requests until ctx ends, on a channel that it keeps.
func (k *clerks) work(ctx context.Context) {
	var c *clerkChannel
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(rand.ExpFloat64() * float64(clerkPause))):
		}
		if c == nil {
			c = k.open()
		}
		if c != nil && !k.call(c) {
			_ = c.c.Close()
			c = nil
		}
	}
}

// clerkChannel is a clerk's channel.
type clerkChannel struct {
	node *node
	c    net.Conn
	r    *bufio.Reader
	used bool
}

func (k *clerks) open() *clerkChannel {
	named := k.g.clients.resolve()
	if len(named) == 0 {
		return nil
	}
	n := named[rand.IntN(len(named))]
	c, err := net.DialTimeout("tcp", n.address(portFront), time.Second)
	if err != nil {
		return nil
	}
	return &clerkChannel{node: n, c: c, r: bufio.NewReader(c)}
}

// call sends a payment and reports whether the channel can be used again.
func (k *clerks) call(c *clerkChannel) bool {
	a := k.g.clients.begin(c.node, "clerk")
	if c.used {
		k.mu.Lock()
		k.kept[a.id] = true
		k.mu.Unlock()
	}
	c.used = true
	_ = c.c.SetDeadline(a.sentAt.Add(5 * time.Second))
	_, err := fmt.Fprintf(c.c, "POST /slow/%s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 5000\r\nContent-Length: 5\r\n\r\nhello", a.id, host, a.id)
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
			k.mu.Lock()
			k.closed[a.id] = true
			k.mu.Unlock()
		}
		k.g.clients.end(a, 0, err.Error())
		return false
	}
	k.g.clients.end(a, response.StatusCode, "")
	return !response.Close
}

// judgeLost reports whether more than three requests on kept channels of a node were passed on
// to a worker, and their channel closed without an answer.
func (k *clerks) judgeLost(n *node) bool {
	k.g.mu.Lock()
	ran := map[string]run{}
	for _, r := range k.g.runs {
		ran[r.attempt] = r
	}
	k.g.mu.Unlock()
	var lines []string
	k.g.clients.mu.Lock()
	for i := 1; i <= k.g.clients.last; i++ {
		a := k.g.clients.attempts[fmt.Sprintf("a%06d", i)]
		r, passedOn := ran[a.id]
		if a.node == n.name && k.kept[a.id] && k.closed[a.id] && passedOn {
			lines = append(lines, fmt.Sprintf("%s, sent at %s and run by %s at %s: %s closed the channel at %s without an answer",
				a.id, k.g.at(a.sentAt), r.worker, k.g.at(r.at), n.name, k.g.at(a.answered)))
		}
	}
	k.g.clients.mu.Unlock()
	for _, line := range lines {
		k.g.note("%s", line)
	}
	broken := len(lines) > mayBeLost
	word := "held"
	if broken {
		word = "BROKEN"
	}
	k.g.note("%s (LOST): %s, which was not disturbed, passed %d requests from kept channels on to a sound worker and closed the channels without an answer", word, n.name, len(lines))
	return broken
}
