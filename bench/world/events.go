package world

import (
	"container/heap"
	"time"

	"daisyshed.dev/core"
)

// Start is the virtual time at which every world begins.
const Start = core.Instant(1_800_000_000 * int64(time.Second))

// event is a function to be called at a given time.
type event struct {
	at       core.Instant
	sequence uint64
	call     func()
}

// events is a heap of events ordered by time. Events of the same time are
// ordered by when they were scheduled.
type events []event

// Len returns the number of events.
func (e events) Len() int { return len(e) }

// Less reports whether event i is due before event j.
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}

// Swap exchanges two events.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push appends x, as heap.Interface requires.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes and returns the last event, as heap.Interface requires.
func (e *events) Pop() any {
	old := *e
	last := len(old) - 1
	x := old[last]
	old[last] = event{}
	*e = old[:last]
	return x
}

// After schedules f to be called after d.
func (w *World) After(d time.Duration, f func()) { w.schedule(w.Now.Add(d), f) }

// schedule queues f for the given time, or for now if that time has passed.
func (w *World) schedule(at core.Instant, f func()) {
	w.lastSequence++
	heap.Push(&w.queue, event{at: max(at, w.Now), sequence: w.lastSequence, call: f})
}

// Every schedules f to be called after each period, without end.
func (w *World) Every(period time.Duration, f func()) {
	w.After(period, func() {
		f()
		w.Every(period, f)
	})
}

// Run executes all events up to the given time since Start and sets Now to that
// time.
func (w *World) Run(until time.Duration) {
	end := Start.Add(until)
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.Now = e.at
		w.Steps++
		e.call()
	}
	w.Now = end
}
