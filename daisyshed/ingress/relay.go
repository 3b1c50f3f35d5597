package ingress

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/upstream"
	"daisyshed.dev/platform"
)

// relay passes an upstream's answer on and reports whether the request has
// ended. What cannot be passed on goes to the core as a failed step.
func (x *exchange) relay(a answered) bool {
	if a.err != nil {
		if a.ctx.Err() == nil || x.ctx.Err() != nil {
			x.failed(a.run.Engine, core.RunStep, a.err, 0)
		}
		return false
	}
	defer a.answer.Close()
	if a.ctx.Err() != nil {
		return false
	}
	if notRun, elsewhere := platform.NotRun(a.answer.Status, a.answer.Header); notRun {
		x.drain(a.answer)
		x.server.Send(core.StepRefused{ID: x.forward.ID, Engine: a.run.Engine, Step: core.RunStep, AddressReused: elsewhere})
		return false
	}
	success := a.answer.Status >= 200 && a.answer.Status < 300
	switch {
	case success && !platform.Sealed(a.answer.Header):
		x.failed(a.run.Engine, core.RunStep, UnsealedError{}, 0)
		return false
	case success && isStream(a.answer.Header):
		return x.relayEvents(a)
	default:
		return x.relayWhole(a, success)
	}
}

// drain reads a short answer to its end, so that its connection can be used
// again.
func (x *exchange) drain(a *upstream.Answer) {
	// A connection that breaks here is closed with the answer.
	_, _ = io.Copy(io.Discard, io.LimitReader(a.Body, maxBuffered))
}

func isStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// relayWhole reads an answer whole before it passes it on.
func (x *exchange) relayWhole(a answered, success bool) bool {
	body, err := io.ReadAll(io.LimitReader(a.answer.Body, maxBuffered+1))
	if err != nil {
		if a.ctx.Err() == nil {
			x.failed(a.run.Engine, core.RunStep, err, 0)
		}
		return false
	}
	k := kept{status: a.answer.Status, header: a.answer.Header, body: body}
	if !success && a.answer.Status >= http.StatusInternalServerError {
		x.failure = &k
		x.failed(a.run.Engine, core.RunStep, &FailedError{Status: a.answer.Status}, a.answer.Status)
		return false
	}
	x.server.Send(core.ForwardAnswering{ID: x.forward.ID, Engine: a.run.Engine})
	if len(body) <= maxBuffered {
		x.writeKept(k)
		x.server.Send(core.ForwardEnded{ID: x.forward.ID, Engine: a.run.Engine})
		return true
	}
	return x.relayLong(a, k)
}

// relayLong passes on an answer that is too long to be read whole first.
func (x *exchange) relayLong(a answered, k kept) bool {
	platform.AnswerHeader(x.w.Header(), k.header)
	if a.answer.Length >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(a.answer.Length, 10))
	}
	x.begin(k.status)
	_, err := x.w.Write(k.body)
	if err == nil {
		_, err = io.Copy(x.w, a.answer.Body)
	}
	if err != nil {
		x.failed(a.run.Engine, core.RunStep, err, 0)
		return false
	}
	x.server.Send(core.ForwardEnded{ID: x.forward.ID, Engine: a.run.Engine})
	x.note(k.status)
	return true
}

func (x *exchange) writeKept(k kept) {
	platform.AnswerHeader(x.w.Header(), k.header)
	if _, ok := k.header["Content-Type"]; !ok {
		x.w.Header()["Content-Type"] = nil
	}
	x.w.Header().Set("Content-Length", strconv.Itoa(len(k.body)))
	x.begin(k.status)
	// A caller that left is noticed by its context.
	_, _ = x.w.Write(k.body)
	x.note(k.status)
}

func (x *exchange) begin(status int) {
	if x.server.closing.Load() {
		x.w.Header().Set("Connection", "close")
	}
	x.w.WriteHeader(status)
	x.started = true
	x.firstAt = time.Now()
}

// relayEvents passes a stream on event by event. If it breaks off, the core
// decides whether another upstream goes on with it in the same answer.
func (x *exchange) relayEvents(a answered) bool {
	timer, stalled := x.watchStall(a)
	defer timer.Stop()
	events := upstream.NewEvents(a.answer.Body)
	for {
		event, id, err := events.Next()
		if err == io.EOF {
			x.finishStream(a)
			return true
		}
		if err != nil {
			return x.streamBroke(a, stalled, err)
		}
		if a.run.StallAfter > 0 {
			timer.Reset(a.run.StallAfter)
		}
		if !x.started {
			platform.AnswerHeader(x.w.Header(), a.answer.Header)
			x.begin(a.answer.Status)
			x.server.Send(core.ForwardAnswering{ID: x.forward.ID, Engine: a.run.Engine})
		}
		if id != "" {
			x.event = id
			x.events++
		}
		if !x.writeEvent(event) {
			return x.streamBroke(a, stalled, x.ctx.Err())
		}
	}
}

func (x *exchange) writeEvent(event []byte) bool {
	if _, err := x.w.Write(event); err != nil {
		return false
	}
	return http.NewResponseController(x.w).Flush() == nil
}

func (x *exchange) finishStream(a answered) {
	if !x.started {
		platform.AnswerHeader(x.w.Header(), a.answer.Header)
		x.begin(a.answer.Status)
	}
	x.server.Send(core.ForwardEnded{ID: x.forward.ID, Engine: a.run.Engine, Events: x.events})
	x.note(a.answer.Status)
}

// watchStall closes the connection of a stream that pauses for too long, and
// notes that it did.
func (x *exchange) watchStall(a answered) (*time.Timer, *atomic.Bool) {
	var stalled atomic.Bool
	t := time.AfterFunc(time.Hour, func() {
		stalled.Store(true)
		x.endRun()
	})
	if a.run.StallAfter > 0 {
		t.Reset(a.run.StallAfter)
	} else {
		t.Stop()
	}
	return t, &stalled
}

// streamBroke reports a stream that ended early, and whether the request has
// ended with it.
func (x *exchange) streamBroke(a answered, stalled *atomic.Bool, err error) bool {
	switch {
	case x.ctx.Err() != nil:
		x.server.Send(core.ForwardGone{ID: x.forward.ID})
		return true
	case stalled.Load():
		err = StalledError{}
	case a.ctx.Err() != nil:
		return false
	}
	x.failed(a.run.Engine, core.RunStep, err, 0)
	return false
}
