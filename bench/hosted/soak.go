package hosted

import (
	"context"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"daisyshed.dev/standin/hostedsite"
	"daisyshed.dev/standin/hostedworker"
	"daisyshed.dev/standin/metastore"
)

const (
	// startWithin bounds the time until all nodes are ready.
	startWithin = 10 * time.Second
	// faultGap bounds the pause between two faults, which overlap.
	faultGap = 700 * time.Millisecond
	// settle is the time after the last fault until all has to work again, and
	// calmFor the time for which that is judged.
	settle  = 6 * time.Second
	calmFor = 2 * time.Second
	// calmShare is the share of requests that has to be answered then.
	calmShare = 0.95
	// reloadWithin is how long a daemon may take to notice changed settings: it
	// looks once a second.
	reloadWithin = 3 * time.Second
)

// Result is what a run showed.
type Result struct {
	Seed   uint64
	Faults []string
	Counts map[string]int
	// Injected counts the injected faults by kind.
	Injected map[string]int
	// LogDir holds the daemons' logs of a run that broke a promise.
	LogDir string
}

// NotReadyError says that a run's daemons did not start in time.
type NotReadyError struct {
	Seed uint64
	Logs string
}

// Error says where their logs are.
func (e *NotReadyError) Error() string {
	return fmt.Sprintf("seed %d: not all nodes are ready after %v; logs in %s", e.Seed, startWithin, e.Logs)
}

