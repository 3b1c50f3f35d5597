package hosted

import (
	"fmt"
	"slices"
	"time"
)

const (
	// deadlineSlack is how long before the caller's deadline or the route's timeout a node
	// may end a request because of it: the node learns of the deadline in milliseconds, and
	// both take some time to send and receive.
	deadlineSlack = 100 * time.Millisecond
	// timeoutSlack is how long after its route's timeout a request may be without a byte of
	// an answer.
	timeoutSlack = 500 * time.Millisecond
	// lossSlack is how long after the sending of a request a node that stops may close the
	// connection without passing the request on, since the two may cross.
	lossSlack = 200 * time.Millisecond
	// lateStop is the part of the grace after which a stop may end requests that are still
	// run, if they were sent within stopTolerance of its start.
	lateStop      = 5.0 / 6
	stopTolerance = 3 * time.Second
	// replacementSlack is how long before the caller's deadline or the route's timeout a
	// node may end the last run of a request that has no whole answer by then.
	replacementSlack = 500 * time.Millisecond
)

//go:generate stringer -type=ending -linecomment -output=ending_string.go

// ending is how an attempt ended for its caller.
type ending int

const (
	inProgress ending = iota // in progress
	// answered is an answer that arrived whole, whatever its status.
	answered // answered
	// unread is a connection that was closed by a node that cannot have read the whole
	// request.
	unread // closed unread
	// unanswered is a connection that the node closed without a byte of an answer.
	unanswered // closed without an answer
	// cut is a connection that the node closed in the middle of an answer.
	cut // cut in the middle of the answer
	// emptySuccess is status 200 without a body and without an upstream's signature.
	emptySuccess // answered with an empty 200
	// left is a connection that the caller closed, early or at its deadline.
	left // given up by the caller
)

// recordEnding records how an attempt ended, and whether the caller received a byte.
func (j *judge) recordEnding(attemptID string, e ending, begun bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	a := j.attempts[attemptID]
	a.ending, a.endedAt, a.begun = e, time.Now(), begun
}

// checkEnding returns a violation if an attempt ended without a whole answer and nothing
// allows that. It counts the attempts that nothing had to answer by the reason.
func (j *judge) checkEnding(a *attempt) string {
	switch a.ending {
	case inProgress, answered:
		return ""
	case emptySuccess:
		return fmt.Sprintf("LOST: %s was %v", a.id, a.ending)
	case left:
		if !a.begun && !a.leaves {
			j.counts["no byte until the deadline"]++
		}
		if j.heldPastTimeout(a) {
			return fmt.Sprintf("LOST: %s had no byte of an answer %v after its route's timeout", a.id, timeoutSlack)
		}
	}
	if j.gaveUpRun(a) {
		if a.stream && !j.othersHarmed(a) {
			return fmt.Sprintf("LOST: %s had no whole answer in time, and its node had ended the run of a sound worker without another", a.id)
		}
		j.counts["run of a sound worker ended without another"]++
	}
	reason := j.reasonForNoAnswer(a)
	if reason == "" {
		return fmt.Sprintf("LOST: %s was %v, and nothing allowed that", a.id, a.ending)
	}
	j.counts["no answer: "+reason]++
	return ""
}

// heldPastTimeout reports whether an attempt was without a byte of an answer for longer
// than the route's timeout and timeoutSlack, at a node that ran all the while.
func (j *judge) heldPastTimeout(a *attempt) bool {
	return !a.begun && !a.leaves && a.endedAt.Sub(a.sent) >= maxRouteTimeout+timeoutSlack &&
		!j.harmed(a.node, a.sent, a.endedAt, nodeKilled, nodeFrozen)
}

// gaveUpRun reports whether a node ended the last run of an attempt, at a sound worker, and
// the caller waited for an answer afterwards.
func (j *judge) gaveUpRun(a *attempt) bool {
	if a.leaves || len(a.runs) == 0 || j.harmed(a.node, a.sent, a.endedAt, nodeKilled, nodeFrozen, nodeStranded) {
		return false
	}
	last := a.lastRun()
	return last.cancelled && a.endedAt.Sub(last.endedAt) > replacementSlack && j.reasonOfWorker(a) == ""
}

