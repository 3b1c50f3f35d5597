// Package platform simulates the platform's append-only log and its VM list. It
// has no clock: callers pass the current time to each method.
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

// ReadLimit is the maximum number of entries that one read returns.
const ReadLimit = 1000

// RateLimited is the error of an append that exceeded the log's rate limit and
// had no effect.
type RateLimited struct{ RetryAfter time.Duration }

// Error states the wait before a retry.
func (e RateLimited) Error() string {
	return fmt.Sprintf("append rate exceeded, retry after %s", e.RetryAfter)
}

// Log is an append-only log of several streams. Set its exported fields before
// use. Its methods are safe for concurrent use.
type Log struct {
	// Retention is the time after which records expire.
	Retention time.Duration
	// AppendsPerSecond is the rate limit of append requests; zero means no limit.
	AppendsPerSecond float64
	// Injector injects faults.
	Injector fault.Injector

	mu      sync.Mutex
	streams map[core.StreamID]*stream
	// tokens is the level of the token bucket for appends, as of refilledAt.
	tokens     float64
	refilledAt core.Instant
}

// stream is one stream. first is the offset of entries[0], or of the next record
// if there are no entries.
type stream struct {
	first   core.Offset
	entries []platformlog.Entry
}

// end returns the offset of the last record, or first-1 if there are no entries.
func (s *stream) end() core.Offset { return s.first + core.Offset(len(s.entries)) - 1 }

// Append appends records to a stream at consecutive offsets and returns the first
// offset. now is in Unix nanoseconds. The records are in the log even if the error
// is fault.ReplyLost.
func (l *Log) Append(now core.Instant, id core.StreamID, records [][]byte) (core.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.Injector.BeforeOperation(); err != nil {
		return 0, err
	}
	if err := l.takeToken(now); err != nil {
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
	return first, l.Injector.AfterOperation()
}

// Read returns up to ReadLimit unexpired entries with offsets above after. now is
// in Unix nanoseconds.
func (l *Log) Read(now core.Instant, id core.StreamID, after core.Offset) (platformlog.ReadResult, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.Injector.BeforeOperation(); err != nil {
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

// stream returns a stream and creates it if necessary.
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

// expire removes the records older than the retention.
func (l *Log) expire(now core.Instant, s *stream) {
	cutoff := int64(now.Add(-l.Retention))
	n := 0
	for n < len(s.entries) && s.entries[n].At < cutoff {
		n++
	}
	s.entries = s.entries[n:]
	s.first += core.Offset(n)
}

// takeToken takes one token from the token bucket or returns RateLimited. The
// bucket is refilled at AppendsPerSecond and holds at most one second's appends.
func (l *Log) takeToken(now core.Instant) error {
	if l.AppendsPerSecond <= 0 {
		return nil
	}
	elapsed := now.Sub(l.refilledAt).Seconds()
	if l.refilledAt == 0 {
		elapsed = 1
	}
	l.tokens = min(l.AppendsPerSecond, l.tokens+elapsed*l.AppendsPerSecond)
	l.refilledAt = now
	if l.tokens < 1 {
		wait := (1 - l.tokens) / l.AppendsPerSecond
		return RateLimited{RetryAfter: time.Duration(wait * float64(time.Second))}
	}
	l.tokens--
	return nil
}
