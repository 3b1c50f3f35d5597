package store

import (
	"context"
	"errors"
	"sync"

	"daisyshed.dev/core"
	"daisyshed.dev/platform"
)

// ReadInstances reads the upstreams' entries, without blocking.
func (w *Watcher) ReadInstances(c core.ReadInstances) {
	go func() {
		m, err := w.readInstances(context.Background(), c)
		switch {
		case errors.Is(err, platform.ErrCompacted):
			w.Log.Info().Str("Event", "Compacted").Str("Topic", string(platform.Instances)).Int64("Offset", int64(c.After)).Send()
			w.Send(core.InstancesUnread{Compacted: true})
		case err != nil:
			if w.regain.lost() {
				w.Log.Warn().Str("Event", "StoreLost").Str("Topic", string(platform.Instances)).Err(err).Send()
			}
			w.Send(core.InstancesUnread{})
		default:
			if w.regain.back() {
				w.Log.Info().Str("Event", "StoreRegained").Str("Topic", string(platform.Instances)).Send()
			}
			w.Send(m)
		}
	}()
}

func (w *Watcher) readInstances(ctx context.Context, c core.ReadInstances) (core.InstancesRead, error) {
	m := core.InstancesRead{Whole: c.Whole, After: c.After}
	var records []platform.Record
	var err error
	if c.Whole {
		records, m.Offset, err = w.Store.Newest(ctx, platform.Instances)
	} else {
		records, m.Offset, m.More, err = w.Store.Read(ctx, platform.Instances, c.After, 0)
	}
	if err != nil {
		return m, err
	}
	newest := map[string]platform.Record{}
	for _, r := range records {
		newest[r.Key] = r
	}
	for key, r := range newest {
		i, err := platform.DecodeInstance(key, r.Value)
		if err == nil {
			m.Changed = append(m.Changed, i)
			continue
		}
		m.Removed = append(m.Removed, core.EngineID(key))
		if len(r.Value) > 0 && w.unreadable.first(key) {
			w.Log.Warn().Str("Event", "Unreadable").Int64("Offset", int64(r.Offset)).Err(err).Send()
		}
	}
	return m, nil
}

// maxUnreadable bounds the keys that are remembered as logged.
const maxUnreadable = 1024

// unreadable remembers which unreadable entries were logged.
type unreadable struct {
	mu   sync.Mutex
	keys map[string]bool
}

// first reports whether a key has not been noted before, and notes it.
func (u *unreadable) first(key string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.keys[key] || len(u.keys) >= maxUnreadable {
		return false
	}
	if u.keys == nil {
		u.keys = map[string]bool{}
	}
	u.keys[key] = true
	return true
}

// regain ends reads that wait when the store has come back.
type regain struct {
	mu      sync.Mutex
	away    bool
	cancels map[*context.CancelFunc]struct{}
}

// wait returns a context that ends when the store has come back, and a function
// that releases it.
func (r *regain) wait(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancels == nil {
		r.cancels = map[*context.CancelFunc]struct{}{}
	}
	r.cancels[&cancel] = struct{}{}
	return ctx, func() {
		r.mu.Lock()
		delete(r.cancels, &cancel)
		r.mu.Unlock()
		cancel()
	}
}

// lost notes that a call failed, and reports whether that is news.
func (r *regain) lost() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	news := !r.away
	r.away = true
	return news
}

// back notes that a call succeeded, and reports whether that is news.
func (r *regain) back() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	news := r.away
	r.away = false
	if news {
		for cancel := range r.cancels {
			(*cancel)()
		}
	}
	return news
}