// Run plays one seed for a time: load, faults in series and overlapping, then a
// calm end. bin is the daemon's program.
func Run(bin string, seed uint64, length time.Duration) (Result, error) {
	d, closeDeployment, err := open(bin, seed)
	if err != nil {
		return Result{}, err
	}
	closed := false
	defer func() {
		if !closed {
			closeDeployment()
		}
	}()
	if !d.allReady(startWithin) {
		return Result{}, &NotReadyError{Seed: seed, Logs: d.dir}
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{d: d}
	l.run(ctx)
	injected := d.disturb(length)
	d.calm()
	time.Sleep(settle)
	l.calm.Store(true)
	time.Sleep(calmFor)
	l.calm.Store(false)
	cancel()
	l.wait.Wait()
	result := Result{Seed: seed, Faults: d.judge.verdict(), Counts: d.judge.counts, Injected: injected}
	if asked, ok := l.asked.Load(), l.ok.Load(); asked == 0 || float64(ok) < calmShare*float64(asked) {
		result.Faults = append(result.Faults, fmt.Sprintf("in the calm end, %d of %d requests were answered", ok, asked))
	}
	if len(result.Faults) > 0 {
		result.LogDir = d.dir
		d.dir = ""
	}
	closed = true
	closeDeployment()
	return result, nil
}

func (d *deployment) allReady(within time.Duration) bool {
	until := time.Now().Add(within)
	for time.Now().Before(until) {
		ready := 0
		for i := range nodes {
			if d.ready(i) {
				ready++
			}
		}
		if ready == nodes {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// disturb injects faults at random for a time, and waits for those that take
// longer. It returns how many of each kind there were.
func (d *deployment) disturb(length time.Duration) map[string]int {
	kinds := map[string]func(){
		"node killed": d.killNode, "node stopped": d.stopNode, "node frozen": d.freezeNode,
		"store away": d.storeAway, "store loses answers": d.storeLoses, "store compacted": d.storeCompacted,
		"worker crashed": d.crashWorker, "worker faulty": d.faultyWorker, "worker drained": d.drainWorker,
		"settings changed": d.changeSettings, "link harmed": d.breakLink,
		"state changed": func() { d.publish(d.rng.IntN(2) == 0) },
	}
	if d.upstreamsOnly {
		maps.DeleteFunc(kinds, func(name string, _ func()) bool {
			return !strings.HasPrefix(name, "worker") && !strings.HasSuffix(name, "changed")
		})
	}
	names := slices.Sorted(maps.Keys(kinds))
	injected := map[string]int{}
	until := time.Now().Add(length)
	for time.Now().Before(until) {
		name := names[d.rng.IntN(len(names))]
		injected[name]++
		kinds[name]()
		time.Sleep(time.Duration(d.rng.Int64N(int64(faultGap))))
	}
	return injected
}

// calm ends all faults that last.
func (d *deployment) calm() {
	d.store.SetMode(metastore.Serving)
	d.store.SetLostReplyShare(0)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range d.workers {
		m.worker.SetFault(hostedworker.NoFault, 0)
		m.link.set(linkSound)
	}
	for _, l := range d.links {
		l.set(linkSound)
	}
}

// later does something after a random time up to most.
func (d *deployment) later(most time.Duration, do func()) {
	wait := time.Duration(d.rng.Int64N(int64(most)))
	go func() {
		select {
		case <-time.After(wait):
		case <-d.done:
		}
		do()
	}()
}

func (d *deployment) node() *process { return d.nodes[d.rng.IntN(len(d.nodes))] }

func (d *deployment) restart(p *process) {
	select {
	case <-d.done:
		return
	default:
	}
	if err := d.startNode(p); err != nil {
		d.judge.fault("a node did not start again: " + err.Error())
	}
}

// killNode kills a node and starts it again.
func (d *deployment) killNode() {
	p, end := d.node(), d.judge.disturb()
	d.kill(p)
	d.later(2*time.Second, func() {
		d.kill(p)
		d.restart(p)
		end()
	})
}

// stopNode stops a node as planned work does, and starts it again.
func (d *deployment) stopNode() {
	p, end := d.node(), d.judge.disturb()
	d.signal(p, syscall.SIGTERM)
	go func() {
		defer end()
		timer := time.AfterFunc(grace, func() { d.signal(p, syscall.SIGKILL) })
		defer timer.Stop()
		d.wait(p)
		d.restart(p)
	}()
}

// freezeNode lets a node stand still for a while.
func (d *deployment) freezeNode() {
	p, end := d.node(), d.judge.disturb()
	d.signal(p, syscall.SIGSTOP)
	d.later(2500*time.Millisecond, func() {
		d.signal(p, syscall.SIGCONT)
		end()
	})
}

// changeSettings changes a node's settings without a signal. Where nodes are
// left alone, the change has to be in force soon.
func (d *deployment) changeSettings() {
	p := d.node()
	d.mu.Lock()
	p.ratio += 0.01
	ratio := p.ratio
	d.mu.Unlock()
	if _, err := d.writeSettings(p); err != nil {
		d.judge.fault("the settings were not written: " + err.Error())
		return
	}
	if !d.upstreamsOnly {
		return
	}
	want, log := fmt.Sprintf(`"RetryRatio":%g`, ratio), filepath.Join(d.dir, fmt.Sprintf("n%d.log", p.index+1))
	until := time.Now().Add(reloadWithin)
	for time.Now().Before(until) {
		raw, err := os.ReadFile(log)
		if err == nil && strings.Contains(string(raw), want) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	d.judge.fault(fmt.Sprintf("n%d: changed settings were not in force after %v", p.index+1, reloadWithin))
}

func (d *deployment) storeAway() {
	end := d.judge.disturb()
	d.store.SetMode(metastore.Mode(1 + d.rng.IntN(int(metastore.Unresponsive))))
	d.later(3*time.Second, func() {
		d.store.SetMode(metastore.Serving)
		end()
	})
}

func (d *deployment) storeLoses() {
	end := d.judge.disturb()
	d.store.SetLostReplyShare(0.4)
	d.later(2*time.Second, func() {
		d.store.SetLostReplyShare(0)
		end()
	})
}

func (d *deployment) storeCompacted() {
	d.store.Compact(metastore.UpstreamTopic)
	d.store.Compact(metastore.OperatorTopic)
}

// worker returns a random worker's id.
func (d *deployment) worker() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	ids := d.workerIDs()
	return ids[d.rng.IntN(len(ids))]
}

// replacement starts a worker of the kind of another one.
func (d *deployment) replacement(id string) func() {
	d.mu.Lock()
	defer d.mu.Unlock()
	service, stage := d.workers[id].service, ""
	if service == hostedsite.ModelService {
		stage = hostedworker.Decode
		if d.rng.IntN(3) == 0 {
			stage = hostedworker.Prefill
		}
	}
	return func() { d.addWorker(service, stage) }
}

func (d *deployment) crashWorker() {
	id := d.worker()
	add := d.replacement(id)
	d.removeWorker(id)
	d.later(time.Second, add)
}

func (d *deployment) faultyWorker() {
	d.mu.Lock()
	ids := d.workerIDs()
	w := d.workers[ids[d.rng.IntN(len(ids))]].worker
	d.mu.Unlock()
	w.SetFault(hostedworker.Fault(1+d.rng.IntN(int(hostedworker.RespondTwice))), 0.3)
	d.later(3*time.Second, func() { w.SetFault(hostedworker.NoFault, 0) })
}

// drainWorker lets a worker leave as planned: a new one first, then the word
// that the old one leaves, then its end.
func (d *deployment) drainWorker() {
	id := d.worker()
	d.replacement(id)()
	d.mu.Lock()
	m := d.workers[id]
	d.mu.Unlock()
	m.worker.Drain()
	d.store.Put(metastore.UpstreamTopic, id, m.worker.Entry())
	go func() {
		time.Sleep(4 * time.Second)
		d.removeWorker(id)
	}()
}
