package store

import (
	"context"
	"errors"
	"sync"

	"daisyshed.dev/core"
	"daisyshed.dev/platform"
)

// ReadInstances reads the upstreams' entries, all of them or the changes after an
// offset, and sends the result to the core. It does not block.
func (w *Watcher) ReadInstances(c core.ReadInstances) {
	go func() {
		m, err := w.readInstances(context.Background(), c)
		switch {
		case errors.Is(err, platform.ErrCompacted):
			w.Log.Info().Str("Event", "Compacted").Str("Topic", string(platform.Instances)).Int64("Offset", int64(c.After)).Send()
			w.SendToCore(core.InstancesReadFailed{Compacted: true, Started: c.Started})
		case err != nil:
			if w.outage.callFailed() {
				w.Log.Warn().Str("Event", "StoreLost").Str("Topic", string(platform.Instances)).Err(err).Send()
			}
			w.SendToCore(core.InstancesReadFailed{Started: c.Started})
		default:
			if w.outage.callSucceeded() {
				w.Log.Info().Str("Event", "StoreRegained").Str("Topic", string(platform.Instances)).Send()
			}
			w.SendToCore(m)
		}
	}()
}

func (w *Watcher) readInstances(ctx context.Context, c core.ReadInstances) (core.InstancesRead, error) {
	m := core.InstancesRead{Whole: c.Whole, After: c.After, Started: c.Started}
	known := w.era.latest()
	var p platform.Page
	var err error
	if c.Whole {
		p, err = w.Store.ReadLatest(ctx, platform.Instances)
	} else {
		p, err = w.Store.Read(ctx, platform.Instances, c.After, 0)
	}
	if err != nil {
		return m, err
	}
	m.Offset, m.More, m.Era = p.Next, p.More, max(p.Era, known)
	w.logSkipped(platform.Instances, p)
	newest := map[string]platform.Record{}
	versions := map[core.ServiceVersion]bool{}
	for _, r := range p.Records {
		newest[r.Key] = r
		if i, err := platform.DecodeInstance(r.Key, r.Value); err == nil {
			versions[core.ServiceVersion{Service: i.Service, Version: i.Version}] = true
		}
	}
	for v := range versions {
		m.Versions = append(m.Versions, v)
	}
	for key, r := range newest {
		i, err := platform.DecodeInstance(key, r.Value)
		if err == nil {
			m.Changed = append(m.Changed, i)
			continue
		}
		if platform.IsName(key) {
			m.Removed = append(m.Removed, core.EngineID(key))
		}
		if len(r.Value) > 0 && w.loggedUnreadable.add(key) {
			w.Log.Warn().Str("Event", "Unreadable").Int64("Offset", int64(r.Offset)).Err(err).Send()
		}
	}
	return m, nil
}

// logSkipped logs that records of a page could not be decoded.
func (w *Watcher) logSkipped(topic platform.Topic, p platform.Page) {
	if p.Skipped != nil {
		w.Log.Warn().Str("Event", "Unreadable").Str("Topic", string(topic)).Err(p.Skipped).Send()
	}
}

// maxLoggedKeys bounds the size of a loggedKeys. Once it is full, further entries
// that cannot be decoded are not logged.
const maxLoggedKeys = 1024

// loggedKeys is the set of keys whose entries could not be decoded and were
// logged, so that each is logged only once.
type loggedKeys struct {
	mu   sync.Mutex
	keys map[string]bool
}

// add adds a key. It returns false if the key was already added or the set is
// full.
func (k *loggedKeys) add(key string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.keys[key] || len(k.keys) >= maxLoggedKeys {
		return false
	}
	if k.keys == nil {
		k.keys = map[string]bool{}
	}
	k.keys[key] = true
	return true
}
