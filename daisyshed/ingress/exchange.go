package ingress

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/peer"
	"daisyshed.dev/daisyshed/tcp"
	"daisyshed.dev/daisyshed/upstream"
	"daisyshed.dev/platform"
)

// exchange is one request in progress. Only its own goroutine writes to the
// caller.
type exchange struct {
	server  *Server
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context
	body    []byte
	forward core.Forward
	// header is what of the caller's header is forwarded. It is not changed: several runs may read it.
	header    http.Header
	startedAt time.Time

	commands *commandSlot
	results  chan runResult
	events   chan streamEvent

	// current is the run whose response goes to the caller, or the latest if none has
	// begun; nil if it has ended. replacement is a run that is to take over from it, and
	// overlap limits how long it may take to do so. stall waits for the next event of current.
	current, replacement *run
	overlap, stall       *time.Timer
	// stallAt is when stall fires.
	stallAt time.Time
	// goneOn counts the reports to the core that a run has begun to answer or goes on.
	goneOn int

	mu sync.Mutex
	// runs are the runs that may not have ended.
	runs []*run
	// held is the connection that is held for the request; nil if there is none. None is held
	// any more once holdsEnded is set.
	held       *heldConnection
	holdsEnded bool

	// failure is the upstream's own failure response, kept while the core
	// decides whether to try another upstream.
	failure *bufferedResponse
	// headSent is set once the head of the response went to the caller. The goroutines of a
	// search read it while a silent run goes on.
	headSent atomic.Bool
	// unresumable is set once a part of an answer that is no stream went to the caller.
	unresumable atomic.Bool
	// lastEventID is the id of the last relayed event that has one, and
	// eventCount the number of those events.
	lastEventID string
	eventCount  int
	// headSentAt is when headSent was set, and lastEventAt when the last event was relayed.
	headSentAt  time.Time
	lastEventAt time.Time
	// unproven holds the sends that an upstream may have run or may still run. Only the
	// goroutine of the exchange uses it.
	unproven core.Set[core.SendNumber]
}

// step identifies a step that was sent to an upstream.
type step struct {
	kind   core.ForwardStep
	engine core.EngineID
	send   core.SendNumber
	// relay is the node through which the connection goes, if it is known.
	relay core.NodeID
}

// serve executes commands and relays the responses to runs until the request
// has ended.
func (x *exchange) serve() {
	defer x.releaseHeld()
	defer x.cancelRuns()
	x.overlap, x.stall = stoppedTimer(), stoppedTimer()
	defer x.overlap.Stop()
	defer x.stall.Stop()
	exiting := x.server.exitSignal()
	for {
		select {
		case <-exiting:
			x.endWithFailure(core.EndForward{ID: x.forward.ID, Reason: core.Leaving, NotRun: len(x.unproven) == 0})
			return
		case <-x.ctx.Done():
			x.endDisconnected()
			return
		case <-x.commands.ready:
			if x.execute(x.commands.take()) {
				return
			}
		case result := <-x.results:
			if x.relay(result) {
				return
			}
		case e := <-x.events:
			if x.relayEvent(e) {
				return
			}
		case <-x.overlap.C:
			x.endOverlap()
		case <-x.stall.C:
			x.reportStalled()
		}
	}
}

// stoppedTimer returns a timer that does not run until it is reset.
func stoppedTimer() *time.Timer {
	t := time.NewTimer(time.Hour)
	t.Stop()
	return t
}

// execute executes a command and reports whether the request has ended. Steps
// that wait for an upstream run in goroutines of their own.
func (x *exchange) execute(c core.ForwardCommand) bool {
	switch c := c.(type) {
	case core.RequestLease:
		go x.requestLease(c)
	case core.RunPrefill:
		go x.runPrefill(c)
	case core.RunForward:
		x.startRun(c)
	case core.RelayFailure:
		if x.failure != nil && !x.headSent.Load() {
			x.writeBuffered(*x.failure)
			return true
		}
		x.endWithFailure(core.EndForward{ID: c.ID, Reason: core.UpstreamFailed})
		return true
	case core.EndForward:
		x.endWithFailure(c)
		return true
	}
	return false
}

// endWithFailure ends a request that has no complete response. If part of one
// has gone to the caller, the connection is aborted, so that the response does
// not look complete.
func (x *exchange) endWithFailure(c core.EndForward) {
	if x.headSent.Load() {
		x.logCut(c.Reason)
		x.recordEnd(http.StatusBadGateway)
		panic(http.ErrAbortHandler)
	}
	if c.NotRun && len(x.unproven) > 0 {
		x.reportViolation(core.NotRunTrue, fmt.Sprintf("to be answered as not run although sends %v may have run", x.unproven.Sorted()))
		c = core.EndForward{ID: c.ID, Reason: core.UpstreamFailed}
	}
	x.recordEnd(platform.WriteEndForward(x.w, x.forward.Attempt, c))
}

