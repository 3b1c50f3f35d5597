// Package platform models the platform's append-only log and its VM list. It
// has no clock: each method takes the time.
package platform

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/standin/fault"
	"daisyshed.dev/wire/platformlog"
)

// ReadLimit is the largest number of entries that one read returns.
const ReadLimit = 1000

// RateLimited says that an append exceeded the log's rate and did not take
// effect.
type RateLimited struct{ RetryAfter time.Duration }

func (e RateLimited) Error() string {
	return fmt.Sprintf("append rate exceeded, retry after %s", e.RetryAfter)
}

// Log is an append-only log of several streams. Its fields are set before
// use; its methods may be called by several goroutines.
type Log struct {
	// Retention is how long records are kept.
	Retention time.Duration
	// AppendsPerSecond bounds the append requests; zero sets no bound.
	AppendsPerSecond float64
	// Gate injects faults.
	Gate fault.Gate

	mu      sync.Mutex
	streams map[core.StreamID]*stream
	// credit is the number of appends that the rate allows at once, as of
	// credited.
	credit   float64
	credited core.Instant
}

// stream is one stream; entries[0] has the offset first.
type stream struct {
	first   core.Offset
	entries []platformlog.Entry
}

func (s *stream) end() core.Offset { return s.first + core.Offset(len(s.entries)) - 1 }

// Append adds records to a stream without others between them, and returns the
// offset of the first. now is in Unix nanoseconds. After a fault.ReplyLost
// the records are in the log all the same.
func (l *Log) Append(now core.Instant, id core.StreamID, records [][]byte) (core.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.Gate.Enter(); err != nil {
		return 0, err
	}
	if err := l.takeCredit(now); err != nil {
		return 0, err
	}
	s := l.stream(id)
	first := s.end() + 1
	for i, data := range records {
		s.entries = append(s.entries, platformlog.Entry{
			Offset: first + core.Offset(i),
			At:     int64(now),
			Data:   slices.Clone(data),
		})
	}
	return first, l.Gate.Leave()
}

// Read returns the entries after an offset, at most ReadLimit of them.
func (l *Log) Read(now core.Instant, id core.StreamID, after core.Offset) (platformlog.ReadResult, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.Gate.Enter(); err != nil {
		return platformlog.ReadResult{}, err
	}
	s := l.stream(id)
	l.expire(now, s)
	from := max(0, int(after-s.first)+1)
	from = min(from, len(s.entries))
	to := min(from+ReadLimit, len(s.entries))
	return platformlog.ReadResult{
		Entries:        slices.Clone(s.entries[from:to]),
		First:          s.first,
		End:            s.end(),
		Now:            int64(now),
		RetentionNanos: int64(l.Retention),
	}, nil
}

func (l *Log) stream(id core.StreamID) *stream {
	if l.streams == nil {
		l.streams = map[core.StreamID]*stream{}
	}
	s, ok := l.streams[id]
	if !ok {
		s = &stream{first: 1}
		l.streams[id] = s
	}
	return s
}

func (l *Log) expire(now core.Instant, s *stream) {
	kept := int64(now.Add(-l.Retention))
	n := 0
	for n < len(s.entries) && s.entries[n].At < kept {
		n++
	}
	s.entries = s.entries[n:]
	s.first += core.Offset(n)
}

// takeCredit counts one append against the rate. One second's appends may come
// at once.
func (l *Log) takeCredit(now core.Instant) error {
	if l.AppendsPerSecond <= 0 {
		return nil
	}
	elapsed := now.Sub(l.credited).Seconds()
	if l.credited == 0 {
		elapsed = 1
	}
	l.credit = min(l.AppendsPerSecond, l.credit+elapsed*l.AppendsPerSecond)
	l.credited = now
	if l.credit < 1 {
		wait := (1 - l.credit) / l.AppendsPerSecond
		return RateLimited{RetryAfter: time.Duration(wait * float64(time.Second))}
	}
	l.credit--
	return nil
}
