package hosted

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"daisyshed.dev/standin/hostedworker"
)

// drainTolerance is how long new requests may still reach a worker after it has
// announced that it is draining: the platform's bound and an allowance for
// requests in flight.
const drainTolerance = 2500 * time.Millisecond

// judge checks the promises by what callers and workers observe.
type judge struct {
	mu         sync.Mutex
	runs       map[string][]hostedworker.Run
	atMostOnce map[string]bool
	violations []string
	counts     map[string]int
	// disturbed counts the current faults of nodes, links or the store. Bounds on
	// time are not checked while there are any.
	disturbed int
	calmSince time.Time
}

func newJudge() *judge {
	return &judge{runs: map[string][]hostedworker.Run{}, atMostOnce: map[string]bool{}, counts: map[string]int{}}
}

// reportViolation records a broken promise.
func (j *judge) reportViolation(text string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.violations = append(j.violations, text)
}

func (j *judge) count(name string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts[name]++
}

// beginDisturbance records the start of a fault of a node, a link or the store.
// The returned function records its end.
func (j *judge) beginDisturbance() func() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.disturbed++
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.disturbed--
		j.calmSince = time.Now()
	}
}

// recordRun records that a worker began to run a request, and checks that the
// worker had not been draining for too long.
func (j *judge) recordRun(r hostedworker.Run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[r.Attempt] = append(j.runs[r.Attempt], r)
	// The bound is checked only if nodes, links and the store have had no fault
	// for three seconds.
	calm := j.disturbed == 0 && time.Since(j.calmSince) > 3*time.Second
	if calm && r.DrainingFor > drainTolerance {
		j.violations = append(j.violations, fmt.Sprintf("%s reached %s %v after it said that it leaves", r.Attempt, r.Worker, r.DrainingFor))
	}
}

// recordAtMostOnce records a request that must run at most once.
func (j *judge) recordAtMostOnce(attempt string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.atMostOnce[attempt] = true
}

// recordAnswer records a caller's answer. For a status that promises that the
// request has not run, verdict checks the promise at the end, when no request can
// run any more.
func (j *judge) recordAnswer(attempt string, status int) {
	j.count(fmt.Sprintf("status %d", status))
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		j.mu.Lock()
		j.runs[attempt] = append(j.runs[attempt], hostedworker.Run{Worker: reportedNotRun})
		j.mu.Unlock()
	}
}

// reportedNotRun takes the place of the worker among an attempt's runs to mark
// that the caller received a status that promises that it has not run.
const reportedNotRun = "called not run"

// verdict returns all broken promises of the run, including those that can only
// be checked at the end.
func (j *judge) verdict() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	violations := append([]string(nil), j.violations...)
	for attempt, runs := range j.runs {
		ran, reported := 0, false
		for _, r := range runs {
			if r.Worker == reportedNotRun {
				reported = true
				continue
			}
			ran++
		}
		if !j.atMostOnce[attempt] {
			continue
		}
		if ran > 1 {
			violations = append(violations, fmt.Sprintf("%s may run once and ran %d times: %v", attempt, ran, runs))
		}
		if reported && ran > 0 {
			violations = append(violations, fmt.Sprintf("%s was called not run and ran", attempt))
		}
	}
	return violations
}
