package usagecap

import (
	"math"
	"time"
)

// meterTime is the time over which a meter averages.
const meterTime = time.Second

// Meter measures a rate, as an exponentially weighted average over about a second.
type Meter struct {
	sum float64
	at  time.Duration
}

// Add records an amount.
func (m *Meter) Add(now time.Duration, amount float64) {
	m.decay(now)
	m.sum += amount
}

// Rate returns the rate in units a second.
func (m *Meter) Rate(now time.Duration) float64 {
	m.decay(now)
	return m.sum / meterTime.Seconds()
}

func (m *Meter) decay(now time.Duration) {
	if now > m.at {
		m.sum *= math.Exp(-float64(now-m.at) / float64(meterTime))
		m.at = now
	}
}

// Returns tells callers that were rejected when to come back, so that they do not all come at one time.
type Returns struct{ next time.Duration }

// Assign returns after which time a rejected caller is to come back: step after the one rejected before
// it, but not before the earliest time and not after the longest time that it honours.
func (r *Returns) Assign(now, earliest, step, longest time.Duration) time.Duration {
	r.next = min(max(r.next+step, now+earliest), now+longest)
	return r.next - now
}
