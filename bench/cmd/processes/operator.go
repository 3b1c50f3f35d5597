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
	// reviseEvery is the mean pause between two revisions.
	reviseEvery = 2 * time.Second
	// inForceWithin is the promise on a revision once all is healed.
	inForceWithin = 5 * time.Second
	// withdrawnWithin is the promise on a withdrawn pool's last new work.
	withdrawnWithin = 3 * time.Second
	// watchWithdrawn is how long a withdrawn pool is watched after that.
	watchWithdrawn = 4 * time.Second
	// watchEvery is the period of looks at daemons and at a withdrawn engine.
	watchEvery = 100 * time.Millisecond
	// firstMaxTokens is above what any request asks for, so that revisions of
	// it change no answer.
	firstMaxTokens = 1000
	// lentEngine is the index of the engine of the pool that is withdrawn.
	lentEngine = 4
)

// daisyctl's exit codes for a revision that was accepted.
const (
	ctlInForce    = 0
	ctlNotInForce = 4
)

// operator publishes revisions and watches that they are in force and stay so.
type operator struct {
	cluster *cluster
	judge   *judge
	faults  *faults
	rng     *rand.Rand

	mu       sync.Mutex
	tried    core.Tokens
	accepted core.Tokens
}

// run revises and watches until the function returned is called.
func (o *operator) run() func() {
	o.tried = firstMaxTokens
	ctx, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { o.revise(ctx) })
	for i := range o.cluster.daemons {
		group.Go(func() { o.watch(ctx, i) })
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
			o.raise()
		}
		time.Sleep(time.Duration(o.rng.Float64() * 2 * float64(reviseEvery)))
	}
}

// raise publishes the next value of MaxTokens.
func (o *operator) raise() {
	o.tried++
	code := o.ctl("profile", "revise", "bill-summary", "--no-wait", "--set", fmt.Sprintf("MaxTokens=%d", o.tried))
	o.judge.count(fmt.Sprintf("revisions, exit code %d", code))
	if code == ctlInForce || code == ctlNotInForce {
		o.mu.Lock()
		o.accepted = o.tried
		o.mu.Unlock()
	}
}

// ctl runs daisyctl and returns its exit code, or -1 if it could not run.
func (o *operator) ctl(args ...string) int {
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

// watch requires that a daemon's configuration never goes back.
func (o *operator) watch(ctx context.Context, daemon int) {
	var last core.Status
	for ctx.Err() == nil {
		time.Sleep(watchEvery)
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

// maxTokens returns the value in force of the field that raise publishes.
func maxTokens(s core.Status) core.Tokens {
	for _, p := range s.Profiles {
		if p.Profile.ID == "bill-summary" {
			return p.Profile.MaxTokens
		}
	}
	return 0
}

// afterFaults requires that what was accepted is in force everywhere.
func (o *operator) afterFaults() {
	var shown []core.Tokens
	ok := o.cluster.until(inForceWithin, func() bool {
		shown = nil
		agreed := true
		for i := range o.cluster.daemons {
			s, ok := o.cluster.status(i)
			shown = append(shown, maxTokens(s))
			agreed = agreed && ok && maxTokens(s) >= o.accepted && shown[i] == shown[0]
		}
		return agreed
	})
	o.judge.require(inForce, ok, "accepted %d, in force %v", o.accepted, shown)
}

// withdraw withdraws the lent pool for a while and requires that its engine
// gets no new work after the promised time.
func (o *operator) withdraw() {
	engine := o.cluster.engines[lentEngine]
	if !o.faults.take(engine, false) {
		return
	}
	defer o.faults.free(engine, false)
	code := o.ctl("pool", "revise", "lent-decode", "--no-wait", "--set", "Withdrawn=true")
	if code == ctlInForce || code == ctlNotInForce {
		o.judge.count("pools withdrawn")
		o.watchIdle(time.Now())
	}
	o.cluster.until(startTimeout, func() bool {
		return o.ctl("pool", "revise", "lent-decode", "--no-wait", "--set", "Withdrawn=false") == ctlInForce
	})
}

// watchIdle looks for new work at the lent engine.
func (o *operator) watchIdle(accepted time.Time) {
	known := map[wire.Allocation]bool{}
	for time.Since(accepted) < withdrawnWithin+watchWithdrawn {
		time.Sleep(watchEvery)
		looked := time.Since(accepted)
		var report wire.Report
		if !o.cluster.getJSON("http://"+o.cluster.engineAddress(lentEngine)+wire.ReportPath, &report) {
			continue
		}
		for _, h := range report.Held {
			fresh := !known[h.Allocation]
			known[h.Allocation] = true
			late := fresh && looked > withdrawnWithin+watchEvery
			o.judge.require(withdrawnIdle, !late, "%+v first seen %v after the withdrawal", h, looked)
		}
		o.judge.require(withdrawnIdle, true, "")
	}
}
