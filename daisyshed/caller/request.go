package caller

import (
	"sync"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/engine"
)

// output writes an answer in the form that its caller asked for.
type output interface {
	// token writes one token of the answer.
	token(offset core.Tokens, text string, last bool) error
	// end ends an answer whose every token the caller has.
	end() error
	// problem ends the answer with a problem.
	problem(p Problem)
}

// request is one caller's request on one connection. The goroutine that reads
// tokens from an engine writes them to the caller; the handler waits until the
// request has ended.
type request struct {
	id   core.RequestID
	text string

	// refused, taken, broken and finished tell the handler how the request
	// ended.
	refused  chan Problem
	taken    chan struct{}
	broken   chan struct{}
	finished chan struct{}
	// left is closed once the core has heard of the end.
	left     chan struct{}
	takeOnce sync.Once

	mu     sync.Mutex
	out    output
	sent   core.Tokens
	pace   pace
	closed bool
	// whole is set once the caller has been sent the last token.
	whole bool
}

func newRequest(id core.RequestID, text string, sent core.Tokens, out output) *request {
	return &request{
		id:       id,
		text:     text,
		refused:  make(chan Problem, 1),
		taken:    make(chan struct{}),
		broken:   make(chan struct{}),
		finished: make(chan struct{}),
		left:     make(chan struct{}),
		out:      out,
		sent:     sent,
		pace:     pace{arrived: time.Now()},
	}
}

// Text returns the prompt.
func (r *request) Text() string { return r.text }

// Sent returns how many tokens the caller has been sent.
func (r *request) Sent() core.Tokens {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sent
}

// Token sends one token to the caller. Tokens go out in order and once each.
func (r *request) Token(offset core.Tokens, text string, last bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.closed:
		return engine.CallerGoneError{}
	case offset <= r.sent && last:
		return r.endAt(offset)
	case offset <= r.sent:
		return nil
	case offset > r.sent+1:
		return &engine.GapError{Want: r.sent + 1, Got: offset}
	}
	if err := r.out.token(offset, text, last); err != nil {
		return r.breakOff()
	}
	r.sent = offset
	r.pace.token(time.Now())
	if last {
		r.finish()
	}
	return nil
}

// endAt ends the answer to a caller that came back with its last token, or
// with one that the answer does not have.
func (r *request) endAt(length core.Tokens) error {
	if r.sent > length {
		r.out.problem(*badHeader("Last-Event-ID is beyond the end of the answer"))
		return r.breakOff()
	}
	if err := r.out.end(); err != nil {
		return r.breakOff()
	}
	r.finish()
	return nil
}

// finish notes that the caller has been sent the whole answer.
func (r *request) finish() {
	r.closed = true
	r.whole = true
	close(r.finished)
}

// breakOff ends the request before its answer is whole.
func (r *request) breakOff() error {
	r.closed = true
	close(r.broken)
	return engine.CallerGoneError{}
}

// refuse ends the request with a problem, which the handler writes.
func (r *request) refuse(p Problem) {
	select {
	case r.refused <- p:
	default:
	}
}

// takeOver ends the request because its caller is back on another connection.
func (r *request) takeOver() { r.takeOnce.Do(func() { close(r.taken) }) }

// close stops all writing to the caller; after it the handler may return. It
// reports whether the caller has been sent the whole answer.
func (r *request) close() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	return r.whole
}
