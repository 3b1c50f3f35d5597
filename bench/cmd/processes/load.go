package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// giveUpAfter bounds a request with all its repetitions while faults last.
	giveUpAfter = 60 * time.Second
	// silence bounds the wait for the next token or an answer, after which a
	// caller takes its connection for broken.
	silence = 8 * time.Second
	// longestWait bounds a caller's wait before it comes back.
	longestWait = 5 * time.Second
	// healedRequests are sent after the faults, to be answered in healedWithin.
	healedRequests = 24
	healedWithin   = 15 * time.Second
)

// load sends requests and payments and checks the answers.
type load struct {
	cluster *cluster
	judge   *judge
	seed    uint64

	mu       sync.Mutex
	next     int
	payments map[string]*payment
}

// run starts the callers. The function returned lets them finish what they
// have begun.
func (l *load) run(callers, payers int) func() {
	l.payments = map[string]*payment{}
	ctx, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() { l.ask(ctx, l.random(i)) })
	}
	for i := range payers {
		group.Go(func() { l.pay(ctx, l.random(1000+i)) })
	}
	return func() {
		stop()
		group.Wait()
	}
}

func (l *load) random(stream int) *rand.Rand { return rand.New(rand.NewPCG(l.seed, uint64(stream))) }

// number returns a number that no other request of this run has.
func (l *load) number() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	return l.next
}

// afterFaults requires that the healed system answers.
func (l *load) afterFaults() {
	var group sync.WaitGroup
	for i := range healedRequests {
		group.Go(func() {
			rng := l.random(2000 + i)
			deadline := time.Now().Add(healedWithin)
			r := l.newRequest(rng)
			ok := r.follow(deadline)
			l.judge.require(healthyAfter, ok, "%s: %s", r.name, r.history())
		})
	}
	group.Wait()
}

// addresses is what the address answer holds for a caller.
type addresses struct {
	Addresses []struct {
		Address string
		Weight  float64
	}
	Epoch string
}

// address asks any daemon which to use; without an answer any daemon will do.
func (l *load) address(rng *rand.Rand) (string, string) {
	asked := l.cluster.callerAddress(rng.IntN(len(l.cluster.daemons)))
	var a addresses
	if !l.cluster.getJSON("http://"+asked+"/v1/addresses", &a) || len(a.Addresses) == 0 {
		return l.cluster.callerAddress(rng.IntN(len(l.cluster.daemons))), ""
	}
	total := 0.0
	for _, one := range a.Addresses {
		total += one.Weight
	}
	pick := rng.Float64() * total
	for _, one := range a.Addresses {
		if pick -= one.Weight; pick <= 0 {
			return one.Address, a.Epoch
		}
	}
	return a.Addresses[0].Address, a.Epoch
}

// problem is the body of a refusal.
type problem struct {
	Status       int `json:"status"`
	Outcome      string
	Reason       string
	RetryAfterMs int64
}

// readProblem reads a refusal and checks its form.
func (l *load) readProblem(resp *http.Response) problem {
	var p problem
	data, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if err == nil {
		err = json.Unmarshal(data, &p)
	}
	typed := err == nil && resp.Header.Get("Content-Type") == "application/problem+json" &&
		resp.Header.Get("Retry-After") != "" && p.Reason != "" && p.Outcome != "" && p.RetryAfterMs > 0
	l.judge.require(refusedProperly, typed || err != nil, "status %d, body %s", resp.StatusCode, data)
	l.judge.count("refusal " + p.Reason)
	return p
}

// pause waits as a refusal asks.
func pause(p problem) { time.Sleep(min(time.Duration(p.RetryAfterMs)*time.Millisecond, longestWait)) }

// history is what happened to one request, for the report of a failure.
type history []string

func (h *history) add(format string, args ...any) {
	*h = append(*h, time.Now().UTC().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}
