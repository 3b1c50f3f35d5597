package operator

import (
	"sync"

	"daisyshed.dev/core"
)

// waiting ties the core's statuses to those who asked.
type waiting struct {
	mu   sync.Mutex
	byID map[core.CallID]chan core.Status
}

func (w *waiting) add(id core.CallID) <-chan core.Status {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.byID == nil {
		w.byID = map[core.CallID]chan core.Status{}
	}
	answer := make(chan core.Status, 1)
	w.byID[id] = answer
	return answer
}

func (w *waiting) remove(id core.CallID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.byID, id)
}

func (w *waiting) answer(c core.AnswerStatus) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if answer, ok := w.byID[c.Query]; ok {
		answer <- c.Status
		delete(w.byID, c.Query)
	}
}
