package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"daisyshed.dev/standin/ledger"
	wire "daisyshed.dev/wire/engine"
)

const (
	// releaseWithin is the promised time within which engine memory is released
	// after the end of the last request.
	releaseWithin = 5 * time.Second
	// maxDetails bounds the failures printed for one check.
	maxDetails = 8
)

// check is a condition that a run has to satisfy, in the words of the report.
type check string

const (
	answerComplete      check = "every answer whole, in order, each token once"
	answeredInTime      check = "every request answered before the time to give up"
	endedOnReconnect    check = "a caller that has the whole answer is not left waiting"
	answeredAfterFaults check = "every request answered once the faults are healed"
	rejectionWellFormed check = "every refusal typed, with a time to come back"
	paidOnce            check = "no key in the ledger twice"
	paidIfRan           check = "what was called Ran is in the ledger"
	notRunTrue          check = "what was called NotRun is not in the ledger"
	paymentAnswerOwn    check = "every payment's answer is its own"
	memoryReleased      check = "engines' lists empty within 5 s of the last request's end"
	daemonsAlive        check = "no daemon ended by itself"
	noViolations        check = "no invariant violated inside a daemon"
	stoppedCleanly      check = "every daemon finished its work after SIGTERM"
	neverReverts        check = "no daemon's configuration goes back"
	revisionInForce     check = "what was accepted in force everywhere within 5 s of the faults' end"
	withdrawnIdle       check = "no new work at a withdrawn engine after 3 s"
	faultsInjected      check = "every fault was injected"
)

var checks = []check{
	answerComplete, answeredInTime, endedOnReconnect, answeredAfterFaults, rejectionWellFormed,
	paidOnce, paidIfRan, notRunTrue, paymentAnswerOwn,
	memoryReleased, daemonsAlive, noViolations, stoppedCleanly, neverReverts, revisionInForce,
	withdrawnIdle, faultsInjected,
}

// judge collects the results of the checks and the counts of injected faults and
// observed outcomes.
type judge struct {
	mu     sync.Mutex
	passed map[check]int
	failed map[check][]string
	counts map[string]int
}

// require records whether a check passed; format and args describe a failure.
func (j *judge) require(c check, ok bool, format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.passed == nil {
		j.passed = map[check]int{}
		j.failed = map[check][]string{}
	}
	if ok {
		j.passed[c]++
		return
	}
	j.failed[c] = append(j.failed[c], time.Now().UTC().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// count adds one to the count of an injected fault or an observed outcome.
func (j *judge) count(what string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.counts == nil {
		j.counts = map[string]int{}
	}
	j.counts[what]++
}

// checkMemory requires that the engines release all memory within releaseWithin.
func (j *judge) checkMemory(c *cluster) {
	var held []string
	empty := c.waitUntil(releaseWithin, func() bool {
		held = c.heldAllocations()
		return len(held) == 0
	})
	j.require(memoryReleased, empty, "still held: %s", strings.Join(held, ", "))
}

// heldAllocations lists the allocations that the engines report, and the engines
// that do not answer.
func (c *cluster) heldAllocations() []string {
	var held []string
	for i, e := range c.engines {
		var report wire.Report
		if !c.getJSON("http://"+c.engineAddress(i)+wire.ReportPath, &report) {
			held = append(held, e.name+" does not answer")
		}
		for _, h := range report.Held {
			held = append(held, fmt.Sprintf("%s %+v", e.name, h))
		}
	}
	return held
}

// ledgerCounts returns how often each idempotency key is in the ledger. The second
// result is false if the ledger does not answer.
func (c *cluster) ledgerCounts() (map[string]int, bool) {
	var list ledger.List
	if !c.getJSON("http://"+c.ledgerAddress()+"/v1/ran", &list) {
		return nil, false
	}
	times := map[string]int{}
	for _, e := range list.Ran {
		times[e.Key]++
	}
	return times, true
}

// checkPayments compares the outcomes that payers received with the ledger's
// entries.
func (j *judge) checkPayments(c *cluster, l *load) {
	times, ok := c.ledgerCounts()
	j.require(paidOnce, ok, "the ledger does not answer")
	for key, n := range times {
		if key != "" {
			j.require(paidOnce, n == 1, "%s ran %d times", key, n)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, p := range l.payments {
		switch {
		case p.notRun && p.indefinite:
			j.count(fmt.Sprintf("payments NotRun in the end after an attempt left open, in the ledger %d times", times[key]))
		case p.ran:
			j.require(paidIfRan, times[key] == 1, "%s was called Ran and is in the ledger %d times", key, times[key])
		case p.notRun:
			j.require(notRunTrue, times[key] == 0, "%s was called NotRun for good and is in the ledger", key)
		case times[key] > 0:
			j.count("payments left Unknown that ran")
		default:
			j.count("payments left Unknown that did not run")
		}
	}
}

// checkDaemons requires that all daemons still run, shut down cleanly on SIGTERM
// and logged neither an invariant violation nor a panic.
func (j *judge) checkDaemons(c *cluster) {
	for _, d := range c.daemons {
		j.require(daemonsAlive, d.alive(), "%s ended by itself", d.name)
		d.signal(syscall.SIGTERM)
	}
	for _, d := range c.daemons {
		code := d.stop()
		j.require(stoppedCleanly, code == 0, "%s ended with exit code %d", d.name, code)
		j.checkLog(d)
	}
}

func (j *judge) checkLog(d *process) {
	f, err := os.Open(d.logFile())
	if err != nil {
		j.require(noViolations, false, "%s: %v", d.name, err)
		return
	}
	defer f.Close()
	bad := 0
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		line := lines.Text()
		if strings.Contains(line, `"Event":"Violation"`) || strings.HasPrefix(line, "panic:") {
			bad++
			j.require(noViolations, false, "%s: %s", d.name, line)
		}
	}
	j.require(noViolations, bad == 0, "%s: %d lines", d.name, bad)
}

// print writes the counts and the result of each check, and returns the exit
// code.
func (j *judge) print(w io.Writer) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	fmt.Fprintln(w, "provoked and seen:")
	var names []string
	for name := range j.counts {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(w, "  %6d  %s\n", j.counts[name], name)
	}
	passed, failed := 0, 0
	for _, c := range checks {
		bad := j.failed[c]
		passed += j.passed[c]
		failed += len(bad)
		verdict := "ok  "
		if len(bad) > 0 {
			verdict = "FAIL"
		}
		if len(bad) == 0 && j.passed[c] == 0 {
			verdict = "none"
		}
		fmt.Fprintf(w, "%s  %s: %d held, %d did not\n", verdict, c, j.passed[c], len(bad))
		for _, detail := range bad[:min(len(bad), maxDetails)] {
			fmt.Fprintf(w, "        %s\n", detail)
		}
	}
	fmt.Fprintf(w, "%d passed, %d failed\n", passed, failed)
	if failed > 0 {
		return exitFailed
	}
	return exitOK
}
