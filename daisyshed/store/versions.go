package store

import (
	"context"

	"daisyshed.dev/core"
	"daisyshed.dev/platform"
)

// readVersions reads the recorded versions of upstreams' software and sends them to the core, which
// cannot know without them which versions have served before.
func (w *Watcher) readVersions(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		p, err := w.Store.ReadLatest(ctx, platform.Versions)
		if err == nil {
			w.sendVersions(p.Records)
			return
		}
		w.Log.Warn().Str("Event", "StoreLost").Str("Topic", string(platform.Versions)).Err(err).Send()
		sleepWithJitter(ctx, backoff, nil)
		backoff = min(2*backoff, maxBackoff)
	}
}

func (w *Watcher) sendVersions(records []platform.Record) {
	var m core.VersionsRead
	for _, r := range records {
		if len(r.Value) == 0 {
			continue
		}
		v, err := platform.DecodeVersion(r.Value)
		if err != nil {
			w.Log.Warn().Str("Event", "Unreadable").Str("Topic", string(platform.Versions)).Err(err).Send()
			continue
		}
		if v.Window > 0 {
			m.Windows = append(m.Windows, v)
			continue
		}
		m.Versions = append(m.Versions, v.ServiceVersion)
	}
	w.SendToCore(m)
}

// ReadVersions reads the recorded versions and sends them to the core. It does not block.
func (w *Watcher) ReadVersions() { go w.readVersions(context.Background()) }

// RecordVersion records a version or its resume window, or removes that record, and sends the
// outcome to the core. It does not block.
func (w *Watcher) RecordVersion(c core.RecordVersion) {
	go func() {
		key, value, err := platform.EncodeVersion(c)
		if c.Gone {
			value = nil
		}
		if err == nil {
			err = w.Store.Append(context.Background(), platform.Versions, key, value)
		}
		w.Log.Info().Str("Event", "VersionRecorded").Str("Service", string(c.Service)).Str("Software", string(c.Version)).
			Dur("Window", c.Window).Bool("Gone", c.Gone).Err(err).Send()
		w.SendToCore(core.VersionRecorded{RecordVersion: c, Failed: err != nil})
	}()
}
