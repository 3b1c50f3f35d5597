package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/tcp"
	"daisyshed.dev/daisyshed/upstream"
	"daisyshed.dev/platform"
)

const (
	// maxBufferedBytes is the largest response that is read whole before any of it
	// goes to the caller. Until then, the request can still be sent to another
	// upstream if the response breaks off.
	maxBufferedBytes = 1 << 20
	// maxDrainBytes and drainTimeout bound what is read of a response whose body has no
	// use, so that its connection can be used again.
	maxDrainBytes = 64 << 10
	drainTimeout  = 50 * time.Millisecond
	// unreadTime is how long after the time for which it waits a caller may leave an answer
	// unread.
	unreadTime = 2 * time.Second
)

// run is one sending of a request to an upstream that is to run it. Its goroutine reads
// the response and passes it to the goroutine of the exchange.
type run struct {
	core.RunForward
	ctx    context.Context
	cancel context.CancelFunc
	// started is set once an event has gone to the caller, and stalled while the core has
	// been told that the run is silent. Only the goroutine of the exchange uses them.
	started, stalled bool
	// openedAt is when the run's connection was opened. It is set before the first result.
	openedAt time.Time
	// response is the response once its head has been read.
	response atomic.Pointer[upstream.Response]
}

func (r *run) step() step {
	s := step{kind: core.RunStep, engine: r.Engine, send: r.Send}
	if response := r.response.Load(); response != nil {
		s.relay = response.Relay
	}
	return s
}

// runResult is the response to a run, or the error that came in its place. The events of
// a stream follow as streamEvents instead.
type runResult struct {
	run      *run
	err      error
	response bufferedResponse
	// notRun is present if the response proves that the upstream has not run the request.
	notRun core.Option[core.NotRunProof]
	// rest is the response if its body is longer than maxBufferedBytes, else nil. Its
	// receiver must close it.
	rest *upstream.Response
}

// bufferedResponse is a response whose body is in memory.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// success says that the upstream answered the request.
func (b bufferedResponse) success() bool { return b.status >= 200 && b.status < 300 }

// streamEvent is a whole event of a run's stream with its id, or the error that ended the
// stream; io.EOF if it ended as it should. Without data or an id it is no progress of the
// stream.
type streamEvent struct {
	run    *run
	status int
	header http.Header
	event  []byte
	data   bool
	id     string
	err    error
}

// startRun sends the request to the upstream that is to run it. A stream that was already
// relayed in part resumes after its last event. Runs before it are cancelled, unless it is
// to take over from a silent one.
func (x *exchange) startRun(c core.RunForward) {
	if x.refuseRun(c) {
		return
	}
	x.unproven.Add(c.Send)
	r := &run{RunForward: c}
	r.ctx, r.cancel = context.WithCancel(x.ctx)
	if c.TakesOver && x.current != nil {
		x.replacement = r
		if c.MaxOverlap > 0 {
			x.overlap.Reset(c.MaxOverlap)
		}
	} else {
		x.cancelRuns()
		x.overlap.Stop()
		x.current, x.replacement = r, nil
	}
	x.addRun(r)
	header := http.Header{}
	platform.SetRun(header, c)
	if x.lastEventID != "" {
		platform.SetResume(header, x.lastEventID)
	}
	go x.readResponse(r, header)
}

// readResponse sends a run's request with the headers that replace the caller's, reads the response
// and passes it on.
func (x *exchange) readResponse(r *run, header http.Header) {
	response, err := x.sendRun(r, header)
	if err != nil {
		x.passResult(runResult{run: r, err: err})
		return
	}
	r.openedAt = response.OpenedAt
	r.response.Store(response)
	result := runResult{run: r, response: bufferedResponse{status: response.Status, header: response.Header}}
	result.notRun = platform.NotRun(response.Status, response.Header, r.Engine)
	_, rejected := result.notRun.Get()
	switch {
	case rejected:
		drain(r.cancel, response)
	case result.response.success() && !platform.HasSignature(response.Header):
		response.Close()
		result.err = MissingSignatureError{}
	case result.response.success() && isStream(response.Header):
		x.readEvents(r, response)
		return
	default:
		result.readBody(x.r.Context(), response)
	}
	x.passResult(result)
}

func isStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// drain reads a short body to its end and closes the response, so that the connection can
// be used again. It is not worth waiting for a long one; cancel ends the request to the
// upstream then.
func drain(cancel context.CancelFunc, response *upstream.Response) {
	t := time.AfterFunc(drainTimeout, cancel)
	defer t.Stop()
	// If the read fails, Close closes the connection.
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxDrainBytes))
	response.Close()
}

// readBody reads the body of a response up to maxBufferedBytes, or as far as there is memory, and
// closes the response unless there is more. What it has read counts as held until ctx ends.
func (result *runResult) readBody(ctx context.Context, response *upstream.Response) {
	held := response.Reserve()
	body, err := response.ReadHeld(maxBufferedBytes, &held)
	context.AfterFunc(ctx, held.Release)
	var full *tcp.UnfinishedError
	more := errors.As(err, &full)
	if more {
		err = nil
	}
	result.response.body, result.err = body, err
	if more || err == nil && len(body) > maxBufferedBytes {
		result.rest = response
		return
	}
	response.Close()
}

// readEvents reads the events of a stream and passes them on one at a time. An unframed
// stream without an event has broken off: nothing tells it from one whose engine ended.
func (x *exchange) readEvents(r *run, response *upstream.Response) {
	events := upstream.NewEventReader(response.Body)
	defer events.Release()
	for began := false; ; {
		e := streamEvent{run: r, status: response.Status, header: response.Header}
		e.event, e.id, e.err = events.Next()
		e.data = e.id != "" || upstream.HasData(e.event)
		began = began || e.data
		if e.err == io.EOF && !began && response.Unframed {
			e.err = io.ErrUnexpectedEOF
		}
		if e.err != nil {
			// The connection is kept only if it is released before the request ends.
			response.Close()
		}
		select {
		case x.events <- e:
		case <-r.ctx.Done():
			if e.err == nil {
				response.Close()
			}
			return
		}
		if e.err != nil {
			return
		}
	}
}

// passResult passes a result to the goroutine of the exchange, unless the request has
// ended.
func (x *exchange) passResult(result runResult) {
	select {
	case x.results <- result:
	case <-x.ctx.Done():
		if result.rest != nil {
			result.rest.Close()
		}
	}
}

// addRun adds a run to those that cancelRuns cancels.
func (x *exchange) addRun(r *run) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.runs = slices.DeleteFunc(x.runs, func(r *run) bool { return r.ctx.Err() != nil })
	x.runs = append(x.runs, r)
}

// cancelRuns cancels all runs of the request.
func (x *exchange) cancelRuns() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, r := range x.runs {
		r.cancel()
	}
	x.runs = nil
}
