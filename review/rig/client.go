package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// host is the host of all routes.
const host = "shop.example"

// attempt is one attempt of a client.
type attempt struct {
	id, kind, node   string
	sentAt, answered time.Time
	status           int
	failure          string
}

// clients send requests to the nodes that the directory names, each attempt on a new
// channel. They send nothing again.
type clients struct {
	nodes []*node

	mu       sync.Mutex
	last     int
	attempts map[string]*attempt
	wait     sync.WaitGroup
}

func newClients(nodes []*node) *clients {
	return &clients{nodes: nodes, attempts: map[string]*attempt{}}
}

// resolve asks the directory where to connect: three nodes at most, a second for each.
func (c *clients) resolve() []*node {
	client := http.Client{Timeout: time.Second}
	for _, i := range rand.Perm(len(c.nodes))[:min(3, len(c.nodes))] {
		r, err := client.Get("http://" + c.nodes[i].address(portDirectory) + "/-/resolve?Name=" + host + "&Region=r&Zone=" + c.nodes[i].zone)
		if err != nil {
			continue
		}
		var answer struct{ Addresses []string }
		err = json.NewDecoder(r.Body).Decode(&answer)
		_ = r.Body.Close()
		if err != nil || r.StatusCode != http.StatusOK {
			continue
		}
		var named []*node
		for _, n := range c.nodes {
			for _, a := range answer.Addresses {
				if a == n.address(portFront) {
					named = append(named, n)
				}
			}
		}
		if len(named) > 0 {
			return named
		}
	}
	return nil
}

// send sends requests at the given rate until ctx ends.
func (c *clients) send(ctx context.Context, perSecond float64) {
	var named []*node
	var resolved time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))):
		}
		if time.Since(resolved) > 2*time.Second {
			if list := c.resolve(); list != nil {
				named, resolved = list, time.Now()
			}
		}
		if len(named) == 0 {
			continue
		}
		n := named[rand.IntN(len(named))]
		kind := "pay"
		if rand.IntN(3) == 0 {
			kind = "read"
		}
		c.wait.Add(1)
		go func() {
			defer c.wait.Done()
			c.do(n, kind, 1500*time.Millisecond)
		}()
	}
}

// begin records a new attempt.
func (c *clients) begin(n *node, kind string) *attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last++
	a := &attempt{id: fmt.Sprintf("a%06d", c.last), kind: kind, node: n.name, sentAt: time.Now()}
	c.attempts[a.id] = a
	return a
}

// do sends one request and records its answer.
func (c *clients) do(n *node, kind string, patience time.Duration) *attempt {
	a := c.begin(n, kind)
	method, body := http.MethodGet, ""
	if kind == "pay" {
		method, body = http.MethodPost, strings.Repeat("x", 600)
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+n.address(portFront)+"/"+kind+"/"+a.id, strings.NewReader(body))
	if err != nil {
		c.end(a, 0, err.Error())
		return a
	}
	r.Host = host
	r.Header.Set("Attempt-Id", a.id)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(patience.Milliseconds(), 10))
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(r)
	if err != nil {
		c.end(a, 0, err.Error())
		return a
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if err != nil {
		c.end(a, 0, err.Error())
		return a
	}
	c.end(a, response.StatusCode, "")
	return a
}

func (c *clients) end(a *attempt, status int, failure string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a.status, a.failure, a.answered = status, failure, time.Now()
}
