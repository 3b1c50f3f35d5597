// Package ingress serves callers' opaque requests: it reads each request,
// executes the steps that the core decides on and relays the upstream's
// response.
package ingress

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/tcp"
	"daisyshed.dev/daisyshed/upstream"
	"daisyshed.dev/platform"
	"github.com/rs/zerolog"
)

const (
	// orderTimeout bounds the call that sends an order to an engine.
	orderTimeout = time.Second
	// releaseTimeout bounds a call that releases memory.
	releaseTimeout = time.Second
	// leaseTimeout bounds a call that reserves memory. A healthy engine
	// responds at once, so one that has not responded by then is treated as
	// unreachable.
	leaseTimeout = 200 * time.Millisecond
	// callSeries is the [upstream.Request] series of all calls: their responses name no attempt.
	// attemptSeries begins that of an attempt, which its caller may send again.
	callSeries    = "call"
	attemptSeries = "attempt "
)

// Server serves callers' requests. Its exported fields are set before the first
// request.
type Server struct {
	Upstreams  *upstream.Client
	SendToCore func(core.Message)
	Log        zerolog.Logger
	Meter      Meter
	// Node is the id that orders to engines name as their holder.
	Node core.NodeID
	// ReportViolation is called when serving a request has violated an invariant. It must
	// not block.
	ReportViolation func(core.Violation)
	// Clock is the clock of the core. It may be nil if orders name no end of their claim.
	Clock func() core.Instant
	// OnLimit is called when the body of a caller's request exceeds a limit of bytes or
	// time. It must not block, and may be nil.
	OnLimit func(attempt string, err error)

	exitOnce sync.Once
	// exiting is closed once the process is about to exit; see exitSignal.
	exiting chan struct{}

	lastID       atomic.Uint64
	closing      atomic.Bool
	maxBodyBytes atomic.Int64
	bodies       bodyBudget
	mu           sync.Mutex
	live         map[core.ForwardID]*exchange
}

// Meter records metrics of the server. Its methods must not block.
type Meter interface {
	// RecordForward records the end of a request: its status, the time until the
	// head of the response was sent, and the total time.
	RecordForward(status int, toHead, total time.Duration)
	// RecordCut counts a response that was cut after a part of it had gone to the caller.
	RecordCut(reason core.RejectionReason)
	// RecordUnanswered counts a request whose caller's connection ended first; headSent
	// says that a part of the response had gone to the caller.
	RecordUnanswered(headSent bool)
}

// SetClosing makes the server close connections: each later response carries
// Connection: close.
func (s *Server) SetClosing() { s.closing.Store(true) }

// EndAll answers the requests in progress, because the process is about to exit: a request
// that no upstream may have run is rejected, and any other fails. A stream whose caller
// has received a part is cut.
func (s *Server) EndAll() {
	exiting := s.exitSignal()
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-exiting:
		return
	default:
		close(exiting)
	}
	for _, x := range s.live {
		x.cancelRuns()
	}
}

// exitSignal returns the channel that is closed once the process is about to exit.
func (s *Server) exitSignal() chan struct{} {
	s.exitOnce.Do(func() { s.exiting = make(chan struct{}) })
	return s.exiting
}

// LimitBodies sets the largest body that later requests may have, in bytes;
// zero sets a default of 8 MiB.
func (s *Server) LimitBodies(n int64) { s.maxBodyBytes.Store(n) }

// LimitMemory sets how many bytes the bodies of all requests may hold together; zero sets no
// limit. A request whose body does not fit is rejected.
func (s *Server) LimitMemory(n int64) { s.bodies.limit.Store(n) }

// InProgress returns the number of requests in progress.
func (s *Server) InProgress() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.live)
}

// ServeHTTP serves one request. It reads the whole body first, so that the
// request can be sent more than once.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	last, full := tcp.BeginRequest(r)
	if last || s.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	forward := platform.DecodeForward(r)
	if full != nil {
		s.rejectMemoryFull(w, forward)
		return
	}
	// The deadline also bounds what net/http writes after the handler has returned. Each
	// request sets its own. If w supports no deadlines, only the core's bound applies.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(forward.Patience + unreadTime))
	body, ok := s.readBody(w, r, forward)
	if !ok {
		return
	}
	defer body.release()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	x := &exchange{
		server: s, w: w, r: r, ctx: ctx, body: body.bytes, forward: forward, startedAt: time.Now(),
		commands: newCommandSlot(),
		results:  make(chan runResult),
		events:   make(chan streamEvent),
		unproven: core.Set[core.SendNumber]{},
	}
	x.forward.ID = core.ForwardID(s.lastID.Add(1))
	x.forward.Key = platform.RequestKey(r, body.bytes)
	x.header = platform.UpstreamRequestHeader(r.Header)
	// A header in parsed form may be large; one copy of it is kept.
	r.Header = x.header
	s.add(x)
	defer s.remove(x)
	s.SendToCore(x.forward)
	x.serve()
}

