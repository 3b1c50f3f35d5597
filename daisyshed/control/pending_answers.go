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
func (p *PendingAnswers[T]) Wait(id core.CallID) (<-chan T, func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byID == nil {
		p.byID = map[core.CallID]chan T{}
	}
	answer := make(chan T, 1)
	p.byID[id] = answer
	return answer, func() { p.remove(id) }
}

// remove removes and returns the channel for the answer to id.
func (p *PendingAnswers[T]) remove(id core.CallID) (chan T, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	answer, ok := p.byID[id]
	delete(p.byID, id)
	return answer, ok
}

// Answer delivers the first answer to id. Later answers, and answers that no
// handler waits for, are dropped.
func (p *PendingAnswers[T]) Answer(id core.CallID, value T) {
	if answer, ok := p.remove(id); ok {
		answer <- value
	}
}
