// Command rig3 plays the scripted cases of the third review: stand-ins of the platform's store, of
// workers and of clients, and real daemons on loopback addresses. It is run in the repository's folder.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

func main() { os.Exit(run()) }

func run() int {
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	name := flag.String("case", "memory", "the case to play")
	trouble := flag.String("trouble", "1", "0 leaves the disruption out")
	flag.Parse()
	s, err := newSite(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.close()
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupts
		s.abandon()
		os.Exit(2)
	}()
	if err := s.open(); err != nil {
		s.logf("not started: %v", err)
		return 2
	}
	s.logf("case %s, trouble %s", *name, *trouble)
	switch *name {
	case "memory":
		return memory(s, *trouble != "0")
	default:
		fmt.Fprintln(os.Stderr, "unknown case")
		return 2
	}
}

// open starts three workers and three daemons, one in each zone.
func (s *site) open() error {
	s.routes = []map[string]any{
		{"Name": "r-pay", "Host": s.host, "PathPrefix": "/puxa403/", "Kind": "non_idempotent", "TimeoutMs": 1500, "SloMs": 150, "Priority": 1, "Service": "xano55b", "MaxAttempts": 1},
		{"Name": "r-read", "Host": s.host, "PathPrefix": "/cufi504/", "Kind": "idempotent", "TimeoutMs": 1500, "SloMs": 150, "Priority": 1, "Service": "xano55b", "MaxAttempts": 2},
	}
	s.putState(3)
	zones := []string{"prairie-west-a", "prairie-west-b", "prairie-west-c"}
	for i, zone := range zones {
		if err := s.addWorker(i, zone, 6, 30*time.Millisecond); err != nil {
			return err
		}
	}
	for i, zone := range zones {
		if err := s.addNode(i+1, zone); err != nil {
			return err
		}
	}
	if !s.awaitReady(15 * time.Second) {
		return fmt.Errorf("the daemons are not ready")
	}
	return nil
}
