// Command soak runs randomised tests of the core's promises for one or more
// seeds. It prints the violations found and, for each promise, how often a fault
// that could break it was provoked.
package main

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"daisyshed.dev/bench/soak"
	"daisyshed.dev/core"
	"github.com/jessevdk/go-flags"
)

// options holds the command-line flags.
type options struct {
	Seed    uint64        `long:"seed" default:"1" description:"first seed"`
	Seeds   int           `long:"seeds" default:"1" description:"number of seeds from the first on"`
	Steps   uint64        `long:"steps" default:"20000" description:"least number of messages that cores take in, in all"`
	Faulty  time.Duration `long:"faulty" default:"60s" description:"virtual time under faults in each run"`
	Only    []string      `long:"only" description:"inject only this kind of fault (repeatable)"`
	Verbose bool          `long:"verbose" description:"print each run"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var e *flags.Error
		if errors.As(err, &e) && e.Type == flags.ErrHelp {
			return
		}
		os.Exit(2)
	}
	if !o.run() {
		os.Exit(1)
	}
}

// run runs seeds until both the number of seeds and the number of steps have been
// reached. It reports whether all passed.
func (o options) run() bool {
	var total totals
	total.provoked = make(map[core.Promise]int)
	for i := 0; i < o.Seeds || total.steps < o.Steps; i++ {
		r := &soak.Run{Seed: o.Seed + uint64(i), Faulty: o.Faulty, Only: o.Only}
		r.Do()
		total.add(r)
		if o.Verbose || len(r.Failures) > 0 {
			fmt.Printf("seed %d: %d steps, %+v, faults %v\n", r.Seed, r.Steps, r.Outcomes, r.Faults)
		}
		for n, f := range r.Failures {
			if n == maxPrinted {
				fmt.Printf("  and %d more\n", len(r.Failures)-n)
				break
			}
			fmt.Printf("  %s\n", f)
		}
	}
	total.print()
	return total.failed == 0
}

// maxPrinted bounds the failures printed for one seed.
const maxPrinted = 8

// totals holds the sums over all runs.
type totals struct {
	steps          uint64
	passed, failed int
	provoked       map[core.Promise]int
	broken         [core.ConfigurationMonotone + 1]int
	outcomes       soak.Outcomes
}

func (t *totals) add(r *soak.Run) {
	t.steps += r.Steps
	if len(r.Failures) == 0 {
		t.passed++
	} else {
		t.failed++
	}
	for p, n := range r.Provoked {
		t.provoked[p] += n
	}
	for _, f := range r.Failures {
		t.broken[f.Promise]++
	}
	t.outcomes = t.outcomes.Plus(r.Outcomes)
}

func (t *totals) print() {
	fmt.Printf("%-22s %10s %10s\n", "promise", "provoked", "violated")
	for p := core.MemoryReleased; p <= core.ConfigurationMonotone; p++ {
		fmt.Printf("%-22s %10d %10d\n", p, t.provoked[p], t.broken[p])
	}
	fmt.Printf("steps %d, %s\n", t.steps, strings.Trim(fmt.Sprintf("%+v", t.outcomes), "{}"))
	fmt.Printf("%d passed, %d failed\n", t.passed, t.failed)
}
