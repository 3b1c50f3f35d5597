package hosted

import (
	"bytes"
	"time"

	"daisyshed.dev/standin/hostedsite"
)

// toleratedRequestEnds is how many workers a whole request may end; after contactTime it may
// reach no more than toleratedArrivals.
const toleratedRequestEnds = 3

// deadlyBody is the body of the request that ends workers. All its attempts share it.
var deadlyBody = []byte("ends each worker that runs it")

// beginDeadlyRequests has one request of a random kind end workers until the faults end.
func (d *deployment) beginDeadlyRequests() {
	if kind, _ := d.deadlyKind.Load().(string); kind != "" {
		return
	}
	kinds := []string{hostedsite.NonIdempotent, hostedsite.Idempotent, hostedsite.NonResumable, hostedsite.Resumable}
	d.deadlyKind.Store(kinds[d.rng.IntN(len(kinds))])
}

// handleRequest handles a request at a worker and reports whether it ends the worker.
func (d *deployment) handleRequest(worker string, body []byte, running bool) bool {
	if !bytes.Equal(body, deadlyBody) {
		return false
	}
	if !running {
		d.requestEnds.mu.Lock()
		d.requestEnds.arrivals = append(d.requestEnds.arrivals, time.Now())
		d.requestEnds.mu.Unlock()
		return false
	}
	time.AfterFunc(deadlyAfter, func() { d.endWorker(worker, &d.requestEnds) })
	return true
}

// checkRequestEnds checks that the deadly request stopped reaching workers.
func (d *deployment) checkRequestEnds() {
	d.checkEnds(&d.requestEnds, toleratedRequestEnds, "request")
}
