package store

import (
	"context"
	"sync"
)

// outage tracks whether calls of ReadInstances fail, and cancels the long reads of
// other topics once they succeed again or the store's era has changed.
type outage struct {
	mu      sync.Mutex
	ongoing bool
	cancels map[*context.CancelFunc]struct{}
}

// untilRecovery returns a context that is cancelled when the current or the next
// outage ends, and a function that releases its resources.
func (o *outage) untilRecovery(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.cancels == nil {
		o.cancels = map[*context.CancelFunc]struct{}{}
	}
	o.cancels[&cancel] = struct{}{}
	return ctx, func() {
		o.mu.Lock()
		delete(o.cancels, &cancel)
		o.mu.Unlock()
		cancel()
	}
}

// callFailed records a failed call and reports whether it begins an outage.
func (o *outage) callFailed() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	changed := !o.ongoing
	o.ongoing = true
	return changed
}

// callSucceeded records a successful call and reports whether it ends an outage.
func (o *outage) callSucceeded() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	changed := o.ongoing
	o.ongoing = false
	if changed {
		o.cancelReads()
	}
	return changed
}

// eraChanged cancels the long reads: they wait at offsets of the previous era.
func (o *outage) eraChanged() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cancelReads()
}

func (o *outage) cancelReads() {
	for cancel := range o.cancels {
		(*cancel)()
	}
}
