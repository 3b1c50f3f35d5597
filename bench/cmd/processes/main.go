// Command processes runs a soak test of the system as separate processes on
// loopback: it starts stand-ins and daemons, sends requests whose answers it can
// check completely, injects and ends faults, and prints the result of each check.
// It ends every process that it started by its process ID.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
)

// The exit codes. exitNotStarted means that the system could not be started.
const (
	exitOK         = 0
	exitFailed     = 1
	exitUsage      = 2
	exitSignal     = 130
	exitNotStarted = 3
)

type options struct {
	Seconds  int           `long:"seconds" value-name:"N" default:"60" description:"how long to send load under faults"`
	Seed     uint64        `long:"seed" value-name:"N" default:"1" description:"seed of the load and the faults"`
	Callers  int           `long:"callers" value-name:"N" default:"8" description:"callers of streamed answers"`
	Payers   int           `long:"payers" value-name:"N" default:"4" description:"callers of payments"`
	Daemons  int           `long:"daemons" value-name:"N" default:"4" description:"number of daemons"`
	Down     int           `long:"down" value-name:"N" default:"2" description:"how many daemons may be faulty at a time"`
	Every    time.Duration `long:"every" value-name:"TIME" default:"900ms" description:"mean time between two faults"`
	Bin      string        `long:"bin" value-name:"DIR" default:"bin" description:"directory of the built programs"`
	Profiles string        `long:"profiles" value-name:"DIR" default:"examples/prairie" description:"directory of the profiles to publish"`
	Keep     string        `long:"keep" value-name:"DIR" description:"keep the processes' logs in this directory"`
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var opts options
	if _, err := flags.NewParser(&opts, flags.Default).ParseArgs(args); err != nil {
		var flagged *flags.Error
		if errors.As(err, &flagged) && flagged.Type == flags.ErrHelp {
			return exitOK
		}
		return exitUsage
	}
	c, closeCluster, err := openCluster(opts)
	if err != nil {
		fmt.Println(err)
		return exitNotStarted
	}
	defer closeCluster()
	result := make(chan int, 1)
	go func() { result <- soak(c, opts) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case code := <-result:
		return code
	case <-signals:
		return exitSignal
	}
}

// soak runs load and faults for the given time, ends the faults and checks the
// outcome.
func soak(c *cluster, opts options) int {
	j := &judge{}
	if err := c.start(); err != nil {
		fmt.Println(err)
		return exitNotStarted
	}
	l := &load{cluster: c, judge: j, seed: opts.Seed}
	f := &faults{cluster: c, judge: j, seed: opts.Seed}
	stopLoad := l.run(opts.Callers, opts.Payers)
	stopFaults := f.run()
	o := &operator{cluster: c, judge: j, faults: f, rng: l.newRand(4000)}
	stopOperator := o.run()
	time.Sleep(time.Duration(opts.Seconds) * time.Second)
	stopOperator()
	stopFaults()
	o.afterFaults()
	stopLoad()
	l.afterFaults()
	j.checkMemory(c)
	j.checkPayments(c, l)
	j.checkDaemons(c)
	return j.print(os.Stdout)
}
