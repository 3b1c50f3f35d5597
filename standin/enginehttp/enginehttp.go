// Package enginehttp serves a modelled engine over HTTP, on the real clock.
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

// Server is one engine. Its fields are set before Run.
type Server struct {
	// Listener takes precedence over Address.
	Listener net.Listener
	Address  string
	Settings engine.Settings
	// Seed seeds the engine's randomness.
	Seed uint64
	// WeightStore is the weight store's address; without one, models load
	// without a fetch.
	WeightStore string

	loop    *loop
	fetches fetches
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	settings := s.Settings
	settings.WeightStore = s.WeightStore != ""
	core := &engine.Engine{Settings: settings, Random: rand.New(rand.NewPCG(s.Seed, 0))}
	s.loop = newLoop(core)
	s.fetches = fetches{cancels: map[engine.Ticket]context.CancelFunc{}}
	looping, stop := context.WithCancel(context.WithoutCancel(ctx))
	s.loop.perform = func(c engine.Command) { s.perform(looping, c) }
	var loops sync.WaitGroup
	loops.Go(func() { s.loop.run(looping) })
	err := httpjson.Serve(ctx, s.Listener, s.Address, s.handler())
	stop()
	loops.Wait()
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
	if read(w, r, &body) {
		c := s.loop.newCall()
		s.answer(w, r, submission{engine.Prefill{Ticket: c.ticket, Request: body}, c})
	}
}

func (s *Server) importCache(w http.ResponseWriter, r *http.Request) {
	var body wire.ImportRequest
	if read(w, r, &body) {
		c := s.loop.newCall()
		s.answer(w, r, submission{engine.Import{Ticket: c.ticket, Request: body}, c})
	}
}

func (s *Server) export(w http.ResponseWriter, r *http.Request) {
	var body wire.ExportRequest
	if read(w, r, &body) {
		c := s.loop.newCall()
		s.answer(w, r, submission{engine.Export{Ticket: c.ticket, Allocation: body.Allocation}, c})
	}
}

func (s *Server) release(w http.ResponseWriter, r *http.Request) {
	var body wire.ReleaseRequest
	if read(w, r, &body) {
		c := s.loop.newCall()
		s.answer(w, r, submission{engine.Release{Ticket: c.ticket, Allocation: body.Allocation}, c})
	}
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var body wire.OrderRequest
	if read(w, r, &body) {
		c := s.loop.newCall()
		s.answer(w, r, submission{engine.Order{Ticket: c.ticket, Request: body}, c})
	}
}

func (s *Server) report(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	if err != nil && r.FormValue("after") != "" {
		refuse(w, wire.CodeBadRequest, err.Error())
		return
	}
	c := s.loop.newCall()
	s.answer(w, r, submission{engine.Poll{Ticket: c.ticket, After: after}, c})
}

func (s *Server) fault(w http.ResponseWriter, r *http.Request) {
	httpjson.Faults(func(f fault.Fault) bool {
		return engine.Injects(f) && s.loop.submit(r.Context(), submission{message: engine.Inject{Fault: f}})
	})(w, r)
}

// answer submits an operation and answers with its result.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, op submission) {
	command := s.await(r, op)
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
		refuse(w, c.Code, c.Detail)
	default:
		panic(http.ErrAbortHandler)
	}
}

// await submits an operation and returns its first answer, or nil if there is
// none.
func (s *Server) await(r *http.Request, op submission) engine.Command {
	if !s.loop.submit(r.Context(), op) {
		return nil
	}
	return s.next(r, op.call)
}

// next returns a call's next answer, or nil if there is none.
func (s *Server) next(r *http.Request, c *call) engine.Command {
	select {
	case command := <-c.replies:
		return command
	case <-r.Context().Done():
		s.loop.submit(context.WithoutCancel(r.Context()), submission{message: engine.Disconnect{Ticket: c.ticket}})
		return nil
	}
}

// read decodes a body, or refuses the request.
func read(w http.ResponseWriter, r *http.Request, v any) bool {
	err := httpjson.Decode(w, r, v)
	if err != nil {
		refuse(w, wire.CodeBadRequest, err.Error())
	}
	return err == nil
}

// refuse answers with the status and body of a code.
func refuse(w http.ResponseWriter, code, detail string) {
	httpjson.Write(w, status(code), wire.ErrorBody{Code: code, Detail: detail})
}

func status(code string) int {
	switch code {
	case wire.CodeFull, wire.CodeDraining:
		return http.StatusServiceUnavailable
	case wire.CodeGone:
		return http.StatusGone
	case wire.CodeBadRequest:
		return http.StatusBadRequest
	default:
		return http.StatusConflict
	}
}
