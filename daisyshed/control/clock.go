package control

import (
	"time"

	"daisyshed.dev/core"
	"golang.org/x/sys/unix"
)

// MonotonicClock returns a clock that starts at start and never goes back,
// whatever happens to the wall clock.
func MonotonicClock(start time.Time) func() core.Instant {
	base := core.Instant(start.UnixNano())
	return func() core.Instant { return base.Add(time.Since(start)) }
}

// BootClock returns a clock that never goes back and also counts the time for
// which the machine was suspended, which the steady clock does not. A node sees
// by it that what it believed is old.
func BootClock() func() core.Instant {
	start := time.Now()
	base := core.Instant(start.UnixNano())
	boot := func() time.Duration {
		var ts unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
			// A kernel without this clock leaves the steady one.
			return time.Since(start)
		}
		return time.Duration(ts.Nano())
	}
	first := boot()
	return func() core.Instant { return base.Add(boot() - first) }
}
