package control

import (
	"sync"

	"daisyshed.dev/core"
)

// PendingAnswers delivers the core's answers to the handlers that wait for them.
// Its zero value is ready for use.
type PendingAnswers[T any] struct {
	mu   sync.Mutex
	byID map[core.CallID]chan T
}

// Wait returns a channel that receives the answer to id, and a function that
// cancels the wait.
func (w *PendingAnswers[T]) Wait(id core.CallID) (<-chan T, func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.byID == nil {
		w.byID = map[core.CallID]chan T{}
	}
	answer := make(chan T, 1)
	w.byID[id] = answer
	return answer, func() { w.remove(id) }
}

// remove removes and returns the channel for the answer to id.
func (w *PendingAnswers[T]) remove(id core.CallID) (chan T, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	answer, ok := w.byID[id]
	delete(w.byID, id)
	return answer, ok
}

// Answer delivers the first answer to id. Later answers, and answers that no
// handler waits for, are dropped.
func (w *PendingAnswers[T]) Answer(id core.CallID, value T) {
	if answer, ok := w.remove(id); ok {
		answer <- value
	}
}
