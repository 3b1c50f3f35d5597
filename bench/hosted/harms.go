package hosted

import (
	"slices"
	"time"
)

// harmTolerance is how long after the end of a harm its effects are still put down to it.
const harmTolerance = time.Second

//go:generate stringer -type=harmKind -linecomment -output=harm_string.go

// harmKind is a kind of harm to a node, a worker or the link to a worker.
type harmKind int

const (
	// nodeKilled is a SIGKILL, and nodeFrozen a SIGSTOP until the SIGCONT.
	nodeKilled harmKind = iota // killed
	nodeFrozen                 // frozen
	// nodeCutOff is a partition of a node from the store, and nodeStranded one from all
	// upstreams.
	nodeCutOff   // cut off
	nodeStranded // stranded
	// nodeStopped is a SIGTERM until the process has ended.
	nodeStopped // stopped
	// nodeFormer is a node whose program is the other one of a run with two, which knows no keys.
	nodeFormer // other program
	// workerCrashed has no end: a worker that takes the place has an ID of its own.
	workerCrashed // crashed
	// workerFrozen is a worker that is suspended, with its heartbeats, and workerExpired
	// the part of that in which its entry has expired.
	workerFrozen  // frozen
	workerExpired // expired
	// workerSilent is a worker that is silent, which excuses nothing.
	workerSilent // silent
	// linkHarmed is a fault of the link between the nodes and a worker.
	linkHarmed // link harmed
	// storeHarmed is a fault of the store.
	storeHarmed // store harmed
)

// theStore is the subject of harms to the store.
const theStore = "store"

// harm is something that was done to a node, a worker or a link. to is zero until it has
// ended.
type harm struct {
	kind     harmKind
	from, to time.Time
}

// beginHarm records the start of a harm to a node, by its address, or to a worker or its
// link, by the worker's ID. It is called before the harm takes effect. The returned
// function records the end.
func (j *judge) beginHarm(subject string, kind harmKind) func() {
	j.mu.Lock()
	defer j.mu.Unlock()
	h := &harm{kind: kind, from: time.Now()}
	j.harms[subject] = append(j.harms[subject], h)
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		h.to = time.Now()
	}
}

// recordKill records that a node is being killed.
func (j *judge) recordKill(node string) { j.beginHarm(node, nodeKilled)() }

// recordFreeze records that a worker is being suspended for d.
func (j *judge) recordFreeze(worker string, d time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	j.harms[worker] = append(j.harms[worker], &harm{kind: workerFrozen, from: now, to: now.Add(d)})
	if d > expireAfter {
		j.harms[worker] = append(j.harms[worker], &harm{kind: workerExpired, from: now.Add(expireAfter), to: now.Add(d)})
	}
}

// recordSilence records that a worker is silent for d.
func (j *judge) recordSilence(worker string, d time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	j.harms[worker] = append(j.harms[worker], &harm{kind: workerSilent, from: now, to: now.Add(d)})
}

// kindsOfHarm returns the kinds of harm to a subject that were in effect between two times.
func (j *judge) kindsOfHarm(subject string, from, to time.Time) []harmKind {
	var kinds []harmKind
	for _, h := range j.harms[subject] {
		if !h.from.After(to) && (h.to.IsZero() || h.to.After(from)) {
			kinds = append(kinds, h.kind)
		}
	}
	return kinds
}

// harmed reports whether one of the kinds of harm to a subject was in effect between two
// times, or shortly before.
func (j *judge) harmed(subject string, from, to time.Time, kinds ...harmKind) bool {
	return slices.ContainsFunc(j.harms[subject], func(h *harm) bool {
		return slices.Contains(kinds, h.kind) && !h.from.After(to) && (h.to.IsZero() || h.to.After(from.Add(-harmTolerance)))
	})
}