// othersHarmed reports whether a worker, or the link to it, was harmed while an attempt was
// without a run. The node may have sent the attempt there, which the judge cannot see.
func (j *judge) othersHarmed(a *attempt) bool {
	from := a.lastRun().endedAt
	for subject, harms := range j.harms {
		if j.harmed(subject, from, a.endedAt, workerFrozen, linkHarmed) {
			return true
		}
		crashedThen := func(h *harm) bool {
			return h.kind == workerCrashed && h.from.After(from.Add(-expireAfter-harmTolerance)) && h.from.Before(a.endedAt)
		}
		if slices.ContainsFunc(harms, crashedThen) {
			return true
		}
	}
	return false
}

// reasonForNoAnswer returns why an attempt needed no whole answer; empty if it did.
func (j *judge) reasonForNoAnswer(a *attempt) string {
	switch {
	case a.ending == unread:
		return "not read"
	case a.ending == left && a.leaves:
		return "the caller left"
	case a.ending == left || a.endedAt.After(a.deadline.Add(-deadlineSlack)):
		return "the caller's deadline"
	case a.endedAt.Sub(a.sent) > minRouteTimeout-deadlineSlack:
		return "the route's timeout"
	case j.harmed(a.node, a.sent, a.endedAt, nodeKilled):
		return "the node was killed"
	case j.harmed(a.node, a.sent, a.endedAt, nodeFrozen):
		return "the node was frozen"
	case j.harmed(a.node, a.sent, a.endedAt, nodeStranded):
		return "the node was stranded"
	case j.graceRanOut(a):
		return "the grace ran out"
	case len(a.runs) == 0:
		return j.reasonForNoRun(a)
	}
	return j.reasonOfWorker(a)
}

// reasonForNoRun returns why an attempt that no worker ran needed no answer.
func (j *judge) reasonForNoRun(a *attempt) string {
	if a.ending == unanswered && a.endedAt.Sub(a.sent) < lossSlack && j.harmed(a.node, a.sent, a.endedAt, nodeStopped) {
		return "crossed the close of a node that stops"
	}
	return ""
}

// reasonOfWorker returns why the worker that ran an attempt last did not answer it.
func (j *judge) reasonOfWorker(a *attempt) string {
	run := a.lastRun()
	switch {
	case run.Broken:
		return "the worker broke the answer"
	case j.harmed(run.Worker, run.At, a.endedAt, workerCrashed):
		return "the worker crashed"
	case j.harmed(run.Worker, run.At, a.endedAt, workerExpired):
		return "the worker's entry expired"
	case j.harmed(run.Worker, run.At, a.endedAt, linkHarmed):
		return "the link was harmed"
	}
	return ""
}

// graceRanOut reports whether a worker was still at work on an attempt when the grace of
// its node's stop was nearly over, and the attempt was sent before the stop or soon after
// its start.
func (j *judge) graceRanOut(a *attempt) bool {
	for _, h := range j.harms[a.node] {
		late := h.from.Add(time.Duration(lateStop * float64(j.grace)))
		if h.kind != nodeStopped || a.endedAt.Before(late) || a.sent.After(h.from.Add(stopTolerance)) || !h.to.IsZero() && h.to.Before(a.sent) {
			continue
		}
		for _, r := range a.runs {
			if r.endedAt.IsZero() || r.endedAt.After(late) {
				return true
			}
		}
	}
	return false
}

// lastRun returns the run that began last before the attempt ended, or the first if none did: a worker
// that was suspended may begin a run when its caller has left. The attempt has at least one.
func (a *attempt) lastRun() *workerRun {
	runs := slices.SortedFunc(slices.Values(a.runs), func(r, other *workerRun) int { return r.At.Compare(other.At) })
	last := runs[0]
	for _, r := range runs[1:] {
		if !r.At.After(a.endedAt) {
			last = r
		}
	}
	return last
}
