package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"daisyshed.dev/core"
	wire "daisyshed.dev/wire/engine"
)

const (
	// reviseInterval is the mean pause between two configuration revisions.
	reviseInterval = 2 * time.Second
	// inForceWithin is the promised time within which every accepted revision is
	// in force once all faults have ended.
	inForceWithin = 5 * time.Second
	// withdrawWithin is the promised time after which a withdrawn pool gets no new
	// requests.
	withdrawWithin = 3 * time.Second
	// watchWithdrawn is how long a withdrawn pool is checked after
	// withdrawWithin has passed.
	watchWithdrawn = 4 * time.Second
	// watchInterval is the polling interval for the daemons' status and for the
	// withdrawn engine's allocations.
	watchInterval = 100 * time.Millisecond
	// firstMaxTokens is above the limit of any request, so that raising it changes
	// no answer.
	firstMaxTokens = 1000
	// lentEngine is the index of the engine of the pool that is withdrawn.
	lentEngine = 4
)

// daisyctl's exit codes for an accepted revision, which is already in force or
// not yet.
const (
	ctlInForce    = 0
	ctlNotInForce = 4
)

// operator publishes configuration revisions and requires that they come into
// force and are not reverted.
type operator struct {
	cluster *cluster
	judge   *judge
	faults  *faults
	rng     *rand.Rand

	mu        sync.Mutex
	attempted core.Tokens
	accepted  core.Tokens
}

// run publishes revisions and checks the daemons until the returned function is
// called.
func (o *operator) run() func() {
	o.attempted = firstMaxTokens
	ctx, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { o.revise(ctx) })
	for i := range o.cluster.daemons {
		group.Go(func() { o.watchConfiguration(ctx, i) })
	}
	return func() {
		stop()
		group.Wait()
	}
}

func (o *operator) revise(ctx context.Context) {
	for ctx.Err() == nil {
		if o.rng.IntN(6) == 0 {
			o.withdraw()
		} else {
			o.raiseMaxTokens()
		}
		time.Sleep(time.Duration(o.rng.Float64() * 2 * float64(reviseInterval)))
	}
}

// raiseMaxTokens publishes a MaxTokens higher than any before.
func (o *operator) raiseMaxTokens() {
	o.attempted++
	code := o.runDaisyctl("profile", "revise", "bill-summary", "--no-wait", "--set", fmt.Sprintf("MaxTokens=%d", o.attempted))
	o.judge.count(fmt.Sprintf("revisions, exit code %d", code))
	if code == ctlInForce || code == ctlNotInForce {
		o.mu.Lock()
		o.accepted = o.attempted
		o.mu.Unlock()
	}
}

// runDaisyctl runs daisyctl and returns its exit code, or -1 if it could not be
// run.
func (o *operator) runDaisyctl(args ...string) int {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	args = append([]string{"--settings", o.cluster.settingsFile("daisyctl")}, args...)
	err := exec.CommandContext(ctx, filepath.Join(o.cluster.opts.Bin, "daisyctl"), args...).Run()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode()
	}
	if err != nil {
		return -1
	}
	return 0
}

// watchConfiguration requires that neither the offset of a daemon's configuration
// nor its MaxTokens decreases within one incarnation.
func (o *operator) watchConfiguration(ctx context.Context, daemon int) {
	var last core.Status
	for ctx.Err() == nil {
		time.Sleep(watchInterval)
		s, ok := o.cluster.status(daemon)
		if !ok {
			continue
		}
		if s.Incarnation == last.Incarnation {
			forward := s.ConfigOffset >= last.ConfigOffset && maxTokens(s) >= maxTokens(last)
			o.judge.require(neverReverts, forward, "%s went from offset %d, MaxTokens %d to offset %d, MaxTokens %d",
				s.Node.ID, last.ConfigOffset, maxTokens(last), s.ConfigOffset, maxTokens(s))
		}
		last = s
	}
}

// maxTokens returns the MaxTokens that a daemon has in force, or 0 if it does not
// have the profile.
func maxTokens(s core.Status) core.Tokens {
	for _, p := range s.Profiles {
		if p.Profile.ID == "bill-summary" {
			return p.Profile.MaxTokens
		}
	}
	return 0
}

// afterFaults requires that all daemons have the same MaxTokens in force, at
// least the last accepted one, within inForceWithin.
func (o *operator) afterFaults() {
	var shown []core.Tokens
	ok := o.cluster.waitUntil(inForceWithin, func() bool {
		shown = nil
		agreed := true
		for i := range o.cluster.daemons {
			s, ok := o.cluster.status(i)
			shown = append(shown, maxTokens(s))
			agreed = agreed && ok && maxTokens(s) >= o.accepted && shown[i] == shown[0]
		}
		return agreed
	})
	o.judge.require(revisionInForce, ok, "accepted %d, in force %v", o.accepted, shown)
}

// withdraw withdraws the lent pool for some seconds and requires that its engine
// gets no new requests after the promised time. It reserves the engine, so that
// the engine is not killed or frozen meanwhile.
func (o *operator) withdraw() {
	engine := o.cluster.engines[lentEngine]
	if !o.faults.reserve(engine, false) {
		return
	}
	defer o.faults.release(engine, false)
	code := o.runDaisyctl("pool", "revise", "lent-decode", "--no-wait", "--set", "Withdrawn=true")
	if code == ctlInForce || code == ctlNotInForce {
		o.judge.count("pools withdrawn")
		o.watchIdle(time.Now())
	}
	o.cluster.waitUntil(startTimeout, func() bool {
		return o.runDaisyctl("pool", "revise", "lent-decode", "--no-wait", "--set", "Withdrawn=false") == ctlInForce
	})
}

// watchIdle requires that no allocation appears at the lent engine later than
// withdrawWithin, plus one polling interval, after the withdrawal was accepted.
func (o *operator) watchIdle(accepted time.Time) {
	known := map[wire.Allocation]bool{}
	for time.Since(accepted) < withdrawWithin+watchWithdrawn {
		time.Sleep(watchInterval)
		elapsed := time.Since(accepted)
		var report wire.Report
		if !o.cluster.getJSON("http://"+o.cluster.engineAddress(lentEngine)+wire.ReportPath, &report) {
			continue
		}
		for _, h := range report.Held {
			isNew := !known[h.Allocation]
			known[h.Allocation] = true
			late := isNew && elapsed > withdrawWithin+watchInterval
			o.judge.require(withdrawnIdle, !late, "%+v first seen %v after the withdrawal", h, elapsed)
		}
		o.judge.require(withdrawnIdle, true, "")
	}
}
