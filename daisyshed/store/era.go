package store

import (
	"sync"

	"daisyshed.dev/core"
)

// eraTracker holds the highest era of the store that any response has named. The store
// raises its era each time it is restored from a copy, and may then have lost records
// that it had acknowledged.
type eraTracker struct {
	mu  sync.Mutex
	era core.StoreEra
	// loggedInvalid and loggedFall are set once an invalid era and an era below the
	// highest have been logged.
	loggedInvalid bool
	loggedFall    bool
}

// latest returns the highest era, or zero if no response has named one.
func (t *eraTracker) latest() core.StoreEra {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.era
}

// eraChange is what the era of one response means.
type eraChange int

const (
	// eraKnown eras are the highest so far, or were logged before.
	eraKnown eraChange = iota
	// eraFirst is the first era that a response names.
	eraFirst
	// eraRisen eras are higher than all before.
	eraRisen
	// eraFallen is the first era below the highest. It may be that of a response that
	// was delayed.
	eraFallen
)

// observe records the era of a response.
func (t *eraTracker) observe(era core.StoreEra) eraChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case era > t.era && t.era == 0:
		t.era = era
		return eraFirst
	case era > t.era:
		t.era = era
		return eraRisen
	case era < t.era && !t.loggedFall:
		t.loggedFall = true
		return eraFallen
	default:
		return eraKnown
	}
}

// firstInvalid reports whether an invalid era is the first one.
func (t *eraTracker) firstInvalid() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	first := !t.loggedInvalid
	t.loggedInvalid = true
	return first
}

// Prepare has the era that each response of the store names observed. It must be called
// before the first call to the store, which may come before Run.
func (w *Watcher) Prepare() {
	w.announced, w.announceAgain = make(chan struct{}, 1), make(chan struct{}, 1)
	w.Store.OnEra = w.observeEra
	w.Store.OnTransfer = w.observeTransfer
}

// observeEra handles the era that a response of the store names. When it rises, reads
// that wait at offsets of the earlier era are ended, this node's entry is written
// again, and the core is notified.
func (w *Watcher) observeEra(era core.StoreEra, err error) {
	if err != nil {
		if w.era.firstInvalid() {
			w.Log.Warn().Str("Event", "EraInvalid").Err(err).Send()
		}
		return
	}
	switch w.era.observe(era) {
	case eraFirst:
		w.SendToCore(core.StoreEraObserved{Era: era})
	case eraRisen:
		w.Log.Warn().Str("Event", "StoreRestored").Int64("Era", int64(era)).Send()
		w.SendToCore(core.StoreEraObserved{Era: era})
		w.outage.eraChanged()
		signal(w.announceAgain)
	case eraFallen:
		w.Log.Warn().Str("Event", "EraFell").Int64("Era", int64(era)).Int64("Highest", int64(w.era.latest())).Send()
	case eraKnown:
	}
}

// signal sends on a channel of capacity one unless it is full.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
