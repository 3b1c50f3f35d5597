package ingress

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/platform"
)

// relay relays the response to a run and reports whether the request has ended.
// A response that cannot be relayed is reported to the core as StepRefused or
// StepFailed. The result of a run that was cancelled is discarded, except for the proof
// that it was not run.
func (x *exchange) relay(result runResult) bool {
	r, response := result.run, result.response
	if result.rest != nil {
		defer result.rest.Close()
	}
	proof, rejected := result.notRun.Get()
	if rejected || nothingSent(result.err) {
		x.unproven.Remove(r.Send)
	}
	switch {
	case rejected:
		x.removeEnded(r)
		x.reportStepRefused(r.step(), proof, response.status)
	case r.ctx.Err() != nil:
	case result.err != nil:
		x.failRun(r, result.err, 0)
	case x.headSent.Load():
		x.failRun(r, &UpstreamFailedError{Status: response.status}, response.status)
	case !r.Repeatable && platform.PromisesNotRun(response.status):
		x.failRun(r, &UnprovenRejectionError{Status: response.status}, response.status)
	case response.status >= http.StatusInternalServerError:
		x.failure = &response
		x.failRun(r, &UpstreamFailedError{Status: response.status}, response.status)
	default:
		return x.relayResponse(result)
	}
	return false
}

// failRun notifies the core that a run got no usable response.
func (x *exchange) failRun(r *run, err error, status int) {
	x.removeEnded(r)
	x.reportStepFailed(r.step(), err, status)
}

// relayResponse relays a response that is not a stream.
func (x *exchange) relayResponse(result runResult) bool {
	r := result.run
	x.keepOnly(r)
	x.reportStarted(r)
	if result.rest != nil {
		return x.relayUnbuffered(result)
	}
	x.writeBuffered(result.response)
	x.server.SendToCore(core.ForwardResponseCompleted{ID: x.forward.ID, Send: r.Send, Engine: r.Engine})
	return true
}

// relayUnbuffered relays a response that is longer than maxBufferedBytes.
func (x *exchange) relayUnbuffered(result runResult) bool {
	start := result.response
	platform.CopyResponseHeader(x.w.Header(), start.header)
	if result.rest.Length >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(result.rest.Length, 10))
	}
	x.writeHead(start.status)
	x.unresumable.Store(true)
	caller := &callerWriter{w: x.w}
	_, err := io.Copy(caller, io.MultiReader(bytes.NewReader(start.body), result.rest.Body))
	switch {
	case caller.failed || x.ctx.Err() != nil:
		x.endDisconnected()
		return true
	case err != nil:
		x.failRun(result.run, err, 0)
		return false
	}
	x.server.SendToCore(core.ForwardResponseCompleted{ID: x.forward.ID, Send: result.run.Send, Engine: result.run.Engine})
	x.recordEnd(start.status)
	return true
}

// callerWriter writes to a caller and records whether that failed.
type callerWriter struct {
	w      io.Writer
	failed bool
}

// Write writes to the caller.
func (c *callerWriter) Write(p []byte) (int, error) {
	n, err := c.w.Write(p)
	c.failed = c.failed || err != nil
	return n, err
}

// writeBuffered writes a whole response to the caller. Without a Content-Type
// from the upstream it sends none, where net/http would guess one.
func (x *exchange) writeBuffered(response bufferedResponse) {
	platform.CopyResponseHeader(x.w.Header(), response.header)
	if _, ok := response.header["Content-Type"]; !ok {
		x.w.Header()["Content-Type"] = nil
	}
	x.w.Header().Set("Content-Length", strconv.Itoa(len(response.body)))
	x.writeHead(response.status)
	// The error is ignored: a caller that disconnected needs no response.
	_, _ = x.w.Write(response.body)
	x.recordEnd(response.status)
}

// writeHead sends the status and the headers to the caller.
func (x *exchange) writeHead(status int) {
	if x.headSent.Load() {
		x.reportViolation(core.AnsweredOnce, "the head of a response is sent again")
	}
	if x.server.closing.Load() {
		x.w.Header().Set("Connection", "close")
	}
	x.w.WriteHeader(status)
	x.headSent.Store(true)
	x.headSentAt = time.Now()
}

// relayEvent relays one event of a run's stream, or its end, and reports whether the
// request has ended. If the stream breaks off, the core decides whether another upstream
// resumes it within the same response.
func (x *exchange) relayEvent(e streamEvent) bool {
	switch {
	case e.run.ctx.Err() != nil:
		return false
	case e.err == io.EOF:
		x.keepOnly(e.run)
		x.finishStream(e)
		return true
	case e.err != nil:
		x.failRun(e.run, e.err, 0)
		return false
	case !e.data:
		return x.relayFiller(e)
	}
	x.keepOnly(e.run)
	x.sendStreamHead(e)
	x.reportEvent(e.run)
	if e.id != "" {
		x.lastEventID = e.id
		x.eventCount++
	}
	if !x.writeEvent(e.event) {
		x.endDisconnected()
		return true
	}
	x.restartStallTimer(e.run)
	return false
}

// relayFiller relays lines of the present run's stream that are no event, such as comments, and
// reports whether the request has ended. A run that sends nothing else is silent. Before the first
// event they are dropped: the answer has not begun.
func (x *exchange) relayFiller(e streamEvent) bool {
	if e.run != x.current || !e.run.started {
		return false
	}
	began := time.Now()
	if _, err := x.w.Write(e.event); err != nil || http.NewResponseController(x.w).Flush() != nil {
		x.endDisconnected()
		return true
	}
	if e.run.StallAfter > 0 {
		// The time in which the caller did not read does not count.
		x.setStallTimer(x.stallAt.Add(time.Since(began)))
	}
	return false
}

// sendStreamHead sends the head of a stream's response unless it was sent before.
func (x *exchange) sendStreamHead(e streamEvent) {
	if !x.headSent.Load() {
		platform.CopyResponseHeader(x.w.Header(), e.header)
		x.writeHead(e.status)
	}
}

// writeEvent sends an event to the caller at once and reports whether that
// succeeded.
func (x *exchange) writeEvent(event []byte) bool {
	if _, err := x.w.Write(event); err != nil {
		return false
	}
	x.lastEventAt = time.Now()
	return http.NewResponseController(x.w).Flush() == nil
}

// finishStream ends a stream that the upstream completed. If the stream had no
// events, it sends the head of the response first.
func (x *exchange) finishStream(e streamEvent) {
	x.sendStreamHead(e)
	x.server.SendToCore(core.ForwardResponseCompleted{ID: x.forward.ID, Send: e.run.Send, Engine: e.run.Engine, Events: x.eventCount})
	x.recordEnd(e.status)
}
