// Package enginehttp serves the simulated model engine of package engine over
// HTTP, in real time.
package enginehttp

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"

	"daisyshed.dev/standin/engine"
	"daisyshed.dev/standin/fault"
	"daisyshed.dev/standin/httpjson"
	wire "daisyshed.dev/wire/engine"
)

// Server is the HTTP server of one engine. Set its exported fields before calling
// Run.
type Server struct {
	// Listener takes precedence over Address.
	Listener net.Listener
	Address  string
	Settings engine.Settings
	// Seed is the seed of the engine's random number generator.
	Seed uint64
	// WeightStore is the host:port of the weight store. If it is empty, models
	// are loaded without fetching their weights.
	WeightStore string

	loop    *loop
	fetches fetches
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	settings := s.Settings
	settings.WeightStore = s.WeightStore != ""
	simulated := &engine.Engine{Settings: settings, Random: rand.New(rand.NewPCG(s.Seed, 0))}
	s.loop = newLoop(simulated)
	s.fetches = fetches{cancels: map[engine.Ticket]context.CancelFunc{}}
	loopCtx, stopLoop := context.WithCancel(context.WithoutCancel(ctx))
	s.loop.perform = func(c engine.Command) { s.perform(loopCtx, c) }
	var wg sync.WaitGroup
	wg.Go(func() { s.loop.run(loopCtx) })
	err := httpjson.Serve(ctx, s.Listener, s.Address, s.handler())
	stopLoop()
	wg.Wait()
	return err
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PrefillPath, s.prefill)
	mux.HandleFunc("POST "+wire.ImportPath, s.importCache)
	mux.HandleFunc("POST "+wire.ExportPath, s.export)
	mux.HandleFunc("POST "+wire.DecodePath, s.decode)
	mux.HandleFunc("POST "+wire.ReleasePath, s.release)
	mux.HandleFunc("GET "+wire.ReportPath, s.report)
	mux.HandleFunc("POST "+wire.OrderPath, s.order)
	mux.HandleFunc("POST "+fault.Path, s.fault)
	return mux
}

func (s *Server) prefill(w http.ResponseWriter, r *http.Request) {
	var body wire.PrefillRequest
	if readBody(w, r, &body) {
		c := s.loop.newCall()
		s.respond(w, r, submission{engine.Prefill{Ticket: c.ticket, Request: body}, c})
	}
}

func (s *Server) importCache(w http.ResponseWriter, r *http.Request) {
	var body wire.ImportRequest
	if readBody(w, r, &body) {
		c := s.loop.newCall()
		s.respond(w, r, submission{engine.Import{Ticket: c.ticket, Request: body}, c})
	}
}

func (s *Server) export(w http.ResponseWriter, r *http.Request) {
	var body wire.ExportRequest
	if readBody(w, r, &body) {
		c := s.loop.newCall()
		s.respond(w, r, submission{engine.Export{Ticket: c.ticket, Allocation: body.Allocation}, c})
	}
}

func (s *Server) release(w http.ResponseWriter, r *http.Request) {
	var body wire.ReleaseRequest
	if readBody(w, r, &body) {
		c := s.loop.newCall()
		s.respond(w, r, submission{engine.Release{Ticket: c.ticket, Allocation: body.Allocation}, c})
	}
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var body wire.OrderRequest
	if readBody(w, r, &body) {
		c := s.loop.newCall()
		s.respond(w, r, submission{engine.Order{Ticket: c.ticket, Request: body}, c})
	}
}

func (s *Server) report(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	if err != nil && r.FormValue("after") != "" {
		writeError(w, wire.CodeBadRequest, err.Error())
		return
	}
	c := s.loop.newCall()
	s.respond(w, r, submission{engine.Poll{Ticket: c.ticket, After: after}, c})
}

func (s *Server) fault(w http.ResponseWriter, r *http.Request) {
	httpjson.FaultHandler(func(f fault.Fault) bool {
		return engine.SupportsFault(f) && s.loop.submit(r.Context(), submission{message: engine.Inject{Fault: f}})
	})(w, r)
}

// respond submits an operation and writes the HTTP response for its result. It
// closes the connection if there is no result.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, op submission) {
	command := s.submitAndWait(r, op)
	switch c := command.(type) {
	case engine.Prefilled:
		httpjson.Write(w, http.StatusOK, c.Result)
	case engine.Exported:
		httpjson.Write(w, http.StatusOK, c.Cache)
	case engine.Reported:
		httpjson.Write(w, http.StatusOK, c.Report)
	case engine.Imported, engine.Released, engine.Ordered:
		w.WriteHeader(http.StatusOK)
	case engine.Refused:
		writeError(w, c.Code, c.Detail)
	default:
		panic(http.ErrAbortHandler)
	}
}

// submitAndWait submits an operation and returns its first reply, or nil if there
// is none.
func (s *Server) submitAndWait(r *http.Request, op submission) engine.Command {
	if !s.loop.submit(r.Context(), op) {
		return nil
	}
	return s.nextReply(r, op.call)
}

// nextReply waits for the next reply to a call. It returns nil if the loop has
// closed c.replies, or if the client disconnects; then it also sends a Disconnect
// to the loop.
func (s *Server) nextReply(r *http.Request, c *call) engine.Command {
	select {
	case command := <-c.replies:
		return command
	case <-r.Context().Done():
		s.loop.submit(context.WithoutCancel(r.Context()), submission{message: engine.Disconnect{Ticket: c.ticket}})
		return nil
	}
}

// readBody decodes a request's JSON body into v. If that fails, it rejects the
// request with wire.CodeBadRequest and returns false.
func readBody(w http.ResponseWriter, r *http.Request, v any) bool {
	err := httpjson.Decode(w, r, v)
	if err != nil {
		writeError(w, wire.CodeBadRequest, err.Error())
	}
	return err == nil
}

// writeError responds with an error code and the HTTP status that belongs to it.
func writeError(w http.ResponseWriter, code, detail string) {
	httpjson.Write(w, httpStatus(code), wire.ErrorBody{Code: code, Detail: detail})
}

// httpStatus returns the HTTP status for an error code of package wire/engine.
func httpStatus(code string) int {
	switch code {
	case wire.CodeFull, wire.CodeDraining:
		return http.StatusServiceUnavailable
	case wire.CodeNotFound:
		return http.StatusGone
	case wire.CodeBadRequest:
		return http.StatusBadRequest
	default:
		return http.StatusConflict
	}
}
