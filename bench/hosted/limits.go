package hosted

import (
	"fmt"
	"sync"
	"time"
)

const (
	// In any limitWindow, from contactTime after a worker first named a limit, it may get
	// limitFactor times what the limit allows and limitSlack requests more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// minLimitTime and maxLimitTime are for how long a worker names a limit.
	minLimitTime = 5 * time.Second
	maxLimitTime = 9 * time.Second
)

// limitRates are the limits that workers name, in requests a second.
var limitRates = []float64{0, 0.5, 4, 12}

// limitTime is a time in which a worker names a limit; to is zero until it has ended.
type limitTime struct {
	rate     float64
	from, to time.Time
}

// limitRecord records the limits that workers name and the requests that reach workers.
type limitRecord struct {
	mu       sync.Mutex
	times    map[string][]*limitTime
	arrivals map[string][]time.Time
}

func newLimitRecord() limitRecord {
	return limitRecord{times: map[string][]*limitTime{}, arrivals: map[string][]time.Time{}}
}

func (r *limitRecord) recordArrival(worker string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals[worker] = append(r.arrivals[worker], time.Now())
}

// begin records that a worker is about to name a limit. The returned function records the
// end.
func (r *limitRecord) begin(worker string, rate float64) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := &limitTime{rate: rate, from: time.Now()}
	r.times[worker] = append(r.times[worker], t)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		t.end()
	}
}

// end ends the time unless it has ended.
func (t *limitTime) end() {
	if t.to.IsZero() {
		t.to = time.Now()
	}
}

// endAll ends the limits that a worker names: it is started again and names none.
func (r *limitRecord) endAll(worker string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.times[worker] {
		t.end()
	}
}

// violations returns the spans in which a worker got more than its limit allows.
func (r *limitRecord) violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []string
	for worker, times := range r.times {
		for _, t := range times {
			to := t.to
			if to.IsZero() {
				to = time.Now()
			}
			allowed := limitFactor*t.rate*limitWindow.Seconds() + limitSlack
			if got := mostWithin(r.arrivals[worker], t.from.Add(contactTime), to); float64(got) > allowed {
				list = append(list, fmt.Sprintf("LIMIT: %s named a limit of %g a second and got %d requests in %v; allowed %g", worker, t.rate, got, limitWindow, allowed))
			}
		}
	}
	return list
}

// mostWithin returns the most arrivals between two times that lie within limitWindow.
func mostWithin(arrivals []time.Time, from, to time.Time) int {
	var counted []time.Time
	for _, at := range arrivals {
		if !at.Before(from) && !at.After(to) {
			counted = append(counted, at)
		}
	}
	most, first := 0, 0
	for i, at := range counted {
		for at.Sub(counted[first]) > limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// limitWorkers has a random worker name a limit for a while, and in half of the cases all
// workers of its service.
func (d *deployment) limitWorkers() { d.limitSome(d.rng.IntN(2) == 0) }

// limitService has all workers of a random service name a limit for a while.
func (d *deployment) limitService() { d.limitSome(true) }

func (d *deployment) limitSome(all bool) {
	_, id := d.randomRunningWorker()
	rate := limitRates[d.rng.IntN(len(limitRates))]
	length := minLimitTime + time.Duration(d.rng.Int64N(int64(maxLimitTime-minLimitTime)))
	d.mu.Lock()
	defer d.mu.Unlock()
	service := d.workers[id].service
	for _, other := range d.workerIDs() {
		if m := d.workers[other]; other == id || all && m.service == service {
			d.limitWorker(m, other, rate, length)
		}
	}
}

// limitWorker has a worker that names no limit name one, until the time is over or the faults
// end.
func (d *deployment) limitWorker(m *workerHandle, id string, rate float64, length time.Duration) {
	if m.limited {
		return
	}
	m.limited = true
	end := d.limits.begin(id, rate)
	m.worker.SetLimit(rate)
	go func() {
		select {
		case <-time.After(length):
		case <-d.faultsEnded:
		}
		end()
		m.worker.EndLimit()
		d.mu.Lock()
		m.limited = false
		d.mu.Unlock()
	}()
}

// checkLimits checks that no worker got more than its limit allows. Nodes with faults may not
// have heard of it.
func (d *deployment) checkLimits() {
	for _, text := range d.limits.violations() {
		d.judge.count("limits exceeded")
		if d.upstreamsOnly {
			d.judge.reportViolation(text)
		}
	}
}
