package world

import (
	"container/heap"
	"time"

	"daisyshed.dev/core"
)

// Start is the instant at which a world begins.
const Start = core.Instant(1_800_000_000 * int64(time.Second))

// event is a function to be called at an instant.
type event struct {
	at    core.Instant
	order uint64
	call  func()
}

// events orders events by time, and by the order of their setting where the
// times are equal.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push appends x; it serves container/heap.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event; it serves container/heap.
func (e *events) Pop() any {
	old := *e
	last := len(old) - 1
	x := old[last]
	old[last] = event{}
	*e = old[:last]
	return x
}

// After calls f once d has passed.
func (w *World) After(d time.Duration, f func()) { w.at(w.Now.Add(d), f) }

func (w *World) at(at core.Instant, f func()) {
	w.order++
	heap.Push(&w.queue, event{at: max(at, w.Now), order: w.order, call: f})
}

// Every calls f after each period until the world ends.
func (w *World) Every(period time.Duration, f func()) {
	w.After(period, func() {
		f()
		w.Every(period, f)
	})
}

// Run carries out events until the given time has passed since the start.
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
