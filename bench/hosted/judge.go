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
)

// requestID identifies a caller's request, with all its attempts.
type requestID string

// attempt is one sending of a caller's request to a node.
type attempt struct {
	id   string
	node string
	sent time.Time
	// deadline is when the caller gives up, and leaves says that it leaves before that.
	deadline time.Time
	leaves   bool
	// stream says that the answer is a stream, resumable that it may be resumed, and resumes that
	// the attempt does so. engines is how many engines of its version served.
	stream, resumable, resumes bool
	engines                    int
	// key is the caller's key, and public says that the route needs none.
	key    string
	public bool
	// served says that the answer was a success. status is that of its head; zero without one.
	served bool
	status int
	runs   []*workerRun
	// promise is how the caller was told that the attempt has not run and will not run;
	// empty if it was not.
	promise string
	// ending is how the attempt ended, and endedAt when. begun says that the caller
	// received at least a byte.
	ending  ending
	endedAt time.Time
	begun   bool
}

// workerRun is a worker's run of an attempt. endedAt is zero until the run has ended, and
// cancelled says that the node ended it.
type workerRun struct {
	hostedworker.Run
	endedAt   time.Time
	cancelled bool
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
	// harms holds what was done to each node, by its address, and to each worker or the
	// link to it, by the worker's ID.
	harms map[string][]*harm
	// orders holds the orders that have reached each worker.
	orders map[string][]sentOrder
	// grace is the time between SIGTERM and SIGKILL.
	grace time.Duration
	// disturbed counts the current faults of nodes, links or the store. Bounds on
	// time are not checked while there are any.
	disturbed int
	calmSince time.Time
}

func newJudge(grace time.Duration) *judge {
	return &judge{
		requests: map[requestID]*callerRequest{}, attempts: map[string]*attempt{}, counts: map[string]int{},
		harms: map[string][]*harm{}, orders: map[string][]sentOrder{}, grace: grace,
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

// recordAttempt records an attempt that is about to be sent to a node.
func (j *judge) recordAttempt(m message, attemptID, node string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.requests[m.id]
	if r == nil {
		r = &callerRequest{once: m.once()}
		j.requests[m.id] = r
	}
	a := &attempt{id: attemptID, node: node, sent: time.Now(), deadline: m.deadline, leaves: m.leavesEarly(), stream: m.stream(), key: m.key, public: m.public}
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
	a.runs = append(a.runs, &workerRun{Run: r})
	// The bound is checked only if nodes, links and the store have had no fault
	// for three seconds.
	calm := j.disturbed == 0 && time.Since(j.calmSince) > 3*time.Second
	if calm && r.DrainingFor > drainTolerance {
		j.violations = append(j.violations, fmt.Sprintf("DRAIN: %s reached %s %v after it said that it leaves", r.Attempt, r.Worker, r.DrainingFor))
	}
}

// recordRunEnd records that a worker no longer works on an attempt.
func (j *judge) recordRunEnd(e hostedworker.RunEnd) {
	j.mu.Lock()
	defer j.mu.Unlock()
	a := j.attempts[e.Attempt]
	if a == nil {
		// recordRun has reported the run.
		return
	}
	for _, r := range a.runs {
		if r.Worker == e.Worker && r.Number == e.Number {
			r.endedAt, r.cancelled = e.At, e.Cancelled
		}
	}
}

// recordPromise records how a caller was told that an attempt has not run. verdict checks
// that at the end, when nothing can run any more.
func (j *judge) recordPromise(attemptID, promise string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.attempts[attemptID].promise = promise
}

// verdict returns all broken promises of the run, including those that can only
// be checked at the end, and counts the attempts without a whole answer. It is called once.
func (j *judge) verdict() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	violations := append([]string(nil), j.violations...)
	for id, r := range j.requests {
		violations = append(violations, j.checkRequest(id, r)...)
	}
	for _, check := range []func() []string{j.checkResumptions, j.checkStranded, j.checkOrders} {
		violations = append(violations, check()...)
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
			violations = append(violations, fmt.Sprintf("REFUSED: %s was answered as not run (%s) and ran: %s", a.id, a.promise, j.describe(r)))
		}
		for _, text := range []string{j.checkEnding(a), j.checkOverlap(a)} {
			if text != "" {
				violations = append(violations, text+": "+j.describe(r))
			}
		}
	}
	if r.once && runs > 1 {
		violations = append(violations, fmt.Sprintf("TWICE: %s may run once and ran %d times: %s", id, runs, j.describe(r)))
	}
	return violations
}

// describe returns a request's attempts and their runs.
func (j *judge) describe(r *callerRequest) string {
	var b strings.Builder
	for _, a := range r.attempts {
		fmt.Fprintf(&b, "[%s to %s at %s", a.id, a.node, a.sent.Format("05.000"))
		if a.promise != "" {
			b.WriteString(", " + a.promise)
		}
		for _, run := range a.runs {
			b.WriteString(", " + j.describeRun(a, run))
		}
		if a.ending != inProgress {
			fmt.Fprintf(&b, ", %v at %s", a.ending, a.endedAt.Format("05.000"))
		}
		b.WriteString("]")
	}
	return b.String()
}

// describeRun returns a run of an attempt and what happened to its worker meanwhile.
func (j *judge) describeRun(a *attempt, run *workerRun) string {
	var b strings.Builder
	fmt.Fprintf(&b, "ran at %s %s", run.Worker, run.At.Format("05.000"))
	end := a.endedAt
	if !run.endedAt.IsZero() {
		end = run.endedAt
		b.WriteString(" to " + end.Format("05.000"))
	}
	if run.cancelled {
		b.WriteString(" cancelled")
	}
	if run.Broken {
		b.WriteString(" broken")
	}
	for _, kind := range j.kindsOfHarm(run.Worker, run.At, end) {
		b.WriteString(" " + kind.String())
	}
	return b.String()
}
