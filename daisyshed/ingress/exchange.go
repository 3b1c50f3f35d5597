package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/upstream"
	"daisyshed.dev/platform"
)

// maxBuffered is the largest answer that is read whole before any of it goes
// to the caller, so that one which breaks off can still be tried elsewhere.
const maxBuffered = 1 << 20

// exchange is one request in progress. Its goroutine alone writes to the
// caller.
type exchange struct {
	server  *Server
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context
	body    []byte
	forward core.Forward
	header  http.Header
	began   time.Time

	commands chan core.ForwardCommand
	answers  chan answered

	mu      sync.Mutex
	stopRun context.CancelFunc

	// failure is an upstream's own failure answer, kept while the core decides
	// whether to try elsewhere.
	failure *kept
	// started is set once the answer's head went out, and event is the id of
	// the last event that did.
	started bool
	event   string
	events  int
	firstAt time.Time
}

// kept is an answer that was read whole.
type kept struct {
	status int
	header http.Header
	body   []byte
}

// answered is the outcome of a run's first half: an answer's head, or an error.
type answered struct {
	run    core.RunForward
	ctx    context.Context
	answer *upstream.Answer
	err    error
}

// serve carries out commands until the request has ended.
func (x *exchange) serve() {
	defer x.endRun()
	for {
		select {
		case <-x.ctx.Done():
			x.server.Send(core.ForwardGone{ID: x.forward.ID})
			return
		case c := <-x.commands:
			if x.carryOut(c) {
				return
			}
		case a := <-x.answers:
			if x.relay(a) {
				return
			}
		}
	}
}

// carryOut begins a step and reports whether the request has ended.
func (x *exchange) carryOut(c core.ForwardCommand) bool {
	switch c := c.(type) {
	case core.RequestLease:
		go x.takeLease(c)
	case core.ReadPrompt:
		go x.readPrompt(c)
	case core.RunForward:
		x.startRun(c)
	case core.RelayFailure:
		if x.failure != nil && !x.started {
			x.writeKept(*x.failure)
			return true
		}
		x.fail(core.EndForward{ID: c.ID, Reason: core.UpstreamFailed})
		return true
	case core.EndForward:
		x.fail(c)
		return true
	}
	return false
}

// fail ends the request without a whole answer. One that has begun is broken
// off, so that it does not look complete.
func (x *exchange) fail(c core.EndForward) {
	if x.started {
		x.note(http.StatusBadGateway)
		panic(http.ErrAbortHandler)
	}
	x.note(platform.WriteEnd(x.w, x.forward.Attempt, c))
}

func (x *exchange) note(status int) {
	first := time.Since(x.began)
	if !x.firstAt.IsZero() {
		first = x.firstAt.Sub(x.began)
	}
	x.server.Meter.Forwarded(status, first, time.Since(x.began))
}

func (x *exchange) takeLease(c core.RequestLease) {
	ctx, cancel := context.WithTimeout(x.ctx, leaseTimeout)
	defer cancel()
	call, err := platform.LeaseCall(c)
	if err != nil {
		x.failed(c.Engine, core.LeaseStep, err, 0)
		return
	}
	status, body, err := x.server.call(ctx, c.Engine, c.Address, call)
	switch {
	case err != nil:
		x.failed(c.Engine, core.LeaseStep, err, 0)
	case status == http.StatusOK:
		lease, err := platform.DecodeLease(body)
		if err != nil || lease == "" {
			x.failed(c.Engine, core.LeaseStep, &UnreadableError{Cause: err}, status)
			return
		}
		x.server.Send(core.LeaseGranted{ID: c.ID, Engine: c.Engine, Lease: lease})
	default:
		x.server.Send(core.StepRefused{
			ID: c.ID, Engine: c.Engine, Step: core.LeaseStep, AddressReused: status == http.StatusMisdirectedRequest,
		})
	}
}

func (x *exchange) readPrompt(c core.ReadPrompt) {
	ctx, cancel := context.WithTimeout(x.ctx, c.Timeout)
	defer cancel()
	header := x.header.Clone()
	platform.SetReadPrompt(header, c)
	a, err := x.send(ctx, c.Engine, c.Address, header, false)
	if err != nil {
		x.failed(c.Engine, core.ReadPromptStep, err, 0)
		return
	}
	defer a.Close()
	body, err := io.ReadAll(io.LimitReader(a.Body, maxBuffered))
	if notRun, elsewhere := platform.NotRun(a.Status, a.Header); notRun {
		x.server.Send(core.StepRefused{ID: c.ID, Engine: c.Engine, Step: core.ReadPromptStep, AddressReused: elsewhere})
		return
	}
	if err != nil || a.Status != http.StatusOK {
		x.failed(c.Engine, core.ReadPromptStep, &UnreadableError{Cause: err}, a.Status)
		return
	}
	handle, tokens, err := platform.DecodePromptRead(body)
	if err != nil || handle == "" {
		x.failed(c.Engine, core.ReadPromptStep, &UnreadableError{Cause: err}, a.Status)
		return
	}
	x.server.Send(core.PromptRead{ID: c.ID, Engine: c.Engine, Handle: handle, Tokens: tokens})
}

// send sends the caller's request, with other headers, to an upstream.
func (x *exchange) send(ctx context.Context, id core.EngineID, address string, h http.Header, fresh bool) (*upstream.Answer, error) {
	return x.server.Upstreams.Do(ctx, &upstream.Request{
		Key: string(id), Address: address, Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host,
		Header: h, Body: x.body, Fresh: fresh, Idle: platform.IdleTimeout,
		Mine: func(h http.Header) bool { return platform.AnswersAttempt(h, x.forward.Attempt) },
	})
}

// startRun sends the request to run; its answer comes over x.answers.
func (x *exchange) startRun(c core.RunForward) {
	ctx, cancel := context.WithCancel(x.ctx)
	x.mu.Lock()
	x.stopRun = cancel
	x.mu.Unlock()
	header := x.header.Clone()
	platform.SetRun(header, c)
	if x.event != "" {
		platform.SetResume(header, x.event)
	}
	go func() {
		a, err := x.send(ctx, c.Engine, c.Address, header, c.FreshConnection)
		x.answers <- answered{run: c, ctx: ctx, answer: a, err: err}
	}()
}

// endRun ends the present run, if there is one.
func (x *exchange) endRun() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.stopRun != nil {
		x.stopRun()
		x.stopRun = nil
	}
}

// failed reports that a step got no usable answer.
func (x *exchange) failed(id core.EngineID, step core.ForwardStep, err error, status int) {
	var unsent *upstream.UnsentError
	x.server.Send(core.StepFailed{
		ID: x.forward.ID, Engine: id, Step: step, Unsent: errors.As(err, &unsent), Status: status,
		Emitted: x.started, Reason: err.Error(),
	})
}
