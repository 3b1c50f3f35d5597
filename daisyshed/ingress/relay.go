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

// relay relays the response to a run and reports whether the request has ended.
// A response that cannot be relayed is reported to the core as StepRefused or
// StepFailed. The result of a run that a later command cancelled is discarded.
func (x *exchange) relay(result runResult) bool {
	if result.err != nil {
		if nothingSent(result.err) {
			x.unproven.Remove(result.run.Send)
		}
		if result.ctx.Err() == nil || x.ctx.Err() != nil {
			x.reportStepFailed(runStep(result.run), result.err, 0)
		}
		return false
	}
	defer result.response.Close()
	if result.ctx.Err() != nil {
		return false
	}
	if proof, ok := platform.NotRun(result.response.Status, result.response.Header, result.run.Engine).Get(); ok {
		x.unproven.Remove(result.run.Send)
		x.drain(result.response)
		x.reportStepRefused(runStep(result.run), proof, result.response.Status)
		return false
	}
	success := result.response.Status >= 200 && result.response.Status < 300
	switch {
	case success && !platform.HasSignature(result.response.Header):
		x.reportStepFailed(runStep(result.run), MissingSignatureError{}, 0)
		return false
	case success && isStream(result.response.Header):
		return x.relayEvents(result)
	case x.headSent:
		x.drain(result.response)
		x.reportStepFailed(runStep(result.run), &UpstreamFailedError{Status: result.response.Status}, result.response.Status)
		return false
	case result.run.Once && platform.PromisesNotRun(result.response.Status):
		x.drain(result.response)
		x.reportStepFailed(runStep(result.run), &UnprovenRejectionError{Status: result.response.Status}, result.response.Status)
		return false
	default:
		return x.relayBuffered(result, success)
	}
}

// drain reads a short response to its end, so that its connection can be
// reused.
func (x *exchange) drain(response *upstream.Response) {
	// If the read fails, Close closes the connection.
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxBufferedBytes))
}

func isStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// relayBuffered reads a whole response, up to maxBufferedBytes, before it
// relays any of it. A server error is kept in x.failure instead, because the
// core may try another upstream first.
func (x *exchange) relayBuffered(result runResult, success bool) bool {
	body, err := io.ReadAll(io.LimitReader(result.response.Body, maxBufferedBytes+1))
	if err != nil {
		if result.ctx.Err() == nil {
			x.reportStepFailed(runStep(result.run), err, 0)
		}
		return false
	}
	response := bufferedResponse{status: result.response.Status, header: result.response.Header, body: body}
	if !success && result.response.Status >= http.StatusInternalServerError {
		x.failure = &response
		x.reportStepFailed(runStep(result.run), &UpstreamFailedError{Status: result.response.Status}, result.response.Status)
		return false
	}
	x.server.SendToCore(core.ForwardResponseStarted{ID: x.forward.ID, Send: result.run.Send, Engine: result.run.Engine})
	if len(body) <= maxBufferedBytes {
		x.writeBuffered(response)
		x.server.SendToCore(core.ForwardResponseCompleted{ID: x.forward.ID, Send: result.run.Send, Engine: result.run.Engine})
		return true
	}
	return x.relayUnbuffered(result, response)
}

// relayUnbuffered relays a response that is longer than maxBufferedBytes; start
// is the part that was read already.
func (x *exchange) relayUnbuffered(result runResult, start bufferedResponse) bool {
	platform.CopyResponseHeader(x.w.Header(), start.header)
	if result.response.Length >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(result.response.Length, 10))
	}
	x.writeHead(start.status)
	_, err := x.w.Write(start.body)
	if err == nil {
		_, err = io.Copy(x.w, result.response.Body)
	}
	if err != nil {
		x.reportStepFailed(runStep(result.run), err, 0)
		return false
	}
	x.server.SendToCore(core.ForwardResponseCompleted{ID: x.forward.ID, Send: result.run.Send, Engine: result.run.Engine})
	x.recordEnd(start.status)
	return true
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
	if x.headSent {
		x.reportViolation(core.AnsweredOnce, "the head of a response is sent again")
	}
	if x.server.closing.Load() {
		x.w.Header().Set("Connection", "close")
	}
	x.w.WriteHeader(status)
	x.headSent = true
	x.headSentAt = time.Now()
}

// relayEvents relays a stream event by event. If the stream breaks off, the
// core decides whether another upstream resumes it within the same response.
func (x *exchange) relayEvents(result runResult) bool {
	timer, stalled := x.startStallTimer(result)
	defer timer.Stop()
	events := upstream.NewEventReader(result.response.Body)
	for {
		event, id, err := events.Next()
		if err == io.EOF {
			x.finishStream(result)
			return true
		}
		if err != nil {
			return x.handleBrokenStream(result, stalled, err)
		}
		if result.run.StallAfter > 0 {
			timer.Reset(result.run.StallAfter)
		}
		if !x.headSent {
			platform.CopyResponseHeader(x.w.Header(), result.response.Header)
			x.writeHead(result.response.Status)
			x.server.SendToCore(core.ForwardResponseStarted{ID: x.forward.ID, Send: result.run.Send, Engine: result.run.Engine})
		}
		if id != "" {
			x.lastEventID = id
			x.eventCount++
		}
		if !x.writeEvent(event) {
			x.endDisconnected()
			return true
		}
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
func (x *exchange) finishStream(result runResult) {
	if !x.headSent {
		platform.CopyResponseHeader(x.w.Header(), result.response.Header)
		x.writeHead(result.response.Status)
	}
	x.server.SendToCore(core.ForwardResponseCompleted{ID: x.forward.ID, Send: result.run.Send, Engine: result.run.Engine, Events: x.eventCount})
	x.recordEnd(result.response.Status)
}

// startStallTimer returns a timer that cancels the run after StallAfter, and a
// flag that it sets when it does. The timer is stopped from the start if
// StallAfter is zero; the hour it is created with never elapses.
func (x *exchange) startStallTimer(result runResult) (*time.Timer, *atomic.Bool) {
	var stalled atomic.Bool
	t := time.AfterFunc(time.Hour, func() {
		stalled.Store(true)
		x.cancelRun()
	})
	if result.run.StallAfter > 0 {
		t.Reset(result.run.StallAfter)
	} else {
		t.Stop()
	}
	return t, &stalled
}

// handleBrokenStream reports a stream that ended early to the core, and returns
// whether the request has ended because the caller disconnected. Nothing is
// reported for a run that a later command cancelled.
func (x *exchange) handleBrokenStream(result runResult, stalled *atomic.Bool, err error) bool {
	switch {
	case x.ctx.Err() != nil:
		x.endDisconnected()
		return true
	case stalled.Load():
		x.server.Log.Info().Str("Event", "StreamStalled").Str("Request", x.forward.Attempt).Str("Engine", string(result.run.Engine)).
			Int("Events", x.eventCount).Dur("PauseMs", time.Since(x.lastEventAt)).Send()
		err = StreamStalledError{}
	case result.ctx.Err() != nil:
		return false
	}
	x.reportStepFailed(runStep(result.run), err, 0)
	return false
}
