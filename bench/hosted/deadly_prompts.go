package hosted

import (
	"fmt"
	"sync"
	"time"

	"daisyshed.dev/standin/hostedsite"
)

const (
	// deadlyShare is the share of streams whose prompt ends engines.
	deadlyShare = 0.1
	// deadlyAfter is how long after it begins to write such an answer an engine ends, and
	// engineRestart after which time another one takes its place.
	deadlyAfter   = 40 * time.Millisecond
	engineRestart = time.Second
	// toleratedEnds is how many engines may end, and after contactTime no more than
	// toleratedArrivals of such requests may reach engines.
	toleratedEnds     = 5
	toleratedArrivals = 3
	contactTime       = 3 * time.Second
)

// engineEnds records the engines that prompts have ended and the arrivals of such prompts at
// engines.
type engineEnds struct {
	mu       sync.Mutex
	ends     []time.Time
	arrivals []time.Time
}

// beginDeadlyPrompts has some prompts end engines until the faults end.
func (d *deployment) beginDeadlyPrompts() { d.deadlyPrompts.Store(true) }

// handlePrompt handles a prompt at a worker. One with the deadly part ends the worker.
func (d *deployment) handlePrompt(worker, parts string, writing bool) {
	if !hostedsite.HasDeadlyPart(parts) {
		return
	}
	if !writing {
		d.ends.mu.Lock()
		d.ends.arrivals = append(d.ends.arrivals, time.Now())
		d.ends.mu.Unlock()
		return
	}
	time.AfterFunc(deadlyAfter, func() { d.endWorker(worker, &d.ends) })
}

// endWorker ends a worker unless it has ended, records that, and starts another one in its
// place.
func (d *deployment) endWorker(id string, record *engineEnds) {
	d.mu.Lock()
	_, running := d.workers[id]
	closed := d.closed
	d.mu.Unlock()
	if !running || closed {
		return
	}
	add := d.replacement(id)
	d.removeWorker(id)
	record.mu.Lock()
	record.ends = append(record.ends, time.Now())
	record.mu.Unlock()
	time.AfterFunc(engineRestart, func() {
		select {
		case <-d.done:
		default:
			add()
		}
	})
}

// checkEngineEnds checks that requests with the deadly part stopped reaching engines.
func (d *deployment) checkEngineEnds() { d.checkEnds(&d.ends, toleratedEnds, "part of prompts") }

// checkEnds checks that requests that end workers stopped reaching them, from contactTime
// after the given number of ends. Nodes with faults may not have heard of it.
func (d *deployment) checkEnds(r *engineEnds, tolerated int, what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for range r.ends {
		d.judge.count("workers ended by a " + what)
	}
	if !d.upstreamsOnly || len(r.ends) < tolerated {
		return
	}
	late, from := 0, r.ends[tolerated-1].Add(contactTime)
	for _, at := range r.arrivals {
		if at.After(from) {
			late++
		}
	}
	if late > toleratedArrivals {
		d.judge.reportViolation(fmt.Sprintf("BUDGET: %d requests with a %s that ends workers reached workers %v after end %d; %d ended",
			late, what, contactTime, tolerated, len(r.ends)))
	}
}
