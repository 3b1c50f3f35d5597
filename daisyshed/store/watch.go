// Package store follows the platform's metadata store: the operators' desired
// state, the upstreams' entries and the nodes' own.
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
	// retryFirst and retryLongest bound the pause after a failed call. Calls are
	// priced and limited for all nodes together, also those that fail.
	retryFirst   = 200 * time.Millisecond
	retryLongest = time.Second
	// stateWaits is how many of the time within which a new desired state is in
	// force one read of it may wait. Peers tell of a newer state sooner, if this
	// node's connection to the store has gone silent.
	stateWaits = 4
	// nodesEvery is the pause between two looks at the nodes' entries. Nodes
	// find failures among themselves, so this only finds new ones.
	nodesEvery = 4 * time.Second
	// nodesWait is how long a read of the nodes' entries waits for one.
	nodesWait = 20 * time.Second
)

// Watcher follows the store. Its fields are set before Run.
type Watcher struct {
	Store *platform.Store
	Send  func(core.Message)
	Log   zerolog.Logger
	Self  core.NodeInfo
	// StateDelay is the time within which a new desired state takes effect.
	StateDelay time.Duration

	unreadable unreadable
	// regain ends waiting reads once the store is back: they may wait on
	// connections that died with it.
	regain regain
}

// Run follows all topics until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	go w.announce(ctx)
	go w.follow(ctx, &topic{name: platform.Desired, wait: stateWaits * w.StateDelay, apply: w.desired})
	w.follow(ctx, &topic{name: platform.Nodes, wait: nodesWait, pause: nodesEvery, apply: w.nodes()})
}

// topic is one followed topic.
type topic struct {
	name platform.Topic
	// wait is how long a read waits for a record, and pause the time between
	// two reads, within which records gather.
	wait  time.Duration
	pause time.Duration
	apply func(u update)

	from   core.Offset
	listed bool
	// failedAt is when a call last failed, and down says that the last one did.
	failedAt time.Time
	down     bool
}

// update is what a read brought.
type update struct {
	records []platform.Record
	// whole says that the records are all there are.
	whole bool
}

// follow reads a topic again and again.
func (w *Watcher) follow(ctx context.Context, t *topic) {
	backoff := retryFirst
	for ctx.Err() == nil {
		read, done := w.regain.wait(ctx)
		u, err := w.read(read, t)
		ended := read.Err() != nil
		done()
		if ended {
			continue
		}
		if err != nil {
			w.lost(t, err)
			sleep(ctx, backoff)
			backoff = min(2*backoff, retryLongest)
			continue
		}
		w.regained(t)
		backoff = retryFirst
		t.apply(u)
		sleep(ctx, t.pause)
	}
}

func (w *Watcher) read(ctx context.Context, t *topic) (update, error) {
	if !t.listed {
		records, end, err := w.Store.Newest(ctx, t.name)
		if err != nil {
			return update{}, err
		}
		t.listed, t.from = true, end
		return update{records: records, whole: true}, nil
	}
	records, end, _, err := w.Store.Read(ctx, t.name, t.from, t.wait)
	if errors.Is(err, platform.ErrCompacted) {
		t.listed = false
		w.Log.Info().Str("Event", "Compacted").Str("Topic", string(t.name)).Int64("Offset", int64(t.from)).Send()
		return w.read(ctx, t)
	}
	if err != nil {
		return update{}, err
	}
	t.from = end
	return update{records: records}, nil
}

// lost logs the loss of the store once for each outage.
func (w *Watcher) lost(t *topic, err error) {
	t.failedAt = time.Now()
	if !t.down {
		t.down = true
		w.Log.Warn().Str("Event", "StoreLost").Str("Topic", string(t.name)).Err(err).Send()
		w.Send(core.PlatformFailed{Reason: err.Error()})
	}
}

func (w *Watcher) regained(t *topic) {
	if t.down {
		t.down = false
		w.Log.Info().Str("Event", "StoreRegained").Str("Topic", string(t.name)).Dur("AwayMs", time.Since(t.failedAt)).Send()
	}
}

// desired passes on the newest desired state. One that cannot be read changes
// nothing.
func (w *Watcher) desired(u update) {
	for _, r := range u.records {
		if r.Key != platform.DesiredKey || len(r.Value) == 0 {
			continue
		}
		d, err := platform.DecodeDesired(r.Value, r.Offset)
		if err != nil {
			w.Log.Error().Str("Event", "Unreadable").Int64("Offset", int64(r.Offset)).Err(err).Send()
			continue
		}
		w.Send(d)
	}
}

// nodes returns a function that keeps the list of nodes.
func (w *Watcher) nodes() func(update) {
	entries := map[string]core.NodeInfo{}
	return func(u update) {
		if u.whole {
			clear(entries)
		}
		for _, r := range u.records {
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
		w.Send(list)
	}
}

// announce writes this node's entry until the store has taken it.
func (w *Watcher) announce(ctx context.Context) {
	value, err := platform.EncodeNode(w.Self)
	if err != nil {
		w.Log.Error().Str("Event", "Announce").Err(err).Send()
		return
	}
	backoff := retryFirst
	for ctx.Err() == nil {
		if err := w.Store.Put(ctx, platform.Nodes, string(w.Self.ID), value); err == nil {
			w.Log.Info().Str("Event", "Announced").Send()
			return
		}
		sleep(ctx, backoff)
		backoff = min(2*backoff, retryLongest)
	}
}

// sleep waits for d, lengthened or shortened at random by up to a quarter so
// that nodes do not act in step.
func sleep(ctx context.Context, d time.Duration) {
	if d == 0 {
		return
	}
	d = time.Duration(float64(d) * (0.75 + 0.5*rand.Float64()))
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
