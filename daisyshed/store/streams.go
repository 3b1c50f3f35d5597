package store

import (
	"context"
	"errors"
	"sync"

	"daisyshed.dev/core"
	"daisyshed.dev/platform"
)

const (
	// maxStreamRecords is how many of the last records of the log of streams a node reads when it
	// does not follow the log yet. Two nodes append a record for each service and version up to
	// ten times a second, and streams may be resumed for minutes.
	maxStreamRecords = 1 << 14
	// maxStreamPages bounds the pages of a read of that log.
	maxStreamPages = 64
)

// streamsReader reads the log of the versions that began streams, from where the last read has
// ended. Its zero value is ready for use.
type streamsReader struct {
	mu    sync.Mutex
	next  core.Offset
	era   core.StoreEra
	began bool
}

// tooManyPagesError reports a log that did not end within maxStreamPages.
type tooManyPagesError struct{}

// Error returns the message.
func (tooManyPagesError) Error() string { return "store: log of streams did not end in time" }

// AppendStreams appends versions that began streams to the store, and sends the outcome to the
// core. It does not block.
func (w *Watcher) AppendStreams(c core.AppendStreams) {
	go func() {
		err := w.appendStreams(context.Background(), c)
		if err != nil {
			w.Log.Warn().Str("Event", "StoreLost").Str("Topic", string(platform.Streams)).Err(err).Send()
		}
		w.SendToCore(core.StreamsAppended{Failed: err != nil})
	}()
}

func (w *Watcher) appendStreams(ctx context.Context, c core.AppendStreams) error {
	var values [][]byte
	for _, o := range c.Origins {
		list, err := platform.EncodeStreams(o)
		if err != nil {
			return err
		}
		values = append(values, list...)
	}
	return w.Store.Append(ctx, platform.Streams, "", values...)
}

// ReadStreams reads the versions that began streams from the store, and sends them to the core.
// It does not block.
func (w *Watcher) ReadStreams(c core.ReadStreams) {
	go func() {
		m := core.StreamsRead{Started: c.Started}
		records, err := w.streams.read(context.Background(), w)
		if err != nil {
			m.Failed = true
			w.Log.Warn().Str("Event", "StoreLost").Str("Topic", string(platform.Streams)).Err(err).Send()
		}
		for _, r := range records {
			o, err := platform.DecodeStreams(r.Value)
			if err != nil {
				w.Log.Warn().Str("Event", "Unreadable").Str("Topic", string(platform.Streams)).Int64("Offset", int64(r.Offset)).Err(err).Send()
				continue
			}
			m.Origins = append(m.Origins, o)
		}
		w.SendToCore(m)
	}()
}

// restart begins anew in a later era: the offset is of an earlier one.
func (s *streamsReader) restart(era core.StoreEra) { s.next, s.era, s.began = 0, era, false }

// read returns the records up to the end of the log. It returns those that it has read also with
// an error.
func (s *streamsReader) read(ctx context.Context, w *Watcher) (records []platform.Record, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range maxStreamPages {
		if era := w.era.latest(); era > s.era {
			s.restart(era)
		}
		p, err := w.Store.Read(ctx, platform.Streams, s.next, 0)
		var compacted *platform.CompactedError
		switch {
		case errors.As(err, &compacted) && compacted.First != s.next:
			s.next = compacted.First
			continue
		case err != nil:
			return records, err
		case p.Era > s.era:
			s.restart(p.Era)
			continue
		}
		if tail := p.End - maxStreamRecords; !s.began && s.next < tail {
			s.next, s.began = tail, true
			continue
		}
		s.next, s.began = p.Next, true
		records = append(records, p.Records...)
		if !p.More {
			return records, nil
		}
	}
	return records, tooManyPagesError{}
}
