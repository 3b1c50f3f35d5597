package core

import (
	"slices"
	"time"
)

// whileLive calls then once d has passed, unless the request ends before. A timer that outlived its
// request would keep it in memory for as long as its caller said that it waits.
func (s *forwards) whileLive(n *Node, f *forwardedRequest, d time.Duration, then func(n *Node)) {
	f.timers = append(slices.DeleteFunc(f.timers, func(t *timer) bool { return t.index < 0 }), n.after(d, callback(then)))
}

// stopTimers removes the timers of a request that has ended.
func (s *forwards) stopTimers(n *Node, f *forwardedRequest) {
	for _, t := range f.timers {
		n.timers.remove(t)
	}
	f.timers = nil
}
