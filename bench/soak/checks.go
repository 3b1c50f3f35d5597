package soak

import (
	"time"

	"daisyshed.dev/bench/world"
	"daisyshed.dev/core"
)

// observe checks a decision of a node at the time that the node reports it.
func (r *Run) observe(d core.Decision) {
	if d.Step == "finish" && d.Attempt > 1 {
		r.Provoked[core.AnsweredOnce]++
	}
	if d.Step == "place" || d.Step == "move" {
		r.checkWithdrawn(d)
	}
}

// checkParallel reports a failure if a node that receives all messages streams
// an answer which another node has begun to stream too. It reports each request
// once.
func (r *Run) checkParallel(id core.NodeID, c *world.Caller) {
	request := c.Request.Request
	quiet := r.w.Now.Sub(max(r.disturbedUntil[id], r.partitionedUntil)) > parallelBound
	if quiet && !r.parallelReported[request] {
		r.parallelReported[request] = true
		r.fail(core.AnsweredOnce, "%s is answered by %s and another node at once", request, id)
	}
}

// parallelBound is how long after a disturbance a node may still stream an
// answer without having learned that another node has taken over the request.
const parallelBound = 5 * time.Second

// checkWithdrawn checks that a node places nothing on a withdrawn pool more than
// withdrawalBound after it could have learned of the withdrawal.
func (r *Run) checkWithdrawn(d core.Decision) {
	since, withdrawn := r.w.WithdrawnSince(borrowedDecodePool)
	if !withdrawn || r.w.PoolOf(d.Decode) != borrowedDecodePool {
		return
	}
	learnableAt := max(since, r.disturbedUntil[d.Node])
	if r.w.Now.Sub(learnableAt) > withdrawalBound {
		r.fail(core.WithdrawnIdle, "%s was placed on %s %s after its withdrawal", d.Request, d.Decode, r.w.Now.Sub(since))
	}
}

// checkResults runs the checks at the end of the run: the violations reported by
// the cores, the callers' results, the memory held and the configuration.
func (r *Run) checkResults() {
	for _, v := range r.w.Violations {
		r.Failures = append(r.Failures, Failure{At: v.At.Sub(world.Start), Promise: v.Promise, Detail: string(v.Node) + ": " + v.Detail})
	}
	r.checkCallers()
	r.checkPayments()
	r.checkMemoryReleased()
	r.checkConfiguration()
}

func (r *Run) checkCallers() {
	for _, c := range r.callers {
		r.Outcomes.Requests++
		switch {
		case c.Done:
			r.Outcomes.Whole++
		case c.Cancelled:
			r.Outcomes.Cancelled++
		case c.GivenUp:
			r.Outcomes.GivenUp++
		default:
			r.fail(core.AnswerWhole, "%s never got a final answer: %s", c.Request.Request, r.w.Describe(c))
		}
		if c.Answers > 1 {
			r.fail(core.AnsweredOnce, "%s was answered %d times", c.Request.Request, c.Answers)
		}
		for _, f := range c.Faults {
			r.fail(core.AnswerWhole, "%s: %s", c.Request.Request, f)
		}
	}
}

func (r *Run) checkPayments() {
	for _, p := range r.payments {
		r.Outcomes.Calls++
		ran := r.w.Ran(p.key)
		if ran > 1 {
			r.Outcomes.Doubles++
			r.fail(core.AtMostOnce, "%s ran %d times", p.key, ran)
		}
		r.checkPaymentAnswers(p, ran)
	}
}

// checkPaymentAnswers checks that a payment did not run if all its attempts were
// answered NotRun, and that it ran if one was answered Ran. It also checks that
// no attempt was answered NotRun after the payment had run, or answered twice.
func (r *Run) checkPaymentAnswers(p *payment, ran int) {
	notRun, unknown, done := 0, 0, 0
	for _, c := range p.calls {
		for _, a := range c.Answers {
			switch a.Outcome {
			case core.Ran:
				done++
			case core.NotRun:
				notRun++
			case core.Unknown:
				unknown++
			}
		}
		if c.FalseNotRun {
			r.Outcomes.FalseNotRun++
			r.fail(core.NotRunTrue, "%s was called not run after it had run", c.Call.Call)
		}
		if len(c.Answers) > 1 {
			r.fail(core.AnsweredOnce, "%s got %d answers", c.Call.Call, len(c.Answers))
		}
	}
	r.countPaymentOutcome(notRun, unknown, done)
	if notRun == len(p.calls) && ran > 0 {
		r.Outcomes.FalseNotRun++
		r.fail(core.NotRunTrue, "%s was called not run and ran", p.key)
	}
	if done > 0 && ran == 0 {
		r.fail(core.AnswerWhole, "%s was called run and did not run", p.key)
	}
}

func (r *Run) countPaymentOutcome(notRun, unknown, done int) {
	switch {
	case done > 0:
		r.Outcomes.Ran++
	case unknown > 0:
		r.Outcomes.Unknown++
	case notRun > 0:
		r.Outcomes.NotRun++
	default:
		r.Outcomes.Silent++
	}
}

// watchMemory schedules a periodic check that engines release the memory of a
// request within releaseBound of its end.
func (r *Run) watchMemory() {
	r.w.Every(250*time.Millisecond, func() {
		for _, e := range r.w.Engines {
			for _, h := range r.w.Held(e.Upstream.ID) {
				r.checkHeld(e.Upstream.ID, h.Allocation.Request)
			}
		}
	})
}

func (r *Run) checkHeld(engine core.EngineID, request core.RequestID) {
	c := r.byRequest[request]
	if c == nil || c.EndedAt == 0 || r.lateReported[request] {
		return
	}
	if r.w.Now.Sub(max(c.EndedAt, r.faultsEnd)) > releaseBound {
		r.lateReported[request] = true
		r.fail(core.MemoryReleased, "%s still holds %s, which ended %s ago", engine, request, r.w.Now.Sub(c.EndedAt))
	}
}

// checkMemoryReleased checks that no engine holds any memory at the end of the
// run.
func (r *Run) checkMemoryReleased() {
	for _, e := range r.w.Engines {
		for _, h := range r.w.Held(e.Upstream.ID) {
			r.fail(core.MemoryReleased, "%s still holds %v", e.Upstream.ID, h.Allocation)
		}
	}
}

// checkWinningPriority checks that, of the revisions published on the same base,
// the first one is in force at a node.
func (r *Run) checkWinningPriority(id core.NodeID, s core.Status) {
	for _, e := range s.Profiles {
		if e.Profile.ID == "balance-read" && e.Profile.Priority != r.winningPriority {
			r.fail(core.ConfigurationMonotone, "%s has priority %d in force, not %d", id, e.Profile.Priority, r.winningPriority)
		}
	}
}

// checkConfiguration checks that all running nodes have applied the whole
// configuration stream.
func (r *Run) checkConfiguration() {
	folded := r.w.Configuration()
	for _, n := range r.w.Nodes {
		if !r.w.Running(n.ID) {
			continue
		}
		s := r.w.Status(n.ID)
		if s.ConfigOffset != folded.Offset() {
			r.fail(core.ConfigurationMonotone, "%s is at offset %d of %d", n.ID, s.ConfigOffset, folded.Offset())
		}
		r.checkWinningPriority(n.ID, s)
	}
}
