package main

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"daisyshed.dev/standin/fault"
)

// faults injects faults into the processes of a cluster.
type faults struct {
	cluster *cluster
	judge   *judge
	seed    uint64

	rng   *rand.Rand
	group sync.WaitGroup
	mu    sync.Mutex
	busy  map[*process]bool
	down  int
}

// run injects faults until the function returned is called, which waits until
// all are healed.
func (f *faults) run() func() {
	f.rng = rand.New(rand.NewPCG(f.seed, 3000))
	f.busy = map[*process]bool{}
	ctx, stop := context.WithCancel(context.Background())
	f.group.Go(func() { f.loop(ctx) })
	return func() {
		stop()
		f.group.Wait()
	}
}

func (f *faults) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(f.rng.Float64() * 2 * float64(f.cluster.opts.Every))):
			f.one()
		}
	}
}

// one chooses a fault and injects it.
func (f *faults) one() {
	switch f.rng.IntN(14) {
	case 12:
		f.loseDomain()
	case 13:
		f.longOutage()
	case 0, 1:
		f.killDaemon()
	case 2, 3:
		f.freeze(f.cluster.daemons, "daemons", true)
	case 4:
		f.leaveDaemon()
	case 5:
		f.freeze(f.cluster.engines, "engines", false)
	case 6:
		f.killEngine()
	case 7, 8:
		f.engineFault()
	case 9:
		f.logFault()
	case 10:
		f.ledgerFault()
	default:
		f.vmsFault()
	}
}

// between returns a random duration.
func (f *faults) between(least, most time.Duration) time.Duration {
	return least + time.Duration(f.rng.Int64N(int64(most-least)))
}

// pause returns the length of a freeze: mostly short, sometimes past every
// promise, suspicion and lease.
func (f *faults) pause() time.Duration {
	switch n := f.rng.IntN(10); {
	case n < 6:
		return f.between(300*time.Millisecond, 2*time.Second)
	case n < 9:
		return f.between(3*time.Second, 6*time.Second)
	default:
		return f.between(11*time.Second, 16*time.Second)
	}
}

// take reserves a process for a fault, if it may have one.
func (f *faults) take(p *process, daemon bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.busy[p] || daemon && f.down == f.cluster.opts.Down {
		return false
	}
	f.busy[p] = true
	if daemon {
		f.down++
	}
	return true
}

func (f *faults) free(p *process, daemon bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.busy, p)
	if daemon {
		f.down--
	}
}

func (f *faults) choose(from []*process) *process { return from[f.rng.IntN(len(from))] }

// killDaemon kills a daemon and starts it again after a while.
func (f *faults) killDaemon() { f.killAndRestart(f.choose(f.cluster.daemons), "daemons killed", true) }

func (f *faults) killEngine() { f.killAndRestart(f.choose(f.cluster.engines), "engines killed", false) }

func (f *faults) killAndRestart(p *process, what string, daemon bool) {
	gone := f.between(200*time.Millisecond, 4*time.Second)
	if !f.take(p, daemon) {
		return
	}
	f.judge.count(what)
	f.group.Go(func() {
		defer f.free(p, daemon)
		p.kill()
		time.Sleep(gone)
		f.restart(p)
	})
}

func (f *faults) restart(p *process) {
	err := p.start()
	f.judge.require(faultsInjected, err == nil, "%s did not start again: %v", p.name, err)
}

// loseDomain kills all that runs in one failure domain.
func (f *faults) loseDomain() {
	lost := domain(f.rng.IntN(len(domains)))
	f.judge.count("failure domains lost")
	for i, p := range f.cluster.daemons {
		if domain(i) == lost {
			f.killAndRestart(p, "daemons killed", true)
		}
	}
	for i, p := range f.cluster.engines {
		if domain(i) == lost {
			f.killAndRestart(p, "engines killed", false)
		}
	}
}

// longOutage takes the log down past the bound on a stale configuration, at
// most once at a time.
func (f *faults) longOutage() {
	if !f.take(f.cluster.log, false) {
		return
	}
	f.judge.count("log down past the bound on staleness")
	length := f.between(16*time.Second, 25*time.Second)
	f.group.Go(func() {
		defer f.free(f.cluster.log, false)
		f.post(f.cluster.logAddress(), fault.Fault{Kind: fault.Down, On: true})
		time.Sleep(length)
		f.post(f.cluster.logAddress(), fault.Fault{Kind: fault.Down})
	})
}

