package fairshare

import "time"

const (
	// forecastStep is the resolution of a forecast, and forecastSteps its length in steps.
	forecastStep  = 50 * time.Millisecond
	forecastSteps = 256
	// overdueTime is the time within which requests are expected to end that have taken
	// longer than predicted.
	overdueTime = time.Second
)

// Forecast predicts how many of the requests that run will end within a time. At the
// beginning of a load peak they end at the rate at which they were placed before it, not at
// the rate at which full engines free their memory.
type Forecast struct {
	// step is the number of the present step. ends counts, by the number of the step modulo
	// forecastSteps, the requests that are predicted to end in it, and overdue those that
	// should have ended.
	step    int64
	ends    [forecastSteps]int
	overdue int
	// sums counts, while valid, the requests that end up to each step from the present one.
	sums  [forecastSteps]int
	valid bool
}

func stepOf(at time.Duration) int64 { return int64(at / forecastStep) }

// advance moves the present to an instant.
func (f *Forecast) advance(now time.Duration) {
	to := stepOf(now)
	if to <= f.step {
		return
	}
	f.valid = false
	for range min(to-f.step, forecastSteps) {
		f.overdue += f.ends[f.step%forecastSteps]
		f.ends[f.step%forecastSteps] = 0
		f.step++
	}
	f.step = to
}

// Add adds a request that is predicted to end at an instant. It returns the instant with which
// the request has to be removed.
func (f *Forecast) Add(now, end time.Duration) time.Duration {
	f.advance(now)
	f.valid = false
	end = min(max(end, now), now+(forecastSteps-1)*forecastStep)
	f.ends[stepOf(end)%forecastSteps]++
	return end
}

// Remove removes a request that was added with the given end.
func (f *Forecast) Remove(now, end time.Duration) {
	f.advance(now)
	f.valid = false
	if step := stepOf(end); step >= f.step {
		f.ends[step%forecastSteps]--
		return
	}
	f.overdue--
}

// Within returns how many requests are predicted to end within a time.
func (f *Forecast) Within(now, d time.Duration) float64 {
	f.advance(now)
	if !f.valid {
		sum := 0
		for i := range f.sums {
			sum += f.ends[(f.step+int64(i))%forecastSteps]
			f.sums[i] = sum
		}
		f.valid = true
	}
	overdue := float64(f.overdue) * min(d.Seconds()/overdueTime.Seconds(), 1)
	return float64(f.sums[min(stepOf(d), forecastSteps-1)]) + overdue
}
