package hostedworker

import (
	"context"
	"time"
)

// Silence makes the worker silent for the given time: streams pause between two events,
// and other answers are late. Unlike a frozen worker it stays sound: it loses nothing,
// notices at once that a caller has closed its connection, and renews its entry.
func (w *Worker) Silence(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if until := time.Now().Add(d); until.After(w.silentUntil) {
		w.silentUntil = until
	}
}

// waitWhilePaused returns once the worker is neither frozen nor silent, or the caller has
// closed its connection, and reports whether the connection is still open. A frozen
// worker does not notice that it was closed.
func (w *Worker) waitWhilePaused(ctx context.Context) bool {
	for {
		w.waitWhileFrozen()
		w.mu.Lock()
		left := time.Until(w.silentUntil)
		w.mu.Unlock()
		if left <= 0 {
			return ctx.Err() == nil
		}
		if !sleep(ctx, left) {
			return false
		}
	}
}

// sleep waits for d and returns whether ctx is still live then. It returns early when ctx
// ends.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