// leaveDaemon replaces a daemon gracefully.
func (f *faults) leaveDaemon() {
	p := f.choose(f.cluster.daemons)
	if !f.take(p, true) {
		return
	}
	f.judge.count("daemons replaced gracefully")
	f.group.Go(func() {
		defer f.free(p, true)
		if code := p.stop(); code != 0 {
			f.judge.count("daemons cut short when replaced")
		}
		f.restart(p)
	})
}

// freeze stops a process for a while.
func (f *faults) freeze(from []*process, what string, daemon bool) {
	p := f.choose(from)
	pause := f.pause()
	if !f.take(p, daemon) {
		return
	}
	f.judge.count(what + " frozen")
	if pause > 10*time.Second {
		f.judge.count(what + " frozen past every lease")
	}
	f.group.Go(func() {
		defer f.free(p, daemon)
		p.signal(syscall.SIGSTOP)
		time.Sleep(pause)
		p.signal(syscall.SIGCONT)
	})
}

func (f *faults) engineFault() {
	i := f.rng.IntN(len(f.cluster.engines))
	address := f.cluster.engineAddress(i)
	switch f.rng.IntN(5) {
	case 0:
		f.during("engines drained", address, fault.Fault{Kind: fault.Drain, On: true}, fault.Fault{Kind: fault.Drain})
	case 1:
		f.inject("engines crashed", address, fault.Fault{Kind: fault.Crash})
	case 2:
		f.inject("engines' replies lost", address, fault.Fault{Kind: fault.LoseReplies, Count: 1 + f.rng.IntN(4)})
	case 3:
		f.during("engines' transfers stalled", address, fault.Fault{Kind: fault.Stall, On: true}, fault.Fault{Kind: fault.Stall})
	default:
		f.during("engines slow", address, fault.Fault{Kind: fault.Delay, Millis: 100 + f.rng.Int64N(400)}, fault.Fault{Kind: fault.Delay})
	}
}

func (f *faults) logFault() {
	address := f.cluster.logAddress()
	switch f.rng.IntN(3) {
	case 0:
		f.during("log down", address, fault.Fault{Kind: fault.Down, On: true}, fault.Fault{Kind: fault.Down})
	case 1:
		f.during("log slow", address, fault.Fault{Kind: fault.Delay, Millis: 100 + f.rng.Int64N(1500)}, fault.Fault{Kind: fault.Delay})
	default:
		f.inject("log's replies lost", address, fault.Fault{Kind: fault.LoseReplies, Count: 1 + f.rng.IntN(6)})
	}
}

func (f *faults) ledgerFault() {
	address := f.cluster.ledgerAddress()
	if f.rng.IntN(2) == 0 {
		f.inject("ledger's replies lost", address, fault.Fault{Kind: fault.LoseReplies, Count: 1 + f.rng.IntN(3)})
		return
	}
	f.during("ledger slow", address, fault.Fault{Kind: fault.Delay, Millis: 100 + f.rng.Int64N(1500)}, fault.Fault{Kind: fault.Delay})
}

func (f *faults) vmsFault() {
	f.during("VM list down", f.cluster.vmsAddress(), fault.Fault{Kind: fault.Down, On: true}, fault.Fault{Kind: fault.Down})
}

// during injects a fault and heals it after a while.
func (f *faults) during(what, address string, on, off fault.Fault) {
	length := f.between(500*time.Millisecond, 6*time.Second)
	f.judge.count(what)
	f.group.Go(func() {
		f.post(address, on)
		time.Sleep(length)
		f.post(address, off)
	})
}

func (f *faults) inject(what, address string, one fault.Fault) {
	f.judge.count(what)
	f.group.Go(func() { f.post(address, one) })
}

// post injects a fault, again and again while its process is not there.
func (f *faults) post(address string, one fault.Fault) {
	body, err := json.Marshal(one)
	done := err == nil && f.cluster.until(startTimeout, func() bool {
		resp, err := f.cluster.http.Post("http://"+address+fault.Path, "application/json", bytes.NewReader(body))
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode < http.StatusMultipleChoices
	})
	f.judge.require(faultsInjected, done, "%s: %s", address, body)
}
