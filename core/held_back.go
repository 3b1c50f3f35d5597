package core

import (
	"fmt"
	"slices"
	"time"
)

// heldBackFor is how long after the end of an upstream the requests that were on it are kept
// from the last sound one: an upstream that ended is back after some seconds.
const heldBackFor = 5 * time.Second

// minHeldBackCrashes is how many upstreams have to end under a request before it is held back.
// One end may be a lost connection, and many callers may send the same request.
const minHeldBackCrashes = 2

// heldBack returns for how long a request must not run, because it is suspected of having
// ended upstreams and would run at the last sound one of its service. Its other requests
// would have none if the suspicion is right.
func (s *forwards) heldBack(n *Node, f *forwardedRequest) (time.Duration, []EngineCrash) {
	var crashes []EngineCrash
	var last Instant
	for _, key := range wholeRequest(f.spec.ID, f.Key) {
		if c, at := s.suspects.crashesOf(n.now, key); len(c) > len(crashes) {
			crashes, last = c, at
		}
	}
	left := last.Add(heldBackFor).Sub(n.now)
	if len(crashes) < minHeldBackCrashes || left <= 0 {
		return 0, nil
	}
	_, engine := f.spec.Engine.Get()
	listed, sound := 0, 0
	for _, u := range s.upstreams.byService[f.spec.ID] {
		if !u.usable() || engine && !n.roles.canServe(n, u, Decode) {
			continue
		}
		listed++
		if u.endedAt == 0 && !slices.Contains(crashes, EngineCrash{Engine: u.ID, Born: u.Born}) {
			sound++
		}
	}
	gone := slices.ContainsFunc(crashes, func(c EngineCrash) bool {
		u, ok := s.upstreams.byID[c.Engine]
		return !ok || u.Born != c.Born
	})
	// A service that has one upstream only has no other to keep.
	if sound > 1 || listed == 1 && !gone {
		return 0, nil
	}
	return left, crashes
}

// rejectIfHeldBack rejects a request that must not run at the last sound upstream, and
// reports whether it did.
func (s *forwards) rejectIfHeldBack(n *Node, f *forwardedRequest) bool {
	left, crashes := s.heldBack(n, f)
	if left == 0 {
		return false
	}
	d := s.newDecision(n, f, "held-back", CrashingRequest)
	d.Detail = fmt.Sprintf("%s, %d upstreams ended under it, one is left", CrashSuspect{Request: f.Key}, len(crashes))
	n.do(LogDecision{Decision: d})
	s.end(n, f, CrashingRequest, left)
	return true
}
