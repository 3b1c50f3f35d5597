package core

import (
	"slices"
	"time"
)

// freshness is the time as of which a copy of something in the store is known to be complete, with
// what waits until it is complete as of a later instant.
type freshness struct {
	// at is when the newest complete read was started; zero before the first.
	at      Instant
	waiting []*freshnessWait
}

// freshnessWait waits for a complete read that was started no earlier than at.
type freshnessWait struct {
	at   Instant
	then func(n *Node, fresh bool)
}

// await calls then at once if the copy is complete as of an instant, and otherwise at the end of
// a read that was started no earlier, or after timeout. It reports whether such a read is needed.
func (f *freshness) await(n *Node, at Instant, timeout time.Duration, then func(n *Node, fresh bool)) (needed bool) {
	if f.at != 0 && f.at >= at {
		then(n, true)
		return false
	}
	w := &freshnessWait{at: at, then: then}
	f.waiting = append(f.waiting, w)
	n.afterFunc(timeout, func(n *Node) {
		if i := slices.Index(f.waiting, w); i >= 0 {
			f.waiting = slices.Delete(f.waiting, i, i+1)
			then(n, false)
		}
	})
	return true
}

// awaits reports whether a read is waited for that is started later than an instant.
func (f *freshness) awaits(later Instant) bool {
	return slices.ContainsFunc(f.waiting, func(w *freshnessWait) bool { return w.at > later })
}

// readEnded records the end of a read that was started at an instant, and whether it was complete.
func (f *freshness) readEnded(n *Node, started Instant, complete bool) {
	if complete {
		f.at = max(f.at, started)
	}
	var ended []*freshnessWait
	f.waiting = slices.DeleteFunc(f.waiting, func(w *freshnessWait) bool {
		if w.at <= started {
			ended = append(ended, w)
		}
		return w.at <= started
	})
	for _, w := range ended {
		w.then(n, complete)
	}
}
