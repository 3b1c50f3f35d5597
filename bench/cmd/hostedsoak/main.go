// Command hostedsoak runs randomised soak tests for many seeds: each runs real
// daemons on one machine as the platform would and injects faults.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"daisyshed.dev/bench/hosted"
	"github.com/jessevdk/go-flags"
)

type options struct {
	Bin      string        `long:"bin" value-name:"FILE" description:"the daemon's program" required:"true"`
	Seed     uint64        `long:"seed" value-name:"N" description:"first seed" default:"1"`
	Seeds    int           `long:"seeds" value-name:"N" description:"number of seeds" default:"50"`
	Length   time.Duration `long:"length" value-name:"TIME" description:"time for which faults are injected" default:"8s"`
	Parallel int           `long:"parallel" value-name:"N" description:"runs at a time; each has some ten processes' load" default:"3"`
	Nodes    int           `long:"nodes" value-name:"N" description:"daemons of a run" default:"4"`
	Callers  int           `long:"callers" value-name:"N" description:"callers of a run" default:"24"`
	Faults   []string      `long:"faults" value-name:"TEXT" description:"only faults whose names contain this; may be repeated"`
	Other    string        `long:"other-daemon" value-name:"FILE" description:"another build's program, which half of the nodes begin with; each start of a node may be with either"`
	OmitBorn bool          `long:"omit-born" description:"some workers do not say in their answers when they started"`
}

// interrupted is the exit code after a signal.
const interrupted = 130

func main() { os.Exit(run()) }

func run() int {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		return 2
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		hosted.EndAll()
		os.Exit(interrupted)
	}()
	var wait sync.WaitGroup
	var mu sync.Mutex
	slots := make(chan struct{}, max(opts.Parallel, 1))
	failed := 0
	injected := map[string]int{}
	for i := range opts.Seeds {
		wait.Add(1)
		go func() {
			defer wait.Done()
			slots <- struct{}{}
			defer func() { <-slots }()
			result, err := hosted.Run(opts.Bin, opts.Seed+uint64(i), opts.Length, hosted.Size{Nodes: opts.Nodes, Callers: opts.Callers, Faults: opts.Faults, OmitBorn: opts.OmitBorn, Other: opts.Other})
			mu.Lock()
			defer mu.Unlock()
			for kind, n := range result.Injected {
				injected[kind] += n
			}
			if err != nil {
				failed++
				fmt.Println("seed", opts.Seed+uint64(i), "error:", err)
				return
			}
			fmt.Println("seed", result.Seed, "faults:", len(result.Violations), result.Counts)
			if len(result.Violations) == 0 {
				return
			}
			failed++
			fmt.Println("  logs:", result.LogDir)
			for _, f := range result.Violations[:min(len(result.Violations), 8)] {
				fmt.Println(" ", f)
			}
		}()
	}
	wait.Wait()
	fmt.Println("injected:", injected)
	fmt.Printf("%d seeds, %d failed\n", opts.Seeds, failed)
	if failed > 0 {
		return 1
	}
	return 0
}
