package control

import (
	"time"

	"daisyshed.dev/core"
)

// MonotonicClock returns a clock that starts at start and never goes back,
// whatever happens to the wall clock.
func MonotonicClock(start time.Time) func() core.Instant {
	base := core.Instant(start.UnixNano())
	return func() core.Instant { return base.Add(time.Since(start)) }
}
