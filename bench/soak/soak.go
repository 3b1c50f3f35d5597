// Package soak runs the cores of several nodes in virtual time under random
// faults. It checks the promises from outside, in addition to the invariants
// that the cores check themselves.
package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"daisyshed.dev/bench/world"
	"daisyshed.dev/core"
)

// Run is one randomised run. Seed, Faulty and Only are set before Do; the other
// exported fields are its results.
type Run struct {
	// Seed determines the size of the world, the load and the faults.
	Seed uint64
	// Faulty is the virtual time during which faults are injected.
	Faulty time.Duration
	// Only names the kinds of fault to inject; empty means all.
	Only []string

	// Steps is the number of messages that the nodes' cores handled.
	Steps uint64
	// Provoked counts, per promise, the situations that put it at risk, for
	// example one for each caller connected to a node that is killed.
	Provoked map[core.Promise]int
	// Faults counts the injected faults by kind.
	Faults map[string]int
	// Failures lists the violations found.
	Failures []Failure
	// Outcomes counts the results that callers received.
	Outcomes Outcomes

	w        *world.World
	rng      *rand.Rand
	callers  []*world.Caller
	payments []*payment
	// revisions holds the current revision of each pool and, under its own ID, of
	// the profile balance-read.
	revisions map[core.PoolID]core.Revision
	// disturbedUntil is the time until which a node may miss messages because it
	// is stopped, frozen or cut off from other nodes or the log.
	disturbedUntil map[core.NodeID]core.Instant
	// faultsEnd is the end of the last fault that heal cannot end early.
	faultsEnd core.Instant
	// byRequest maps request IDs to their callers.
	byRequest map[core.RequestID]*world.Caller
	// partitionedUntil is the time until which a second stream of a request,
	// started during a partition, may still run.
	partitionedUntil core.Instant
	// winningPriority is the priority in the revision that won the last race
	// between operators.
	winningPriority int
	// parallelReported holds the requests already reported as answered by two
	// nodes at once.
	parallelReported map[core.RequestID]bool
	// lateReported holds the requests whose memory has already been reported as
	// released too late.
	lateReported map[core.RequestID]bool
}

// Failure is one violation of a promise.
type Failure struct {
	At      time.Duration
	Promise core.Promise
	Detail  string
}

// String returns the time, the promise and the detail of the failure.
func (f Failure) String() string { return fmt.Sprintf("%s %s: %s", f.At, f.Promise, f.Detail) }

// Outcomes counts the results that callers received.
type Outcomes struct {
	Requests, Whole, Cancelled, GivenUp int
	Calls, Ran, NotRun, Unknown, Silent int
	Doubles, FalseNotRun                int
}

const (
	// warmUpTime is the virtual time before load and faults begin.
	warmUpTime = 3 * time.Second
	// quietTime is how long the run continues after the fault phase, so that
	// callers' retries end, leases expire and memory is released.
	quietTime = 2 * time.Minute
	// releaseBound is how long engines may hold memory of a request after it
	// has ended, or after the last fault if that is later.
	releaseBound = 5 * time.Second
	// withdrawalBound is how long after a withdrawal a node may still place
	// requests on the pool, counted from the end of a fault that may have kept
	// the node from learning of it.
	withdrawalBound = 5 * time.Second
)

// Do executes the run and fills in its results.
func (r *Run) Do() {
	r.rng = rand.New(rand.NewPCG(r.Seed, 17))
	r.Provoked = make(map[core.Promise]int)
	r.Faults = make(map[string]int)
	r.revisions = make(map[core.PoolID]core.Revision)
	r.byRequest = make(map[core.RequestID]*world.Caller)
	r.parallelReported = make(map[core.RequestID]bool)
	r.lateReported = make(map[core.RequestID]bool)
	r.disturbedUntil = make(map[core.NodeID]core.Instant)
	r.build()
	r.w.Open()
	r.startLoad()
	r.w.After(warmUpTime, r.nextFault)
	r.w.Run(warmUpTime + r.Faulty)
	r.heal()
	r.watchMemory()
	r.w.Run(warmUpTime + r.Faulty + quietTime)
	r.checkResults()
	r.Steps = r.w.Updates
}

func (r *Run) fail(p core.Promise, format string, args ...any) {
	r.Failures = append(r.Failures, Failure{
		At: r.w.Now.Sub(world.Start), Promise: p, Detail: fmt.Sprintf(format, args...),
	})
}

// chance returns true with probability p.
func (r *Run) chance(p float64) bool { return r.rng.Float64() < p }

// randomDuration returns a random duration of at least a and less than b.
func (r *Run) randomDuration(a, b time.Duration) time.Duration {
	return a + time.Duration(r.rng.Int64N(int64(b-a)))
}

// Plus returns the sum of two outcomes.
func (o Outcomes) Plus(p Outcomes) Outcomes {
	return Outcomes{
		Requests: o.Requests + p.Requests, Whole: o.Whole + p.Whole, Cancelled: o.Cancelled + p.Cancelled,
		GivenUp: o.GivenUp + p.GivenUp, Calls: o.Calls + p.Calls, Ran: o.Ran + p.Ran, NotRun: o.NotRun + p.NotRun,
		Unknown: o.Unknown + p.Unknown, Silent: o.Silent + p.Silent, Doubles: o.Doubles + p.Doubles,
		FalseNotRun: o.FalseNotRun + p.FalseNotRun,
	}
}
