// Package directory serves callers' queries for the addresses of nodes, and the
// platform's readiness checks.
package directory

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/control"
	"daisyshed.dev/platform"
)

const (
	// MaxLifetime is the upper bound on how long callers may cache a response with
	// addresses. A shorter one costs more queries, a longer one sends callers to
	// nodes that are gone.
	MaxLifetime = 2 * time.Second
	// answerTimeout bounds the wait for the core's answer. Callers time out after
	// one second.
	answerTimeout = 500 * time.Millisecond
)

// Server answers address queries and readiness checks. Its fields must be set
// before the first request.
type Server struct {
	SendToCore func(core.Message)

	leaving   atomic.Bool
	ready     atomic.Bool
	lastQuery atomic.Uint64
	pending   control.PendingAnswers[core.AnswerAddresses]
}

// SetLeaving makes readiness checks fail from now on, also after SetReady.
func (s *Server) SetLeaving() { s.leaving.Store(true) }

// SetReady makes readiness checks succeed or fail. After SetLeaving they fail.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// ReadyHandler returns the handler for readiness checks.
func (s *Server) ReadyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if s.leaving.Load() || !s.ready.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// AddressHandler returns the handler for address queries.
func (s *Server) AddressHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.DirectoryPath, s.serveAddresses)
	return mux
}

// serveAddresses passes an address query to the core and writes its answer.
func (s *Server) serveAddresses(w http.ResponseWriter, r *http.Request) {
	id := core.CallID("addresses-" + strconv.FormatUint(s.lastQuery.Add(1), 10))
	answer, done := s.pending.Wait(id)
	defer done()
	s.SendToCore(core.AddressQuery{Query: id, Domain: platform.CallerDomain(r)})
	timeout := time.NewTimer(answerTimeout)
	defer timeout.Stop()
	select {
	case a := <-answer:
		platform.WriteAddressList(w, a)
	case <-timeout.C:
		platform.WriteFailure(w, "", http.StatusServiceUnavailable, "NoAnswer")
	case <-r.Context().Done():
	}
}

// AnswerAddresses delivers the core's answer to the handler that waits for it. It
// does not block.
func (s *Server) AnswerAddresses(c core.AnswerAddresses) { s.pending.Answer(c.Query, c) }

// RejectRequest does nothing: the command concerns requests of unhosted
// deployments, and a hosted node has none.
func (s *Server) RejectRequest(core.RejectRequest) {}

// AnswerCall does nothing: the command concerns plain calls of unhosted
// deployments, and a hosted node has none.
func (s *Server) AnswerCall(core.AnswerCall) {}
