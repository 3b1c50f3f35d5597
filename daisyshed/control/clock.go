package control

import (
	"time"

	"daisyshed.dev/core"
	"golang.org/x/sys/unix"
)

// MonotonicClock returns a clock that starts at start and never goes back, even
// if the wall clock is set back.
func MonotonicClock(start time.Time) func() core.Instant {
	base := core.Instant(start.UnixNano())
	return func() core.Instant { return base.Add(time.Since(start)) }
}

// BootClock returns a clock that never goes back and, unlike MonotonicClock,
// also counts the time for which the VM was suspended. After a suspension a node
// therefore sees that its state is stale.
func BootClock() func() core.Instant {
	start := time.Now()
	base := core.Instant(start.UnixNano())
	sinceBoot := func() time.Duration {
		var ts unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
			// Kernels without CLOCK_BOOTTIME: fall back to the monotonic clock.
			return time.Since(start)
		}
		return time.Duration(ts.Nano())
	}
	atStart := sinceBoot()
	return func() core.Instant { return base.Add(sinceBoot() - atStart) }
}