// logCut logs and counts a response that is cut after a part of it has gone to the caller,
// with the time since the last event.
func (x *exchange) logCut(reason core.RejectionReason) {
	x.server.Meter.RecordCut(reason)
	x.server.Log.Warn().Str("Event", "ResponseCut").Str("Request", x.forward.Attempt).Str("Reason", reason.String()).
		Int("Events", x.eventCount).Dur("PauseMs", time.Since(x.lastEventAt)).Dur("AfterMs", time.Since(x.startedAt)).Send()
}

// recordEnd records the status and the durations of a request that ends. One
// that ends before the head of a response was sent counts its total duration
// for both.
func (x *exchange) recordEnd(status int) {
	toHead := time.Since(x.startedAt)
	if !x.headSentAt.IsZero() {
		toHead = x.headSentAt.Sub(x.startedAt)
	}
	x.server.Meter.RecordForward(status, toHead, time.Since(x.startedAt))
}

// requestLease asks an engine to reserve memory and sends the outcome to the core.
func (x *exchange) requestLease(c core.RequestLease) {
	ctx, cancel := context.WithTimeout(x.ctx, leaseTimeout)
	defer cancel()
	s := step{kind: core.LeaseStep, engine: c.Engine, send: c.Send}
	call, err := platform.LeaseCall(c)
	if err != nil {
		x.reportStepFailed(s, err, 0)
		return
	}
	status, body, err := x.server.call(ctx, c.Engine, c.Address, call)
	switch {
	case err != nil:
		x.reportStepFailed(s, err, 0)
	case status == http.StatusOK:
		lease, err := platform.DecodeLease(body)
		if err != nil || lease == "" {
			x.reportStepFailed(s, &InvalidResponseError{Cause: err}, status)
			return
		}
		x.server.SendToCore(core.LeaseGranted{ID: c.ID, Send: c.Send, Engine: c.Engine, Lease: lease, Born: platform.DecodeBorn(body)})
	default:
		x.reportStepRefused(s, core.StatedNotRun, status)
	}
}

// runPrefill has a prefill engine compute the KV cache of the prompt and sends the
// outcome to the core.
func (x *exchange) runPrefill(c core.RunPrefill) {
	ctx, cancel := context.WithTimeout(x.ctx, c.Timeout)
	defer cancel()
	s := step{kind: core.ReadPromptStep, engine: c.Engine, send: c.Send}
	header := http.Header{}
	platform.SetRunPrefill(header, c)
	response, err := x.send(ctx, c.Engine, c.Address, header, c.NewConnection)
	if err != nil {
		x.reportStepFailed(s, err, 0)
		return
	}
	if proof, ok := platform.NotRun(response.Status, response.Header, c.Engine).Get(); ok {
		drain(cancel, response)
		x.reportStepRefused(s, proof, response.Status)
		return
	}
	defer response.Close()
	s.relay = response.Relay
	body, err := response.ReadAll(maxBufferedBytes)
	if err != nil || response.Status != http.StatusOK {
		x.reportStepFailed(s, &InvalidResponseError{Cause: err}, response.Status)
		return
	}
	handle, tokens, err := platform.DecodePrefillFinished(body)
	if err != nil || handle == "" {
		x.reportStepFailed(s, &InvalidResponseError{Cause: err}, response.Status)
		return
	}
	x.server.SendToCore(core.PrefillFinished{ID: c.ID, Send: c.Send, Engine: c.Engine, Handle: handle, Tokens: tokens, Born: platform.DecodeBorn(body)})
}

// send sends the caller's request to an upstream, with the headers h in place
// of the caller's of the same names.
func (x *exchange) send(ctx context.Context, id core.EngineID, address string, h http.Header, newConnection bool) (*upstream.Response, error) {
	r := x.request(id, address, h)
	r.NewConnection = newConnection
	return x.server.Upstreams.Do(ctx, r)
}

// request returns the caller's request as it is sent to an upstream.
func (x *exchange) request(id core.EngineID, address string, h http.Header) *upstream.Request {
	return &upstream.Request{
		Key: string(id), Address: address, Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host,
		Header: x.header, Replace: h, Body: x.body, ParseIdleTimeout: platform.IdleTimeout,
		Matches: func(h http.Header) bool { return platform.MatchesAttempt(h, x.forward.Attempt) },
		Series:  attemptSeries + x.forward.Attempt,
	}
}

