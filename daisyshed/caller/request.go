package caller

import (
	"sync"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/engine"
)

// answerWriter writes an answer to its caller, streamed or as one JSON object.
type answerWriter interface {
	// writeToken writes one token of the answer.
	writeToken(offset core.Tokens, text string, last bool) error
	// writeEnd ends an answer of which the caller already has every token.
	writeEnd() error
	// writeProblem ends the answer with a problem.
	writeProblem(p Problem)
}

// request is one caller's request on one connection. The goroutine that reads
// tokens from an engine also writes them to the caller. The HTTP handler only
// waits until the request has ended.
type request struct {
	id     core.RequestID
	prompt string

	// These channels notify the handler of how the request ended: rejected by the
	// core, superseded by a newer connection of its caller, aborted before its
	// answer was complete, or finished with a complete answer.
	rejected   chan Problem
	superseded chan struct{}
	aborted    chan struct{}
	finished   chan struct{}
	// removed is closed once the request is removed from the table. If there is a
	// CallerDisconnected for the request, it has been sent to the core by then.
	removed       chan struct{}
	supersedeOnce sync.Once

	mu     sync.Mutex
	out    answerWriter
	sent   core.Tokens
	timing tokenTimes
	closed bool
	// complete is set once the last token has been sent to the caller.
	complete bool
}

func newRequest(id core.RequestID, prompt string, sent core.Tokens, out answerWriter) *request {
	return &request{
		id:         id,
		prompt:     prompt,
		rejected:   make(chan Problem, 1),
		superseded: make(chan struct{}),
		aborted:    make(chan struct{}),
		finished:   make(chan struct{}),
		removed:    make(chan struct{}),
		out:        out,
		sent:       sent,
		timing:     tokenTimes{received: time.Now()},
	}
}

// Prompt returns the prompt.
func (r *request) Prompt() string { return r.prompt }

// TokensSent returns how many tokens have been sent to the caller, including those
// that it had received before it resumed.
func (r *request) TokensSent() core.Tokens {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sent
}

// SendToken sends one token to the caller. Each token is sent once and in order: one
// that was already sent is dropped, and a gap is a GapError.
func (r *request) SendToken(offset core.Tokens, text string, last bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.closed:
		return engine.CallerDisconnectedError{}
	case offset <= r.sent && last:
		return r.resumeAtEnd(offset)
	case offset <= r.sent:
		return nil
	case offset > r.sent+1:
		return &engine.GapError{Want: r.sent + 1, Got: offset}
	}
	if err := r.out.writeToken(offset, text, last); err != nil {
		return r.abort()
	}
	r.sent = offset
	r.timing.recordToken(time.Now())
	if last {
		r.markComplete()
	}
	return nil
}

// resumeAtEnd handles the last token of an answer if its offset was already sent.
// A caller that resumed with this offset has the whole answer, and the answer is
// ended. A caller that resumed with a higher offset is rejected.
func (r *request) resumeAtEnd(length core.Tokens) error {
	if r.sent > length {
		r.out.writeProblem(*badHeader("Last-Event-ID is beyond the end of the answer"))
		return r.abort()
	}
	if err := r.out.writeEnd(); err != nil {
		return r.abort()
	}
	r.markComplete()
	return nil
}

// markComplete records that the whole answer has been sent to the caller.
func (r *request) markComplete() {
	r.closed = true
	r.complete = true
	close(r.finished)
}

// abort ends the request before its answer is complete.
func (r *request) abort() error {
	r.closed = true
	close(r.aborted)
	return engine.CallerDisconnectedError{}
}

// reject ends the request with a problem, which the handler writes.
func (r *request) reject(p Problem) {
	select {
	case r.rejected <- p:
	default:
	}
}

// supersede ends the request because its caller has resumed it on another
// connection.
func (r *request) supersede() { r.supersedeOnce.Do(func() { close(r.superseded) }) }

// close stops all writes to the caller, so that the handler may return. It
// reports whether the whole answer was sent.
func (r *request) close() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	return r.complete
}
