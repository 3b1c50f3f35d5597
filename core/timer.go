package core

import (
	"container/heap"
	"time"
)

// timerMessage is a message that the node schedules for itself.
type timerMessage interface {
	Message
	run(n *Node)
}

// callback is a timerMessage that calls a function.
type callback func(n *Node)

func (callback) isMessage()    {}
func (c callback) run(n *Node) { c(n) }

type timer struct {
	at      Instant
	order   uint64
	message Message
	// index is the timer's place in the heap; negative once it was removed.
	index int
}

// timerHeap orders timers by time, and timers with equal times by the order in which they
// were set.
type timerHeap struct {
	items []*timer
	order uint64
}

func (h *timerHeap) Len() int { return len(h.items) }
func (h *timerHeap) Less(i, j int) bool {
	a, b := h.items[i], h.items[j]
	if a.at != b.at {
		return a.at < b.at
	}
	return a.order < b.order
}

// Swap exchanges two items, for container/heap.
func (h *timerHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].index, h.items[j].index = i, j
}

// Push appends x, for container/heap.
func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	t.index = len(h.items)
	h.items = append(h.items, t)
}

// Pop removes the last item, for container/heap.
func (h *timerHeap) Pop() any {
	last := len(h.items) - 1
	x := h.items[last]
	x.index = -1
	h.items[last] = nil
	h.items = h.items[:last]
	return x
}

// remove removes a timer, unless it is removed already.
func (h *timerHeap) remove(t *timer) {
	if t.index >= 0 {
		heap.Remove(h, t.index)
	}
}

func (h *timerHeap) earliest() (Instant, bool) {
	if len(h.items) == 0 {
		return 0, false
	}
	return h.items[0].at, true
}

// after passes the message to this node once d has passed.
func (n *Node) after(d time.Duration, message Message) *timer {
	n.timers.order++
	t := &timer{at: n.now.Add(d), order: n.timers.order, message: message}
	heap.Push(&n.timers, t)
	return t
}

// afterFunc calls f once d has passed.
func (n *Node) afterFunc(d time.Duration, f func(n *Node)) { n.after(d, callback(f)) }

// untilNext returns the time until something may be done again that is done once in a period at
// most and was last done at an instant; zero for never.
func (n *Node) untilNext(last Instant, period time.Duration) time.Duration {
	if last == 0 {
		return 0
	}
	return max(last.Add(period).Sub(n.now), 0)
}

// every calls f after each period, which varies at random by up to a tenth so that nodes
// do not act at the same time.
func (n *Node) every(period time.Duration, f func(n *Node)) {
	n.afterFunc(n.jitter(period), func(n *Node) {
		f(n)
		n.every(period, f)
	})
}

// jitter returns d varied at random by up to a tenth.
func (n *Node) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.9 + 0.2*n.rng.Float64()))
}

// runTimers handles the messages of all timers that are due.
func (n *Node) runTimers() {
	for {
		at, ok := n.timers.earliest()
		if !ok || at > n.now {
			return
		}
		t := heap.Pop(&n.timers).(*timer)
		n.dispatch(t.message)
	}
}
