// Package store watches the platform's metadata store, which holds the operators'
// desired state, the upstreams' entries and the nodes' entries, and writes this
// node's entry and claims to it.
package store

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/platform"
	"github.com/rs/zerolog"
)

const (
	// minBackoff and maxBackoff bound the backoff after a failed call. The store
	// charges for calls, failed ones included, and limits them for all nodes
	// together.
	minBackoff = 200 * time.Millisecond
	maxBackoff = time.Second
	// desiredReadWait is how long a read of the desired state waits for a change. The core
	// has it renewed when it learns from a peer that the read hangs.
	desiredReadWait = 28 * time.Second
	// nodesReadPause is the pause between two reads of the nodes' entries. A new node
	// reads all of them and sends heartbeats, by which the others learn of it, so that
	// the entries of later nodes are needed only if that fails.
	nodesReadPause = 15 * time.Second
	// nodesReadWait is how long a read of the nodes' entries waits for a change.
	nodesReadWait = 28 * time.Second
	// announceSpread is the time over which nodes write their entries again after the
	// store was restored from a copy.
	announceSpread = time.Second
)

// Watcher watches the store. Its fields must be set before Run.
type Watcher struct {
	Store      *platform.Store
	SendToCore func(core.Message)
	Log        zerolog.Logger
	Self       core.NodeInfo

	loggedUnreadable loggedKeys
	era              eraTracker
	// announced is signalled when this node's entry was written, and announceAgain when
	// the entry may have been lost.
	announced      chan struct{}
	announceAgain  chan struct{}
	desiredRenewal renewal
	nodesRenewal   renewal
	streams        streamsReader
	// outage cancels waiting reads once the store has recovered, since they may
	// wait on connections that broke during the outage.
	outage outage
}

// Run writes this node's entry, and watches the desired state and the nodes'
// entries until ctx ends. Prepare must have been called.
func (w *Watcher) Run(ctx context.Context) {
	go w.keepAnnounced(ctx)
	go w.readVersions(ctx)
	go w.follow(ctx, &topic{name: platform.Desired, wait: desiredReadWait, apply: w.applyDesired, renewal: &w.desiredRenewal})
	w.follow(ctx, &topic{name: platform.Nodes, wait: nodesReadWait, pause: nodesReadPause, endPause: w.announced, apply: w.nodesApplier(), renewal: &w.nodesRenewal})
}

// topic is a topic of the store with the progress of reading it.
type topic struct {
	name platform.Topic
	// wait is how long a read waits for a record. pause is the time between two
	// reads, so that one read returns the records of that time together. It ends early
	// when endPause is signalled; endPause may be nil.
	wait     time.Duration
	pause    time.Duration
	endPause <-chan struct{}
	apply    func(u update)
	// renewal ends reads that are to be renewed; nil if none are.
	renewal *renewal

	// from is the offset of the next read, in the store's era, and listed is set while
	// from is valid.
	from   core.Offset
	era    core.StoreEra
	listed bool
	// failedAt is when a read last failed, and down is set while reads fail.
	failedAt time.Time
	down     bool
}

// update is the result of a read.
type update struct {
	records []platform.Record
	// snapshot is set if records holds the newest record of every key, rather than
	// changes.
	snapshot bool
	// asOf is a time at which the store had no later records.
	asOf time.Time
}

