package caller

import (
	"sync"

	"daisyshed.dev/core"
)

// waiters ties the core's answers to the handlers that wait for them.
type waiters[T any] struct {
	mu   sync.Mutex
	byID map[core.CallID]chan T
}

// wait returns a channel on which the answer comes, and a function that ends
// the wait.
func (w *waiters[T]) wait(id core.CallID) (<-chan T, func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.byID == nil {
		w.byID = map[core.CallID]chan T{}
	}
	answer := make(chan T, 1)
	w.byID[id] = answer
	return answer, func() { w.take(id) }
}

func (w *waiters[T]) take(id core.CallID) (chan T, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	answer, ok := w.byID[id]
	delete(w.byID, id)
	return answer, ok
}

// answer delivers the first answer to id; others are dropped.
func (w *waiters[T]) answer(id core.CallID, value T) {
	if answer, ok := w.take(id); ok {
		answer <- value
	}
}
