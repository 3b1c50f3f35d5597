package caller

import (
	"time"

	"daisyshed.dev/core"
)

// LatencyRecorder receives the latencies of complete answers. Its methods must not
// block.
type LatencyRecorder interface {
	// RecordAnswer records one answer that was sent to its caller in full.
	RecordAnswer(a AnswerLatency)
}

// AnswerLatency holds the latencies of one answer that was sent to its caller in full.
type AnswerLatency struct {
	Profile core.ProfileID
	// Resumed is set if the answer was resumed after a lost connection. FirstToken
	// and PerToken then cover the last connection only.
	Resumed bool
	// FirstToken is the time from the request to the first token.
	FirstToken time.Duration
	// PerToken is the mean time between consecutive tokens, zero for a single token.
	PerToken time.Duration
}

// tokenTimes records when the tokens of one answer are sent to its caller.
type tokenTimes struct {
	received time.Time
	first    time.Time
	last     time.Time
	tokens   int
}

// recordToken records that a token was sent.
func (t *tokenTimes) recordToken(now time.Time) {
	if t.tokens == 0 {
		t.first = now
	}
	t.last = now
	t.tokens++
}

// summary returns the latencies of a complete answer.
func (t *tokenTimes) summary(m core.CallerRequest) AnswerLatency {
	a := AnswerLatency{Profile: m.Profile, Resumed: m.Resumed}
	if t.tokens > 0 {
		a.FirstToken = t.first.Sub(t.received)
	}
	if t.tokens > 1 {
		a.PerToken = t.last.Sub(t.first) / time.Duration(t.tokens-1)
	}
	return a
}
