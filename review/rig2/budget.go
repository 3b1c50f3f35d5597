package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"daisyshed.dev/standin/hostedsite"
	"daisyshed.dev/standin/hostedworker"
)

const (
	// budgetNodes machines start within startSpread of each other. Traffic begins leadTime later.
	budgetNodes = 8
	startSpread = 60 * time.Millisecond
	leadTime    = 10 * time.Second
	// budgetWorkers have six slots each, and get requestRate requests a second for trafficTime.
	budgetWorkers = 18
	requestRate   = 150
	trafficTime   = 9 * time.Second
	// Workers are silent for silentTime, and go on for awakeTime, spells times from the beginning of
	// the traffic on.
	silentTime = 1200 * time.Millisecond
	awakeTime  = 300 * time.Millisecond
	spells     = 3
	// The bounds of the rule.
	budgetRatio  = 0.2
	budgetSlack  = 56.0
	budgetWindow = 10 * time.Second
)

// arrivals counts what arrives at the workers of a service beyond the first of each request.
type arrivals struct {
	mu    sync.Mutex
	seen  map[string]int
	extra []time.Time
	sent  []time.Time
}

func (a *arrivals) arrived(r hostedworker.Arrival) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.seen[r.Attempt]++
	if a.seen[r.Attempt] > 1 {
		a.extra = append(a.extra, time.Now())
	}
}

// within returns how many instants are in the window that ends at an instant.
func within(list []time.Time, end time.Time) int {
	n := 0
	for _, at := range list {
		if at.After(end.Add(-budgetWindow)) && !at.After(end) {
			n++
		}
	}
	return n
}

// worst returns the window in which the extra arrivals exceed the budget by most, or are below it by
// least.
func (a *arrivals) worst() (end time.Time, extra int, allowed float64) {
	most := -1e9
	for _, at := range a.extra {
		n := within(a.extra, at)
		requests := max(within(a.sent, at), within(a.sent, at.Add(-budgetWindow)), within(a.sent, at.Add(-budgetWindow/2)))
		bound := budgetRatio*float64(requests) + budgetSlack
		if over := float64(n) - bound; over > most {
			most, end, extra, allowed = over, at, n, bound
		}
	}
	return end, extra, allowed
}

// playBudget has the machines of a deployment start for the first time, and sound workers fall silent
// for a second or so when the traffic begins.
func playBudget(r *recorder, trouble bool) (int, error) {
	a := &arrivals{seen: map[string]int{}}
	s, err := openSite(r, 0, 0, 800*time.Millisecond, 150*time.Millisecond)
	if err != nil {
		return cantRun, err
	}
	defer s.close()
	var workers []*worker
	for i := range budgetWorkers {
		w, err := s.startWorker(i, hostedworker.Settings{
			Service: hostedsite.PlainService, Slots: 6, Work: 15 * time.Millisecond, OnArrival: a.arrived,
		})
		if err != nil {
			return cantRun, err
		}
		workers = append(workers, w)
	}
	started := time.Now()
	offsets := make([]time.Duration, budgetNodes)
	for i := range offsets {
		offsets[i] = time.Duration(rand.Float64() * float64(startSpread))
	}
	slices.Sort(offsets)
	for i, offset := range offsets {
		time.Sleep(time.Until(started.Add(offset)))
		if err := s.startNode(i); err != nil {
			return cantRun, err
		}
	}
	if !s.allReady(leadTime) {
		return cantRun, errors.New("the machines are not ready")
	}
	time.Sleep(time.Until(started.Add(leadTime)))
	began := time.Now()
	if trouble {
		go func() {
			for i := range spells {
				r.printf("workers: silent for %v, spell %d", silentTime, i+1)
				for _, w := range workers {
					w.Silence(silentTime)
				}
				time.Sleep(silentTime + awakeTime)
			}
		}()
	}
	statuses := a.send(s, began)
	end, extra, allowed := a.worst()
	r.printf("callers: %d requests, answers by status: %v", len(a.sent), statuses)
	r.printf("workers: %d arrivals beyond the first of each request in all", len(a.extra))
	if len(a.extra) == 0 {
		return held, nil
	}
	r.printf("worst window of %v, which ends %.2f s after the beginning of the traffic: %d arrivals beyond the first, %.1f allowed", budgetWindow, end.Sub(began).Seconds(), extra, allowed)
	if float64(extra) > allowed {
		return broken, nil
	}
	return held, nil
}

// send sends idempotent requests at an even rate, each on a new channel to a random machine.
func (a *arrivals) send(s *site, began time.Time) map[int]int {
	statuses := map[int]int{}
	var wait sync.WaitGroup
	for i := 0; time.Since(began) < trafficTime; i++ {
		time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second / requestRate)))
		n := s.nodes[rand.IntN(len(s.nodes))]
		a.mu.Lock()
		a.sent = append(a.sent, time.Now())
		a.mu.Unlock()
		wait.Add(1)
		go func() {
			defer wait.Done()
			status := readOnce(n, fmt.Sprintf("read-%d", i))
			a.mu.Lock()
			statuses[status]++
			a.mu.Unlock()
		}()
	}
	wait.Wait()
	return statuses
}

// readOnce sends an idempotent request and returns the status of the answer; zero if there is none.
func readOnce(n *node, attempt string) int {
	client := &http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(http.MethodGet, "http://"+n.front()+"/"+hostedsite.Idempotent+"/"+attempt, nil)
	if err != nil {
		return 0
	}
	r.Host = host
	hostedsite.SetAttemptHeaders(r.Header, attempt, 1500*time.Millisecond)
	a, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer a.Body.Close()
	if _, err := io.Copy(io.Discard, a.Body); err != nil {
		return 0
	}
	return a.StatusCode
}