// follow reads a topic repeatedly until ctx ends.
func (w *Watcher) follow(ctx context.Context, t *topic) {
	backoff := minBackoff
	for ctx.Err() == nil {
		read, done := w.outage.untilRecovery(ctx)
		read, mode, end := t.renewal.begin(read)
		wait := t.wait
		switch mode {
		case promptRead:
			wait = 0
		case latestRead:
			t.listed = false
		}
		u, err := w.read(read, t, wait)
		ended := read.Err() != nil
		end()
		done()
		if ended {
			continue
		}
		if err != nil {
			w.readFailed(t, err)
			sleepWithJitter(ctx, backoff, nil)
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		w.readSucceeded(t)
		if mode == promptRead && len(u.records) > 0 && t.name == platform.Desired {
			// The read before had not returned them, so that the nodes' read may hang too.
			w.Log.Warn().Str("Event", "ReadHung").Str("Topic", string(platform.Desired)).Send()
			w.nodesRenewal.renew(promptRead, w.Store.Timeout, func() {})
		}
		backoff = minBackoff
		t.apply(u)
		sleepWithJitter(ctx, t.pause, t.endPause)
	}
}

// read reads the newest record of each key first, and then the records after the
// last read. It starts over if the store has compacted those, or was restored from a
// copy: then the offset may be that of another record.
func (w *Watcher) read(ctx context.Context, t *topic, wait time.Duration) (update, error) {
	known := w.era.latest()
	if !t.listed || t.era != known {
		began := time.Now()
		p, err := w.Store.ReadLatest(ctx, t.name)
		if err != nil {
			return update{}, err
		}
		w.logSkipped(t.name, p)
		t.listed, t.from, t.era = true, p.Next, max(p.Era, known)
		return update{records: p.Records, snapshot: true, asOf: began}, nil
	}
	p, err := w.Store.Read(ctx, t.name, t.from, wait)
	switch {
	case errors.Is(err, platform.ErrCompacted):
		t.listed = false
		w.Log.Info().Str("Event", "Compacted").Str("Topic", string(t.name)).Int64("Offset", int64(t.from)).Send()
		return w.read(ctx, t, wait)
	case err != nil:
		return update{}, err
	case p.Era > t.era:
		return w.read(ctx, t, wait)
	}
	t.from = p.Next
	w.logSkipped(t.name, p)
	u := update{records: p.Records}
	if !p.More {
		u.asOf = t.renewal.receivedAt()
	}
	return u, nil
}

// readFailed records a failed read. It logs the first one of an outage and reports
// it to the core.
func (w *Watcher) readFailed(t *topic, err error) {
	t.failedAt = time.Now()
	if !t.down {
		t.down = true
		w.Log.Warn().Str("Event", "StoreLost").Str("Topic", string(t.name)).Err(err).Send()
		w.SendToCore(core.VMListReadFailed{Reason: err.Error()})
	}
}

// readSucceeded records a successful read, and logs the end of an outage.
func (w *Watcher) readSucceeded(t *topic) {
	if t.down {
		t.down = false
		w.Log.Info().Str("Event", "StoreRegained").Str("Topic", string(t.name)).Dur("AwayMs", time.Since(t.failedAt)).Send()
	}
}

// applyDesired sends new desired states to the core, and then up to when there was no later
// one. One that cannot be decoded is logged and ignored.
func (w *Watcher) applyDesired(u update) {
	complete := !u.asOf.IsZero()
	for _, r := range u.records {
		if r.Key != platform.DesiredKey || len(r.Value) == 0 {
			continue
		}
		// The record itself is never logged, as it holds keys.
		d, concealed, err := decodeState(r.Value, r.Offset)
		if err != nil {
			w.Log.Error().Str("Event", "Unreadable").Int64("Offset", int64(r.Offset)).Err(err).Send()
			complete = false
			continue
		}
		if d.Encoded, err = CompressState(concealed); err != nil {
			w.Log.Error().Str("Event", "Fault").Int64("Offset", int64(r.Offset)).Err(err).Send()
		}
		w.SendToCore(d)
	}
	if complete {
		w.SendToCore(core.StateConfirmed{Age: time.Since(u.asOf)})
	}
}

// nodesApplier returns a function that applies updates to a list of the nodes and
// sends the list to the core.
func (w *Watcher) nodesApplier() func(update) {
	entries := map[string]core.NodeInfo{}
	return func(u update) {
		if u.snapshot {
			clear(entries)
		}
		for _, r := range u.records {
			if r.Key == string(w.Self.ID) {
				w.dropAnnounced()
			}
			delete(entries, r.Key)
			if len(r.Value) == 0 {
				continue
			}
			n, err := platform.DecodeNode(r.Key, r.Value)
			if err != nil {
				w.Log.Warn().Str("Event", "Unreadable").Err(err).Send()
				continue
			}
			entries[r.Key] = n
		}
		if len(u.records) == 0 {
			return
		}
		var list core.VMList
		for _, n := range entries {
			list.Nodes = append(list.Nodes, n)
		}
		w.SendToCore(list)
	}
}

// keepAnnounced writes this node's entry, and writes it again each time the store may
// have lost it.
func (w *Watcher) keepAnnounced(ctx context.Context) {
	w.announce(ctx)
	for {
		select {
		case <-w.announceAgain:
			sleepWithJitter(ctx, time.Duration(rand.Float64()*float64(announceSpread)), nil)
			w.announce(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// dropAnnounced drops the signal that this node's entry was written, because the entry
// was read.
func (w *Watcher) dropAnnounced() {
	select {
	case <-w.announced:
	default:
	}
}

// announce writes this node's entry, and retries until the store accepts it. The
// nodes' entries are read soon afterwards, so that this node is among those it knows.
func (w *Watcher) announce(ctx context.Context) {
	value, err := platform.EncodeNode(w.Self)
	if err != nil {
		w.Log.Error().Str("Event", "Announce").Err(err).Send()
		return
	}
	backoff := minBackoff
	for ctx.Err() == nil {
		if err := w.Store.Append(ctx, platform.Nodes, string(w.Self.ID), value); err == nil {
			w.Log.Info().Str("Event", "Announced").Send()
			signal(w.announced)
			return
		}
		sleepWithJitter(ctx, backoff, nil)
		backoff = min(2*backoff, maxBackoff)
	}
}

// sleepWithJitter waits for d, plus or minus up to 25 percent of jitter, so that
// nodes do not call the store at the same time. It returns early if ctx ends or end is
// signalled.
func sleepWithJitter(ctx context.Context, d time.Duration, end <-chan struct{}) {
	if d == 0 {
		return
	}
	d = time.Duration(float64(d) * (0.75 + 0.5*rand.Float64()))
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-end:
	case <-ctx.Done():
	}
}
