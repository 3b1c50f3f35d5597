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

// faults injects random faults into the processes of a cluster.
type faults struct {
	cluster *cluster
	judge   *judge
	seed    uint64

	rng           *rand.Rand
	group         sync.WaitGroup
	mu            sync.Mutex
	faulty        map[*process]bool
	faultyDaemons int
}

// run starts to inject faults. The returned function stops that and waits until
// all faults have ended.
func (f *faults) run() func() {
	f.rng = rand.New(rand.NewPCG(f.seed, 3000))
	f.faulty = map[*process]bool{}
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
			f.injectRandom()
		}
	}
}

// injectRandom injects a random fault.
func (f *faults) injectRandom() {
	switch f.rng.IntN(14) {
	case 12:
		f.loseDomain()
	case 13:
		f.longLogOutage()
	case 0, 1:
		f.killDaemon()
	case 2, 3:
		f.freezeProcess(f.cluster.daemons, "daemons", true)
	case 4:
		f.replaceDaemon()
	case 5:
		f.freezeProcess(f.cluster.engines, "engines", false)
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

// randomDuration returns a random duration of at least minimum and less than
// maximum.
func (f *faults) randomDuration(minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(f.rng.Int64N(int64(maximum-minimum)))
}

// freezeDuration returns a random length for a freeze: mostly short, sometimes
// longer than every promised time, suspicion time-out and lease.
func (f *faults) freezeDuration() time.Duration {
	switch n := f.rng.IntN(10); {
	case n < 6:
		return f.randomDuration(300*time.Millisecond, 2*time.Second)
	case n < 9:
		return f.randomDuration(3*time.Second, 6*time.Second)
	default:
		return f.randomDuration(11*time.Second, 16*time.Second)
	}
}

// reserve reserves a process for a kill, freeze, replacement, withdrawal or long
// outage, which must not overlap. It returns false if the process is reserved
// already, or if it is a daemon and as many daemons as allowed are faulty.
func (f *faults) reserve(p *process, daemon bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faulty[p] || daemon && f.faultyDaemons == f.cluster.opts.Down {
		return false
	}
	f.faulty[p] = true
	if daemon {
		f.faultyDaemons++
	}
	return true
}

func (f *faults) release(p *process, daemon bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.faulty, p)
	if daemon {
		f.faultyDaemons--
	}
}

func (f *faults) randomProcess(from []*process) *process { return from[f.rng.IntN(len(from))] }

// killDaemon kills a random daemon and restarts it after a random time.
func (f *faults) killDaemon() {
	f.killAndRestart(f.randomProcess(f.cluster.daemons), "daemons killed", true)
}

func (f *faults) killEngine() {
	f.killAndRestart(f.randomProcess(f.cluster.engines), "engines killed", false)
}

func (f *faults) killAndRestart(p *process, what string, daemon bool) {
	downtime := f.randomDuration(200*time.Millisecond, 4*time.Second)
	if !f.reserve(p, daemon) {
		return
	}
	f.judge.count(what)
	f.group.Go(func() {
		defer f.release(p, daemon)
		p.kill()
		time.Sleep(downtime)
		f.restart(p)
	})
}

func (f *faults) restart(p *process) {
	err := p.start()
	f.judge.require(faultsInjected, err == nil, "%s did not start again: %v", p.name, err)
}

// loseDomain kills all daemons and engines in one failure domain and restarts
// each after a random time. Processes that cannot be reserved are left out.
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

// longLogOutage takes the log down for longer than a daemon may serve with a
// stale configuration. Only one such outage lasts at a time.
func (f *faults) longLogOutage() {
	if !f.reserve(f.cluster.log, false) {
		return
	}
	f.judge.count("log down past the bound on staleness")
	length := f.randomDuration(16*time.Second, 25*time.Second)
	f.group.Go(func() {
		defer f.release(f.cluster.log, false)
		f.post(f.cluster.logAddress(), fault.Fault{Kind: fault.Down, On: true})
		time.Sleep(length)
		f.post(f.cluster.logAddress(), fault.Fault{Kind: fault.Down})
	})
}

// replaceDaemon stops a daemon with SIGTERM and starts it again once it has
// ended.
func (f *faults) replaceDaemon() {
	p := f.randomProcess(f.cluster.daemons)
	if !f.reserve(p, true) {
		return
	}
	f.judge.count("daemons replaced gracefully")
	f.group.Go(func() {
		defer f.release(p, true)
		if code := p.stop(); code != 0 {
			f.judge.count("daemons cut short when replaced")
		}
		f.restart(p)
	})
}

// freezeProcess suspends a random process with SIGSTOP for a random time.
func (f *faults) freezeProcess(from []*process, what string, daemon bool) {
	p := f.randomProcess(from)
	pause := f.freezeDuration()
	if !f.reserve(p, daemon) {
		return
	}
	f.judge.count(what + " frozen")
	if pause > 10*time.Second {
		f.judge.count(what + " frozen past every lease")
	}
	f.group.Go(func() {
		defer f.release(p, daemon)
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
		f.injectTemporarily("engines drained", address, fault.Fault{Kind: fault.Drain, On: true}, fault.Fault{Kind: fault.Drain})
	case 1:
		f.inject("engines crashed", address, fault.Fault{Kind: fault.Crash})
	case 2:
		f.inject("engines' replies lost", address, fault.Fault{Kind: fault.LoseReplies, Count: 1 + f.rng.IntN(4)})
	case 3:
		f.injectTemporarily("engines' transfers stalled", address, fault.Fault{Kind: fault.Stall, On: true}, fault.Fault{Kind: fault.Stall})
	default:
		f.injectTemporarily("engines slow", address, fault.Fault{Kind: fault.Delay, Millis: 100 + f.rng.Int64N(400)}, fault.Fault{Kind: fault.Delay})
	}
}

func (f *faults) logFault() {
	address := f.cluster.logAddress()
	switch f.rng.IntN(3) {
	case 0:
		f.injectTemporarily("log down", address, fault.Fault{Kind: fault.Down, On: true}, fault.Fault{Kind: fault.Down})
	case 1:
		f.injectTemporarily("log slow", address, fault.Fault{Kind: fault.Delay, Millis: 100 + f.rng.Int64N(1500)}, fault.Fault{Kind: fault.Delay})
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
	f.injectTemporarily("ledger slow", address, fault.Fault{Kind: fault.Delay, Millis: 100 + f.rng.Int64N(1500)}, fault.Fault{Kind: fault.Delay})
}

func (f *faults) vmsFault() {
	f.injectTemporarily("VM list down", f.cluster.vmsAddress(), fault.Fault{Kind: fault.Down, On: true}, fault.Fault{Kind: fault.Down})
}

// injectTemporarily injects a fault with on and ends it with off after a random
// time.
func (f *faults) injectTemporarily(what, address string, on, off fault.Fault) {
	length := f.randomDuration(500*time.Millisecond, 6*time.Second)
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

// post sends a fault to a stand-in and retries until startTimeout, since the
// process may be down because of another fault.
func (f *faults) post(address string, one fault.Fault) {
	body, err := json.Marshal(one)
	done := err == nil && f.cluster.waitUntil(startTimeout, func() bool {
		resp, err := f.cluster.http.Post("http://"+address+fault.Path, "application/json", bytes.NewReader(body))
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode < http.StatusMultipleChoices
	})
	f.judge.require(faultsInjected, done, "%s: %s", address, body)
}