func (s *Server) add(x *exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.live == nil {
		s.live = map[core.ForwardID]*exchange{}
	}
	s.live[x.forward.ID] = x
}

func (s *Server) remove(x *exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.live, x.forward.ID)
}

func (s *Server) find(id core.ForwardID) *exchange {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.live[id]
}

// Execute executes a command without blocking. Outcomes are sent to the core as
// messages.
func (s *Server) Execute(c core.ForwardCommand) {
	switch c := c.(type) {
	case core.ReleaseLease:
		go s.release(c.Engine, c.Address, platform.ReleaseLeaseCall(c))
	case core.ReleaseHandle:
		go s.release(c.Engine, c.Address, platform.ReleaseHandleCall(c))
	case core.HoldConnection:
		// It does not wait for the request's goroutine, and replaces no other command.
		if x := s.find(c.ID); x != nil {
			go x.hold(c)
		}
	case core.RequestLease:
		s.deliver(c.ID, c)
	case core.RunPrefill:
		s.deliver(c.ID, c)
	case core.RunForward:
		s.deliver(c.ID, c)
	case core.RelayFailure:
		s.deliver(c.ID, c)
	case core.EndForward:
		s.deliver(c.ID, c)
	}
}

// deliver passes a command to its request's goroutine. It first cancels the runs that the
// command ends. A command that was not begun yet is replaced.
func (s *Server) deliver(id core.ForwardID, c core.ForwardCommand) {
	x := s.find(id)
	if x == nil {
		return
	}
	if endsRuns(c) {
		x.cancelRuns()
	}
	for _, replaced := range x.commands.put(c) {
		s.Log.Info().Str("Event", "CommandReplaced").Str("Request", x.forward.Attempt).
			Str("Command", fmt.Sprintf("%T", replaced)).Str("By", fmt.Sprintf("%T", c)).Send()
	}
}

// endsRuns reports whether a command ends a request's earlier runs. A silent run goes on
// while another upstream is sought and while a run is to take over.
func endsRuns(c core.ForwardCommand) bool {
	switch c := c.(type) {
	case core.RequestLease, core.RunPrefill:
		return false
	case core.RunForward:
		return !c.TakesOver
	default:
		return true
	}
}

// SendOrder sends an order to an engine without blocking. It is not written after the claim that
// allows it has expired, which the time to connect and a pause of this process may bring about.
// The call is bounded, because another node waits for an order in flight, and is not retried.
func (s *Server) SendOrder(address string, c core.SendOrder) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
		defer cancel()
		call, err := platform.OrderCall(c.Order, s.Node)
		if err != nil {
			s.Log.Error().Str("Event", "Order").Err(err).Send()
			return
		}
		r := callRequest(c.Order.Engine, address, call)
		// The engine takes the sender's machine for the holder, so no relay may send it.
		r.Direct = true
		r.Check = func() error {
			if c.Expires != 0 && s.Clock() > c.Expires {
				return ClaimExpiredError{}
			}
			return nil
		}
		status, _, err := s.callOn(ctx, r)
		s.Log.Info().Str("Event", "Ordered").Str("Engine", string(c.Order.Engine)).
			Str("Role", c.Order.Role.String()).Int64("Fencing", int64(c.Order.Fencing)).Int("Status", status).Err(err).Send()
	}()
}

// release makes a call that releases memory at an engine. If the call fails,
// the reservation or KV cache expires by itself.
func (s *Server) release(id core.EngineID, address string, c platform.Call) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	r := callRequest(id, address, c)
	r.Discards = true
	if _, _, err := s.callOn(ctx, r); err != nil {
		s.Log.Warn().Str("Event", "ReleaseFailed").Str("Engine", string(id)).Err(err).Send()
	}
}

// call makes a call to an upstream's control interface and returns the status
// and the body of the response.
func (s *Server) call(ctx context.Context, id core.EngineID, address string, c platform.Call) (int, []byte, error) {
	return s.callOn(ctx, callRequest(id, address, c))
}

// callRequest returns the request of a call.
func callRequest(id core.EngineID, address string, c platform.Call) *upstream.Request {
	return &upstream.Request{
		Key: string(id), Address: address, Method: c.Method, Target: c.Target, Host: address,
		Header: c.Header, Body: c.Body, ParseIdleTimeout: platform.IdleTimeout,
		Matches: platform.MatchesCall, Series: callSeries,
	}
}

// callOn makes a call with a request of callRequest.
func (s *Server) callOn(ctx context.Context, r *upstream.Request) (int, []byte, error) {
	response, err := s.Upstreams.Do(ctx, r)
	if err != nil {
		return 0, nil, err
	}
	defer response.Close()
	body, err := response.ReadAll(maxBufferedBytes)
	return response.Status, body, err
}
