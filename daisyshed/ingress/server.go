// Package ingress serves callers' opaque requests: it reads each one, carries
// out the steps that the core decides and relays the upstream's answer.
package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/upstream"
	"daisyshed.dev/platform"
	"github.com/rs/zerolog"
)

const (
	// commandQueue bounds the commands that wait for one request's goroutine.
	// The core gives one at a time and an end.
	commandQueue = 16
	// orderTimeout bounds an order to an engine.
	orderTimeout = time.Second
	// releaseTimeout bounds a call that gives memory back.
	releaseTimeout = time.Second
	// leaseTimeout bounds a call that reserves memory. An engine answers at
	// once, so a longer silence means that it is gone.
	leaseTimeout = 400 * time.Millisecond
)

// Server serves callers. Its fields are set before the first request.
type Server struct {
	Upstreams *upstream.Client
	Send      func(core.Message)
	Log       zerolog.Logger
	Meter     Meter
	// Node is the name under which orders are given.
	Node core.NodeID

	last    atomic.Uint64
	closing atomic.Bool
	bodyMax atomic.Int64
	mu      sync.Mutex
	live    map[core.ForwardID]*exchange
}

// Meter counts what the server does. Its methods must not block.
type Meter interface {
	// Forwarded notes the end of a request: its status and its time, to the
	// first bytes and in all.
	Forwarded(status int, first, total time.Duration)
}

// Leave announces the end of connections with each answer from now on.
func (s *Server) Leave() { s.closing.Store(true) }

// LimitBodies bounds the bodies of later requests.
func (s *Server) LimitBodies(n int64) { s.bodyMax.Store(n) }

// Live returns the number of requests in progress.
func (s *Server) Live() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.live)
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	forward := platform.DecodeForward(r)
	if s.bodyMax.Load() > 0 {
		r.Body = http.MaxBytesReader(w, r.Body, s.bodyMax.Load())
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		var long *http.MaxBytesError
		if errors.As(err, &long) {
			platform.WriteFailure(w, forward.Attempt, http.StatusRequestEntityTooLarge, "BodyTooLong")
			return
		}
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	x := &exchange{
		server: s, w: w, r: r, ctx: ctx, body: body, forward: forward, began: time.Now(),
		header:   platform.ForwardedHeader(r.Header),
		commands: make(chan core.ForwardCommand, commandQueue),
		answers:  make(chan answered, commandQueue),
	}
	x.forward.ID = core.ForwardID(s.last.Add(1))
	s.add(x)
	defer s.remove(x)
	s.Send(x.forward)
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

// Do carries out a command without blocking. The answers come back as
// messages.
func (s *Server) Do(c core.ForwardCommand) {
	switch c := c.(type) {
	case core.ReleaseLease:
		go s.release(c.Engine, c.Address, platform.DropLeaseCall(c))
	case core.ReleaseHandle:
		go s.release(c.Engine, c.Address, platform.FreeHandleCall(c))
	case core.RequestLease:
		s.pass(c.ID, c)
	case core.ReadPrompt:
		s.pass(c.ID, c)
	case core.RunForward:
		s.pass(c.ID, c)
	case core.RelayFailure:
		s.pass(c.ID, c)
	case core.EndForward:
		s.pass(c.ID, c)
	}
}

// pass hands a command to its request's goroutine. The run before it ends, as
// none is left when the core asks for another step.
func (s *Server) pass(id core.ForwardID, c core.ForwardCommand) {
	x := s.find(id)
	if x == nil {
		return
	}
	x.endRun()
	select {
	case x.commands <- c:
	default:
		s.Log.Error().Str("Event", "CommandLost").Str("Request", x.forward.Attempt).Send()
	}
}

// Order gives an engine an order. The claim that allows it runs out soon, so
// neither does the call outlast it nor is it repeated.
func (s *Server) Order(address string, c core.SendOrder) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
		defer cancel()
		call, err := platform.OrderCall(c.Order, s.Node)
		if err != nil {
			s.Log.Error().Str("Event", "Order").Err(err).Send()
			return
		}
		status, _, err := s.call(ctx, c.Order.Engine, address, call)
		s.Log.Info().Str("Event", "Ordered").Str("Engine", string(c.Order.Engine)).
			Str("Role", c.Order.Role.String()).Int64("Fencing", int64(c.Order.Fencing)).Int("Status", status).Err(err).Send()
	}()
}

// release gives memory back at an engine. What cannot be given back expires by
// itself.
func (s *Server) release(id core.EngineID, address string, c platform.Call) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if _, _, err := s.call(ctx, id, address, c); err != nil {
		s.Log.Warn().Str("Event", "ReleaseFailed").Str("Engine", string(id)).Err(err).Send()
	}
}

// call makes a call to an upstream's own interface and returns its status and
// body.
func (s *Server) call(ctx context.Context, id core.EngineID, address string, c platform.Call) (int, []byte, error) {
	a, err := s.Upstreams.Do(ctx, &upstream.Request{
		Key: string(id), Address: address, Method: c.Method, Target: c.Target, Host: address,
		Header: c.Header, Body: c.Body, Idle: platform.IdleTimeout,
	})
	if err != nil {
		return 0, nil, err
	}
	defer a.Close()
	body, err := io.ReadAll(io.LimitReader(a.Body, maxBuffered))
	return a.Status, body, err
}
