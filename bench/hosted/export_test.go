package hosted

import (
	"strconv"
	"time"

	"daisyshed.dev/standin/hostedworker"
)

// The endings of attempts and the kinds of harm, for tests of the judge.
const (
	Answered     = answered
	Unread       = unread
	Unanswered   = unanswered
	Cut          = cut
	EmptySuccess = emptySuccess
	Left         = left

	NodeKilled    = nodeKilled
	NodeFrozen    = nodeFrozen
	NodeStopped   = nodeStopped
	WorkerCrashed = workerCrashed
	WorkerFrozen  = workerFrozen
	LinkHarmed    = linkHarmed

	MinRouteTimeout = minRouteTimeout
	MaxRouteTimeout = maxRouteTimeout
	ExpireAfter     = expireAfter
	// LastAnswer is the longest body that a caller keeps, in bytes.
	LastAnswer = maxAnswer
)

// The functions that tests call directly.
var (
	MemoryViolation = memoryViolation
	HasRaceDetector = hasRaceDetector
	ReadBody        = readBody
	EndingOf        = endingOf
	ProbeRequest    = probeRequest
)

// Recorded is an attempt at node "n" with what the judge knows of it. Times are relative to
// its sending.
type Recorded struct {
	Ending          ending
	Begun, Leaves   bool
	Stream          bool
	Ended, Deadline time.Duration
	Runs            []RecordedRun
	Harms           []RecordedHarm
	Grace           time.Duration
}

// RecordedRun is a run; one with To zero goes on.
type RecordedRun struct {
	Worker            string
	From, To          time.Duration
	Broken, Cancelled bool
}

// RecordedHarm is a harm to "n", a worker or its link; one with To zero goes on.
type RecordedHarm struct {
	Subject  string
	Kind     harmKind
	From, To time.Duration
}

// Judge returns the verdict on a recorded attempt and the judge's counts.
func (r Recorded) Judge() ([]string, map[string]int) {
	j := newJudge(r.Grace)
	sent := time.Now().Add(-time.Minute)
	at := func(d time.Duration) time.Time {
		if d == 0 {
			return time.Time{}
		}
		return sent.Add(d)
	}
	a := &attempt{
		id: "a.1", node: "n", sent: sent, deadline: sent.Add(r.Deadline), leaves: r.Leaves, ending: r.Ending, endedAt: sent.Add(r.Ended), begun: r.Begun, stream: r.Stream,
	}
	for i, run := range r.Runs {
		a.runs = append(a.runs, &workerRun{
			Run:     hostedworker.Run{Number: hostedworker.RunNumber(i), Attempt: a.id, Worker: run.Worker, At: sent.Add(run.From), Broken: run.Broken},
			endedAt: at(run.To), cancelled: run.Cancelled,
		})
	}
	for _, h := range r.Harms {
		j.harms[h.Subject] = append(j.harms[h.Subject], &harm{kind: h.Kind, from: sent.Add(h.From), to: at(h.To)})
	}
	j.requests["a"] = &callerRequest{attempts: []*attempt{a}}
	return j.verdict(), j.counts
}

// JudgeFreeze returns the verdict on an attempt that was cut while the worker that ran it
// was suspended for d.
func JudgeFreeze(d time.Duration) []string {
	j := newJudge(time.Second)
	j.recordAttempt(message{id: "a", deadline: time.Now().Add(time.Minute)}, "a.1", "n")
	j.recordRun(hostedworker.Run{Attempt: "a.1", Worker: "w", At: time.Now()})
	j.recordFreeze("w", d)
	j.recordEnding("a.1", cut, true)
	j.attempts["a.1"].endedAt = time.Now().Add(d)
	return j.verdict()
}

// JudgeRunEnd returns the verdict on an attempt that two workers worked on, of which the
// first ended its run before the second began.
func JudgeRunEnd() []string {
	j := newJudge(time.Second)
	j.recordAttempt(message{id: "a", deadline: time.Now().Add(time.Minute)}, "a.1", "n")
	begin := time.Now().Add(-10 * time.Second)
	j.recordRun(hostedworker.Run{Number: 7, Attempt: "a.1", Worker: "w1", At: begin})
	j.recordRun(hostedworker.Run{Number: 7, Attempt: "a.1", Worker: "w2", At: begin.Add(time.Second)})
	j.recordRunEnd(hostedworker.RunEnd{Number: 7, Attempt: "a.1", Worker: "w1", At: begin.Add(time.Second)})
	return j.verdict()
}

// RecordedShare is a number of first attempts of the same kind at a node, an hour ago.
type RecordedShare struct {
	Node            string
	Count           int
	Resumes, Served bool
}

// JudgeShares returns the verdict on attempts of resumable streams, while harm has been done to
// node "n1" for longer than contactTime.
func JudgeShares(harmed harmKind, shares ...RecordedShare) []string {
	j := newJudge(time.Second)
	sent := time.Now().Add(-time.Hour)
	j.harms["n1"] = []*harm{{kind: harmed, from: sent.Add(-contactTime - time.Second), to: sent.Add(time.Minute)}}
	for _, s := range shares {
		for range s.Count {
			id := requestID(strconv.Itoa(len(j.requests)))
			a := &attempt{
				id: string(id) + ".1", node: s.Node, sent: sent, endedAt: sent.Add(time.Second), deadline: sent.Add(time.Minute),
				ending: answered, resumable: true, resumes: s.Resumes, served: s.Served, engines: minEngines,
			}
			j.requests[id] = &callerRequest{attempts: []*attempt{a}}
			j.attempts[a.id] = a
		}
	}
	return j.verdict()
}

// JudgeOrders returns the verdict on orders to one worker.
func JudgeOrders(orders ...hostedworker.Order) []string {
	j := newJudge(time.Second)
	for _, o := range orders {
		j.orders["w"] = append(j.orders["w"], sentOrder{Order: o})
	}
	return j.verdict()
}

// Harms to nodes that judges of shares regard.
const (
	NodeCutOff   = nodeCutOff
	NodeStranded = nodeStranded
)
