package core

import (
	"fmt"
	"strings"
)

// runRecord is one run of a request that was sent to an upstream.
type runRecord struct {
	number SendNumber
	engine EngineID
	// version and born are those of the engine in the list when the request was sent.
	version SoftwareVersion
	born    int64
	// notRun is set once it is proved that the upstream did not run the request, and
	// proof is what proves it. Without a proof the upstream may have run the request,
	// or may still do so.
	notRun bool
	proof  NotRunProof
	// sentAt is when the request was sent.
	sentAt Instant
}

// nextSend returns the number of a request's next send, whose result the request waits
// for from now on.
func (f *forwardedRequest) nextSend() SendNumber {
	f.lastSend++
	f.current = f.lastSend
	return f.current
}

// giveUpSend makes the result of the present send stale.
func (f *forwardedRequest) giveUpSend() { f.current = 0 }

// recordRun records that the request is being sent to an upstream that is to run it, and
// returns the number of the send.
func (f *forwardedRequest) recordRun(now Instant, u *upstream) SendNumber {
	number := f.nextSend()
	f.runRecords = append(f.runRecords, runRecord{number: number, engine: u.ID, version: u.Version, born: u.Born, sentAt: now})
	f.sentTo.Add(u.ID)
	return number
}

// runRecord returns the record of a run; a zero one if the number is not that of a run.
func (f *forwardedRequest) runRecord(number SendNumber) runRecord {
	for _, r := range f.runRecords {
		if r.number == number {
			return r
		}
	}
	return runRecord{}
}

// ranAtFormer reports whether a send is a run that was sent when the list showed another
// incarnation of an upstream than now.
func (f *forwardedRequest) ranAtFormer(u *upstream, number SendNumber) bool {
	r := f.runRecord(number)
	return r.number != 0 && r.born != u.Born
}

// sentAt returns when a run was sent; zero if the number is not that of a run.
func (f *forwardedRequest) sentAt(number SendNumber) Instant { return f.runRecord(number).sentAt }

// recordNotRun records the proof that a send was not run. A number that is not the
// number of a run has no effect.
func (f *forwardedRequest) recordNotRun(number SendNumber, proof NotRunProof) {
	for i := range f.runRecords {
		if r := &f.runRecords[i]; r.number == number && !r.notRun {
			r.notRun, r.proof = true, proof
		}
	}
}

// unprovenRuns returns the number of sends that upstreams may have run or may still run.
func (f *forwardedRequest) unprovenRuns() int {
	unproven := 0
	for _, r := range f.runRecords {
		if !r.notRun {
			unproven++
		}
	}
	return unproven
}

// describeRun returns the number of the latest run and why the request is sent again, for
// the log.
func (f *forwardedRequest) describeRun() string {
	i := len(f.runRecords) - 1
	if i <= 0 {
		return "first"
	}
	latest, before := f.runRecords[i], f.runRecords[i-1]
	reason := "no proof that it was not run"
	if before.notRun {
		reason = before.proof.String()
	}
	return fmt.Sprintf("send %d, again after send %d at %s: %s", latest.number, before.number, before.engine, reason)
}

// describePlacer returns which node chose the upstream of the latest run, the upstream's
// software version, what the request resumes, and the limit that the upstream has named, if
// any, for the log.
func (f *forwardedRequest) describePlacer() string {
	text := ", chosen by this node"
	if f.placer != "" {
		text = ", placed by " + string(f.placer)
	}
	if f.decode.Version != "" {
		text += ", version " + string(f.decode.Version)
	}
	if attempt, resumes := f.Resumes.Get(); resumes {
		text += ", resumes " + attempt
	}
	if rate, ok := f.decode.limit().Get(); ok {
		text += fmt.Sprintf(", limit %.3g/s", float64(rate))
	}
	return text
}

// describeProof returns what proves that no upstream ran the request, for the log.
func (f *forwardedRequest) describeProof() string {
	if len(f.runRecords) == 0 {
		return "never sent"
	}
	proofs := make([]string, 0, len(f.runRecords))
	for _, r := range f.runRecords {
		proof := "none"
		if r.notRun {
			proof = r.proof.String()
		}
		proofs = append(proofs, fmt.Sprintf("send %d at %s: %s", r.number, r.engine, proof))
	}
	return strings.Join(proofs, "; ")
}

// checkBeforeRun verifies that a request that must run at most once is not sent to an
// upstream while another one may have run it.
func (s *forwards) checkBeforeRun(n *Node, f *forwardedRequest) {
	unproven := f.unprovenRuns()
	ok := f.route.RetryPolicy != Once || unproven == 0
	n.checkInvariant(AtMostOnce, ok, f.violation(ok, unproven, "is sent again"))
}

// checkNotRun verifies that no upstream may run a request of which the caller is told
// that it has not run.
func (s *forwards) checkNotRun(n *Node, f *forwardedRequest) {
	unproven := f.unprovenRuns()
	n.checkInvariant(NotRunTrue, unproven == 0, f.violation(unproven == 0, unproven, "is answered as not run"))
}

// checkNotClosedHere verifies that this node has not closed the connection of a caller
// whose request an upstream may have run: the caller would take the request for unread.
func (s *forwards) checkNotClosedHere(n *Node, f *forwardedRequest, closedHere bool) {
	unproven := f.unprovenRuns()
	ok := !closedHere || unproven == 0
	n.checkInvariant(DrainGraceful, ok, f.violation(ok, unproven, "lost its connection to a close of this node"))
}

// violation returns the detail of a violation, or an empty string if ok is set.
func (f *forwardedRequest) violation(ok bool, unproven int, what string) string {
	if ok {
		return ""
	}
	return fmt.Sprintf("%s %s although %d of its %d sends may have run", f.Attempt, what, unproven, len(f.runRecords))
}

// stale reports whether a result belongs to a send that was given up, because another
// one or none followed it, and logs such a result. It must not change what the request
// does now.
func (s *forwards) stale(n *Node, f *forwardedRequest, step ForwardStep, id EngineID, number SendNumber, result string) bool {
	if number == f.current {
		return false
	}
	d := s.newDecision(n, f, "stale-result", NoReason)
	d.Detail = fmt.Sprintf("%s at %s, send %d of %d: %s", step, id, number, f.lastSend, result)
	n.do(LogDecision{Decision: d})
	return true
}
