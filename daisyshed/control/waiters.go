package control

import (
	"sync"

	"daisyshed.dev/core"
)

// Waiters ties the core's answers to the handlers that wait for them. Its zero
// value is ready for use.
type Waiters[T any] struct {
	mu   sync.Mutex
	byID map[core.CallID]chan T
}

// Wait returns a channel on which the answer comes, and a function that ends
// the wait.
func (w *Waiters[T]) Wait(id core.CallID) (<-chan T, func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.byID == nil {
		w.byID = map[core.CallID]chan T{}
	}
	answer := make(chan T, 1)
	w.byID[id] = answer
	return answer, func() { w.take(id) }
}

func (w *Waiters[T]) take(id core.CallID) (chan T, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	answer, ok := w.byID[id]
	delete(w.byID, id)
	return answer, ok
}

// Answer delivers the first answer to id; others are dropped.
func (w *Waiters[T]) Answer(id core.CallID, value T) {
	if answer, ok := w.take(id); ok {
		answer <- value
	}
}