// sendRun sends a run's request, on the connection that is held for it if there has to be one.
func (x *exchange) sendRun(r *run, h http.Header) (*upstream.Response, error) {
	if r.Hold == 0 {
		return x.send(r.ctx, r.Engine, r.Address, h, r.NewConnection)
	}
	held := x.heldFor(r.Hold)
	if held == nil {
		return nil, &upstream.UnsentError{Cause: NotHeldError{}}
	}
	return held.Do(r.ctx, x.request(r.Engine, r.Address, h))
}

// reportStepFailed notifies the core that a step got no usable response.
func (x *exchange) reportStepFailed(s step, err error, status int) {
	x.server.SendToCore(core.StepFailed{
		ID: x.forward.ID, Send: s.send, Engine: s.engine, Step: s.kind, Unsent: nothingSent(err), Status: status,
		Emitted: x.headSent.Load(), Unresumable: x.unresumable.Load(), BrokenOff: brokenOff(err),
		Relay: cmp.Or(s.relay, relayOf(err)), PathFailed: pathFailed(err), Reason: err.Error(),
	})
}

// relayOf returns the node through which the connection of a failed request went; empty if it
// was direct.
func relayOf(err error) core.NodeID {
	var unsent *upstream.UnsentError
	var noResponse *upstream.NoResponseError
	switch {
	case errors.As(err, &unsent):
		return unsent.Relay
	case errors.As(err, &noResponse):
		return noResponse.Relay
	default:
		return ""
	}
}

// pathFailed reports whether an error says that a relay or the connection to it failed, and
// nothing of the upstream.
func pathFailed(err error) bool {
	var path *peer.PathError
	var connect *upstream.ConnectError
	return errors.As(err, &path) || errors.As(err, &connect) && connect.PathFailed()
}

// nothingSent reports whether an error proves that no byte of a request was sent.
func nothingSent(err error) bool {
	var unsent *upstream.UnsentError
	return errors.As(err, &unsent)
}

// brokenOff reports whether an error says that the upstream closed or reset the connection.
// What this node has ended itself, or could not use, does not count, nor does a relay.
func brokenOff(err error) bool {
	if pathFailed(err) {
		return false
	}
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// reportStepRefused notifies the core that an upstream rejected a step without carrying
// it out.
func (x *exchange) reportStepRefused(s step, proof core.NotRunProof, status int) {
	x.server.SendToCore(core.StepRefused{
		ID: x.forward.ID, Send: s.send, Engine: s.engine, Step: s.kind, Proof: proof,
		AddressReused: status == http.StatusMisdirectedRequest,
	})
}

// endDisconnected ends a request whose context has ended. A caller that has closed only
// its sending side still reads: it must not take what it has for a whole response.
func (x *exchange) endDisconnected() {
	x.cancelRuns()
	x.reportDisconnected()
	if x.headSent.Load() {
		panic(http.ErrAbortHandler)
	}
	x.w.Header().Set("Connection", "close")
	platform.WriteEndForward(x.w, x.forward.Attempt, core.EndForward{Reason: core.CallerClosed, NotRun: len(x.unproven) == 0})
}

// reportDisconnected notifies the core that the caller's connection is closed.
func (x *exchange) reportDisconnected() {
	x.server.Meter.RecordUnanswered(x.headSent.Load())
	x.server.Log.Info().Str("Event", "CallerGone").Str("Request", x.forward.Attempt).Bool("HeadSent", x.headSent.Load()).
		Int("Events", x.eventCount).Bool("ClosedHere", tcp.ClosedHere(x.ctx)).Dur("AfterMs", time.Since(x.startedAt)).Send()
	x.server.SendToCore(core.ForwardCallerDisconnected{ID: x.forward.ID, ClosedHere: tcp.ClosedHere(x.ctx)})
}

// reportSecondRun reports a run that would be the second of a request that must run once.
func (x *exchange) reportSecondRun(c core.RunForward) {
	x.reportViolation(core.AtMostOnce, fmt.Sprintf("send %d is to begin although sends %v may have run", c.Send, x.unproven.Sorted()))
}

// reportViolation reports that serving the request has violated an invariant.
func (x *exchange) reportViolation(promise core.Promise, detail string) {
	x.server.ReportViolation(core.Violation{Promise: promise, Detail: x.forward.Attempt + ": " + detail})
}
