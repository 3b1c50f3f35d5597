package hosted

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"daisyshed.dev/standin/hostedworker"
)

const (
	// drainTolerance is how long new requests may still reach a worker after it has
	// announced that it is draining: the platform's bound and an allowance for
	// requests in flight.
	drainTolerance = 2500 * time.Millisecond
	// killTolerance is how long after a node was killed the connections that this ended
	// are still put down to that.
	killTolerance = time.Second
)

// requestID identifies a caller's request, with all its attempts.
type requestID string

// attempt is one sending of a caller's request to a node.
type attempt struct {
	id   string
	node string
	sent time.Time
	runs []hostedworker.Run
	// promise is how the caller was told that the attempt has not run and will not run;
	// empty if it was not.
	promise string
	// lostAt is when the node closed the connection after it had read the attempt, without
	// an answer; zero if it did not.
	lostAt time.Time
}

// callerRequest is a caller's request.
type callerRequest struct {
	// once says that the request must run at most once, whichever of its attempts does.
	once     bool
	attempts []*attempt
}

// judge checks the promises by what callers and workers observe.
type judge struct {
	mu         sync.Mutex
	requests   map[requestID]*callerRequest
	attempts   map[string]*attempt
	violations []string
	counts     map[string]int
	// killed holds when each node was killed, by the node's address.
	killed map[string][]time.Time
	// disturbed counts the current faults of nodes, links or the store. Bounds on
	// time are not checked while there are any.
	disturbed int
	calmSince time.Time
}

func newJudge() *judge {
	return &judge{
		requests: map[requestID]*callerRequest{}, attempts: map[string]*attempt{}, counts: map[string]int{},
		killed: map[string][]time.Time{},
	}
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

// recordKill records that a node is being killed.
func (j *judge) recordKill(node string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.killed[node] = append(j.killed[node], time.Now())
}

// recordAttempt records an attempt that is about to be sent to a node.
func (j *judge) recordAttempt(id requestID, once bool, attemptID, node string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.requests[id]
	if r == nil {
		r = &callerRequest{once: once}
		j.requests[id] = r
	}
	a := &attempt{id: attemptID, node: node, sent: time.Now()}
	r.attempts = append(r.attempts, a)
	j.attempts[attemptID] = a
	if len(r.attempts) > 1 {
		j.counts["sent again"]++
	}
}

// recordRun records that a worker began to run an attempt, and checks that the
// worker had not been draining for too long.
func (j *judge) recordRun(r hostedworker.Run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	a := j.attempts[r.Attempt]
	if a == nil {
		j.violations = append(j.violations, "UNASKED: "+r.Worker+" ran an attempt that no caller has sent: "+r.Attempt)
		return
	}
	a.runs = append(a.runs, r)
	// The bound is checked only if nodes, links and the store have had no fault
	// for three seconds.
	calm := j.disturbed == 0 && time.Since(j.calmSince) > 3*time.Second
	if calm && r.DrainingFor > drainTolerance {
		j.violations = append(j.violations, fmt.Sprintf("DRAIN: %s reached %s %v after it said that it leaves", r.Attempt, r.Worker, r.DrainingFor))
	}
}

// recordPromise records how a caller was told that an attempt has not run. verdict checks
// that at the end, when nothing can run any more.
func (j *judge) recordPromise(attemptID, promise string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.attempts[attemptID].promise = promise
}

// recordLost records that a node closed the connection of an attempt that it had read,
// without an answer.
func (j *judge) recordLost(attemptID string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.attempts[attemptID].lostAt = time.Now()
}

// verdict returns all broken promises of the run, including those that can only
// be checked at the end.
func (j *judge) verdict() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	violations := append([]string(nil), j.violations...)
	for id, r := range j.requests {
		violations = append(violations, j.checkRequest(id, r)...)
	}
	return violations
}

// checkRequest returns the broken promises of one request. A request that must run once
// must not run twice, whether in one attempt or in two.
func (j *judge) checkRequest(id requestID, r *callerRequest) []string {
	var violations []string
	runs := 0
	for _, a := range r.attempts {
		runs += len(a.runs)
		if r.once && a.promise != "" && len(a.runs) > 0 {
			violations = append(violations, fmt.Sprintf("REFUSED: %s was answered as not run (%s) and ran: %s", a.id, a.promise, r.describe()))
		}
		if j.lostByNode(a) {
			violations = append(violations, fmt.Sprintf("LOST: %s was closed without an answer by a node that was not killed, and ran: %s", a.id, r.describe()))
		}
	}
	if r.once && runs > 1 {
		violations = append(violations, fmt.Sprintf("TWICE: %s may run once and ran %d times: %s", id, runs, r.describe()))
	}
	return violations
}

// lostByNode reports whether an attempt ran and its connection was closed without an
// answer, by a node that was not killed then.
func (j *judge) lostByNode(a *attempt) bool {
	if a.lostAt.IsZero() || len(a.runs) == 0 {
		return false
	}
	for _, at := range j.killed[a.node] {
		if at.After(a.sent.Add(-killTolerance)) && at.Before(a.lostAt.Add(killTolerance)) {
			return false
		}
	}
	return true
}

// describe returns the request's attempts and their runs.
func (r *callerRequest) describe() string {
	var b strings.Builder
	for _, a := range r.attempts {
		fmt.Fprintf(&b, "[%s to %s at %s", a.id, a.node, a.sent.Format("05.000"))
		if a.promise != "" {
			b.WriteString(", " + a.promise)
		}
		for _, run := range a.runs {
			fmt.Fprintf(&b, ", ran at %s %s", run.Worker, run.At.Format("05.000"))
		}
		b.WriteString("]")
	}
	return b.String()
}
