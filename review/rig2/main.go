// Command rig2 plays the scripted cases of the review: real daemons against the project's stand-ins
// of the platform and its upstreams, with clients of its own.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The results of a case, as exit codes.
const (
	held    = 0
	broken  = 1
	cantRun = 2
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE RECORD TROUBLE")
		os.Exit(cantRun)
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cantRun)
	}
	r := &recorder{out: out, began: time.Now()}
	cases := map[string]func(*recorder, bool) (int, error){"heads": playHeads, "joined": playJoined, "budget": playBudget}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(cantRun)
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		r.printf("result: the case could not run: it was stopped")
		endSites()
		os.Exit(cantRun)
	}()
	result, err := play(r, os.Args[3] != "0")
	if err != nil {
		r.printf("the case could not run: %v", err)
		result = cantRun
	}
	r.printf("result: %s", [...]string{"the rule held", "the rule was broken", "the case could not run"}[result])
	_ = out.Close()
	os.Exit(result)
}
