package store

import (
	"context"
	"sync"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/platform"
)

// renewal ends the current read of a topic so that it begins again, unless its response
// has begun to arrive. Its zero value is ready for use. It is safe for concurrent use.
type renewal struct {
	mu        sync.Mutex
	cancel    context.CancelFunc
	receiving bool
	// begun is when the current read began, and answeredAt when the store last began to
	// answer one.
	begun      time.Time
	answeredAt time.Time
	// next says how the next read differs from one that waits for later records.
	next readMode
}

// readMode is how a read is made.
type readMode int

const (
	// waitingRead waits for records after the last one.
	waitingRead readMode = iota
	// promptRead returns the records after the last one, and does not wait if there are none.
	promptRead
	// latestRead returns the newest record of each key.
	latestRead
)

// begin returns the context of the next read, its mode, and a function to call at its end. A
// nil renewal renews nothing.
func (r *renewal) begin(ctx context.Context) (_ context.Context, mode readMode, end func()) {
	ctx, cancel := context.WithCancel(ctx)
	if r == nil {
		return ctx, waitingRead, cancel
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	mode, r.next = r.next, waitingRead
	r.cancel, r.receiving, r.begun = cancel, false, time.Now()
	return ctx, mode, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.cancel = nil
		cancel()
	}
}

// received records that the response of the current read has begun to arrive.
func (r *renewal) received() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.receiving, r.answeredAt = true, time.Now()
}

// receivedAt returns when the store last began to answer a read; zero if it is not known.
func (r *renewal) receivedAt() time.Time {
	if r == nil {
		return time.Time{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answeredAt
}

// renew ends the current read, after it has called before, and reports whether it did. It does
// not while a response arrives, nor before the read is minAge old: a store that is slow must get
// to answer.
func (r *renewal) renew(mode readMode, minAge time.Duration, before func()) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancel == nil || r.receiving || time.Since(r.begun) < minAge {
		return false
	}
	r.next = mode
	before()
	r.cancel()
	return true
}

// RenewDesired renews the read of the desired state unless its response has begun to
// arrive. If latest is set, the newest state is read, else a later one than the last, without
// waiting for it. The new read has a new connection: what silenced that of the read may have
// silenced idle ones. It does not block.
func (w *Watcher) RenewDesired(latest bool) {
	mode := promptRead
	if latest {
		mode = latestRead
	}
	if w.desiredRenewal.renew(mode, w.Store.Timeout, w.Store.HTTP.CloseIdleConnections) && latest {
		w.Log.Warn().Str("Event", "ReadHung").Str("Topic", string(platform.Desired)).Send()
	}
}

// observeTransfer notifies the core that the store has begun to answer a read of the desired
// state.
func (w *Watcher) observeTransfer(topic platform.Topic) {
	if topic == platform.Desired {
		w.desiredRenewal.received()
		w.SendToCore(core.StateTransferBegan{})
	}
}
