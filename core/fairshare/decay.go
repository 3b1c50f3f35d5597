package fairshare

import (
	"math"
	"time"
)

// decaying is a sum whose parts decay exponentially with their age.
type decaying struct {
	sum float64
	at  time.Duration
}

// add adds an amount; constant is the time constant of the decay.
func (d *decaying) add(now time.Duration, amount float64, constant time.Duration) {
	d.sum, d.at = d.value(now, constant)+amount, now
}

func (d *decaying) value(now, constant time.Duration) float64 {
	if d.sum == 0 {
		return 0
	}
	return d.sum * decay(now-d.at, constant)
}

// decay returns what is left of one after a time.
func decay(d, constant time.Duration) float64 {
	if d <= 0 {
		return 1
	}
	return math.Exp(-float64(d) / float64(constant))
}
