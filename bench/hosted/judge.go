package hosted

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"daisyshed.dev/standin/hostedworker"
)

// drainSlack is how long after a worker says that it leaves new requests may
// still reach it: the platform's bound, and what lies on the way.
const drainSlack = 2500 * time.Millisecond

// judge checks the promises by what callers and workers saw.
type judge struct {
	mu     sync.Mutex
	runs   map[string][]hostedworker.Run
	once   map[string]bool
	faults []string
	counts map[string]int
	// disturbed says that nodes or the store are under a fault, so that times
	// are not judged.
	disturbed int
	calmAt    time.Time
}

func newJudge() *judge {
	return &judge{runs: map[string][]hostedworker.Run{}, once: map[string]bool{}, counts: map[string]int{}}
}

// fault notes a broken promise.
func (j *judge) fault(text string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.faults = append(j.faults, text)
}

func (j *judge) count(name string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts[name]++
}

// disturb notes the beginning of a fault of nodes or the store; the function
// that it returns notes its end.
func (j *judge) disturb() func() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.disturbed++
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.disturbed--
		j.calmAt = time.Now()
	}
}

// ran notes that a worker began to work on a request.
func (j *judge) ran(r hostedworker.Run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[r.Attempt] = append(j.runs[r.Attempt], r)
	// In touch: nothing was disturbed for three seconds.
	calm := j.disturbed == 0 && time.Since(j.calmAt) > 3*time.Second
	if calm && r.DrainingFor > drainSlack {
		j.faults = append(j.faults, fmt.Sprintf("%s reached %s %v after it said that it leaves", r.Attempt, r.Worker, r.DrainingFor))
	}
}

// asked notes a request that may run once.
func (j *judge) asked(attempt string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.once[attempt] = true
}

// answered checks a caller's answer. A status that promises that the request has
// not run is checked at the end as well, when nothing can run any more.
func (j *judge) answered(attempt string, status int) {
	j.count(fmt.Sprintf("status %d", status))
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		j.mu.Lock()
		j.runs[attempt] = append(j.runs[attempt], hostedworker.Run{Worker: notRun})
		j.mu.Unlock()
	}
}

// notRun marks, among the runs of an attempt, that it was called not run.
const notRun = "called not run"

// verdict returns the broken promises of the whole run.
func (j *judge) verdict() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	faults := append([]string(nil), j.faults...)
	for attempt, runs := range j.runs {
		ran, called := 0, false
		for _, r := range runs {
			if r.Worker == notRun {
				called = true
				continue
			}
			ran++
		}
		if !j.once[attempt] {
			continue
		}
		if ran > 1 {
			faults = append(faults, fmt.Sprintf("%s may run once and ran %d times: %v", attempt, ran, runs))
		}
		if called && ran > 0 {
			faults = append(faults, fmt.Sprintf("%s was called not run and ran", attempt))
		}
	}
	return faults
}
