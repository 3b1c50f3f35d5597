// Command capacity measures how the core's costs grow with the load and the size
// of the fleet, and prints the results as a table or as JSON lines.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"daisyshed.dev/bench/capacity"
	"github.com/jessevdk/go-flags"
)

// options holds the command-line flags.
type options struct {
	Only  []string      `long:"only" description:"part to measure, may be repeated: membership, configuration, books, once, failure"`
	Seed  uint64        `long:"seed" default:"1" description:"seed of the nodes' random choices"`
	JSON  bool          `long:"json" description:"print JSON lines"`
	Limit time.Duration `long:"limit" default:"10m" description:"longest time that the command may run"`
}

// memoryLimit is the soft memory limit of the Go runtime, in bytes.
const memoryLimit = 2 << 30

// exitTimedOut is the exit status if the measurements exceed the time limit.
const exitTimedOut = 3

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	debug.SetMemoryLimit(memoryLimit)
	time.AfterFunc(o.Limit, func() {
		fmt.Fprintln(os.Stderr, "capacity: time is up")
		os.Exit(exitTimedOut)
	})
	if err := capacity.Measure(o.Only, o.Seed, printer(o.JSON)); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(2)
	}
}

// printer returns a function that prints a row, as a JSON line if lines is set.
func printer(lines bool) func(capacity.Row) {
	if lines {
		out := json.NewEncoder(os.Stdout)
		return func(r capacity.Row) { _ = out.Encode(r) }
	}
	return func(r capacity.Row) {
		fmt.Printf("%-14s %-34s %-52s %14.4g %s\n", r.Part, r.Case, r.Measure, r.Value, r.Unit)
	}
}
