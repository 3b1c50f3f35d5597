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
	// requestTimeout bounds a request with all its attempts while faults are
	// injected.
	requestTimeout = 60 * time.Second
	// idleTimeout bounds the wait for a response or the next token. After it a
	// caller considers the connection broken.
	idleTimeout = 8 * time.Second
	// maxRetryWait bounds a caller's wait before a retry.
	maxRetryWait = 5 * time.Second
	// finalRequests is the number of requests sent after all faults have ended;
	// each has to be answered within finalTimeout.
	finalRequests = 24
	finalTimeout  = 15 * time.Second
)

// load simulates callers, which send requests, and payers, which send payments,
// and checks the answers.
type load struct {
	cluster *cluster
	judge   *judge
	seed    uint64

	mu         sync.Mutex
	lastNumber int
	payments   map[string]*payment
}

// run starts the callers and payers. The returned function stops new requests and
// waits for those in flight.
func (l *load) run(callers, payers int) func() {
	l.payments = map[string]*payment{}
	ctx, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() { l.sendRequests(ctx, l.newRand(i)) })
	}
	for i := range payers {
		group.Go(func() { l.sendPayments(ctx, l.newRand(1000+i)) })
	}
	return func() {
		stop()
		group.Wait()
	}
}

func (l *load) newRand(stream int) *rand.Rand { return rand.New(rand.NewPCG(l.seed, uint64(stream))) }

// nextNumber returns a number that is unique among the requests and payments of
// this run.
func (l *load) nextNumber() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastNumber++
	return l.lastNumber
}

// afterFaults requires that requests are answered once all faults have ended.
func (l *load) afterFaults() {
	var group sync.WaitGroup
	for i := range finalRequests {
		group.Go(func() {
			rng := l.newRand(2000 + i)
			deadline := time.Now().Add(finalTimeout)
			r := l.newRequest(rng)
			ok := r.sendUntilAnswered(deadline)
			l.judge.require(answeredAfterFaults, ok, "%s: %s", r.name, r.history())
		})
	}
	group.Wait()
}

// addresses is the part of a daemon's answer to /v1/addresses that callers use.
type addresses struct {
	Addresses []struct {
		Address string
		Weight  float64
	}
	Epoch string
}

// chooseDaemon asks a random daemon which daemons to use. It returns one of these
// addresses, chosen at random by weight, and the epoch of the answer. Without an
// answer it returns the address of a random daemon and no epoch.
func (l *load) chooseDaemon(rng *rand.Rand) (string, string) {
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

// problem is the body of a rejection.
type problem struct {
	Status       int `json:"status"`
	Outcome      string
	Reason       string
	RetryAfterMs int64
}

// readProblem reads a rejection and checks its headers and fields. A body that
// cannot be read or decoded does not fail the check.
func (l *load) readProblem(resp *http.Response) problem {
	var p problem
	data, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if err == nil {
		err = json.Unmarshal(data, &p)
	}
	wellFormed := err == nil && resp.Header.Get("Content-Type") == "application/problem+json" &&
		resp.Header.Get("Retry-After") != "" && p.Reason != "" && p.Outcome != "" && p.RetryAfterMs > 0
	l.judge.require(rejectionWellFormed, wellFormed || err != nil, "status %d, body %s", resp.StatusCode, data)
	l.judge.count("refusal " + p.Reason)
	return p
}

// waitForRetry waits for the time that a rejection asks for, at most maxRetryWait.
func waitForRetry(p problem) {
	time.Sleep(min(time.Duration(p.RetryAfterMs)*time.Millisecond, maxRetryWait))
}

// history records the events of one request, to explain a failed check.
type history []string

func (h *history) add(format string, args ...any) {
	*h = append(*h, time.Now().UTC().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}
