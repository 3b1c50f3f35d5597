package hosted

import (
	"syscall"
	"time"

	"daisyshed.dev/standin/hostedworker"
)

const (
	// A silent worker is silent for minSilence to maxSilence. It stays sound, so that no
	// request may end without an answer because of that.
	minSilence = time.Second
	maxSilence = 2 * time.Second
	// silentFault is how long after the start of a silence something else begins at most.
	silentFault = 800 * time.Millisecond
	// endlessShare is the share of a worker's requests that it answers with bytes without
	// end, for up to maxEndless.
	endlessShare = 0.1
	maxEndless   = 3 * time.Second
	// silencedShare is the share of open connections that are silenced together, and
	// maxSeverings how often in a row.
	silencedShare = 0.9
	maxSeverings  = 3
)

// silenceWorker makes a random worker silent.
func (d *deployment) silenceWorker() {
	w, id := d.randomRunningWorker()
	d.silence(id, w)
}

func (d *deployment) silence(id string, w *hostedworker.Worker) {
	silence := minSilence + time.Duration(d.rng.Int64N(int64(maxSilence-minSilence)))
	d.judge.recordSilence(id, silence)
	w.Silence(silence)
}

// silenceWorkers makes each worker silent with a probability of a half, all at the same
// moment, and returns after a part of the silence.
func (d *deployment) silenceWorkers() {
	d.mu.Lock()
	for _, id := range d.workerIDs() {
		if d.rng.IntN(2) == 0 {
			d.silence(id, d.workers[id].worker)
		}
	}
	d.mu.Unlock()
	time.Sleep(time.Duration(d.rng.Int64N(int64(silentFault))))
}

// changeStateWhileSilent changes the desired state while workers are silent, and in half
// of the cases has a node reload its settings as well.
func (d *deployment) changeStateWhileSilent() {
	d.silenceWorkers()
	d.changeStateInSeries()
	if d.rng.IntN(2) == 0 {
		d.signal(d.randomNode(), syscall.SIGHUP)
	}
}

// stopNodesWhileSilent stops a node, or all one after the other, while workers are silent.
func (d *deployment) stopNodesWhileSilent() {
	d.silenceWorkers()
	switch d.rng.IntN(3) {
	case 0:
		d.stopNode()
	case 1:
		d.signalInSeries()
	default:
		d.rollNodes()
	}
}

// silenceConnections silences most open connections of nodes to the store and to each other,
// and changes the desired state, again and again.
func (d *deployment) silenceConnections() {
	for range 1 + d.rng.IntN(maxSeverings) {
		d.judge.beginDisturbance()()
		for _, l := range append(append([]*proxy(nil), d.links...), d.peerLinks...) {
			l.silence(d.rng, silencedShare)
		}
		d.silencedAt.Store(time.Now().UnixNano())
		d.changeState()
		time.Sleep(time.Duration(d.rng.Int64N(int64(silentFault))))
	}
}

// sendEndlessBytes has a random worker send bytes without end, or what is no answer, instead of some
// answers. If long uploads are to be answered early, all plain workers do so, and callers send some.
func (d *deployment) sendEndlessBytes() {
	w, _ := d.randomRunningWorker()
	workers, share := []*hostedworker.Worker{w}, endlessShare
	fault := hostedworker.FirstEndless + hostedworker.Fault(d.rng.IntN(int(hostedworker.LastInvalid-hostedworker.FirstEndless+1)))
	if fault == hostedworker.EarlyPart {
		workers, share = d.plainWorkers(), 1
		d.longUploads.Store(true)
	}
	setFault := func(f hostedworker.Fault) {
		for _, w := range workers {
			w.SetFault(f, share)
		}
	}
	setFault(fault)
	d.afterRandomDelay(maxEndless, func() {
		setFault(hostedworker.NoFault)
		d.longUploads.Store(false)
	})
}

// plainWorkers returns the running workers of plain services.
func (d *deployment) plainWorkers() []*hostedworker.Worker {
	d.mu.Lock()
	defer d.mu.Unlock()
	var workers []*hostedworker.Worker
	for _, id := range d.workerIDs() {
		if m := d.workers[id]; m.stage == "" {
			workers = append(workers, m.worker)
		}
	}
	return workers
}
