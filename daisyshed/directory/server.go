// Package directory answers callers that ask where to connect, and the
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
	// Lifetime is how long callers may keep an answer. A shorter one costs
	// questions, a longer one sends callers to nodes that are gone.
	Lifetime = 2 * time.Second
	// answerTimeout bounds the wait for the core; callers allow a second.
	answerTimeout = 500 * time.Millisecond
)

// Server answers questions for addresses and readiness checks. Its fields are
// set before the first request.
type Server struct {
	Send func(core.Message)

	leaving atomic.Bool
	ready   atomic.Bool
	last    atomic.Uint64
	waiting control.Waiters[core.AnswerAddresses]
}

// Leave makes the node count as not ready from now on.
func (s *Server) Leave() { s.leaving.Store(true) }

// SetReady makes the node count as ready until it leaves.
func (s *Server) SetReady() { s.ready.Store(true) }

// Ready returns the handler of readiness checks.
func (s *Server) Ready() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if s.leaving.Load() || !s.ready.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// Addresses returns the handler of questions for addresses.
func (s *Server) Addresses() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.DirectoryPath, s.addresses)
	return mux
}

func (s *Server) addresses(w http.ResponseWriter, r *http.Request) {
	id := core.CallID("addresses-" + strconv.FormatUint(s.last.Add(1), 10))
	answer, done := s.waiting.Wait(id)
	defer done()
	s.Send(core.AddressQuery{Query: id, Domain: platform.CallerDomain(r)})
	timeout := time.NewTimer(answerTimeout)
	defer timeout.Stop()
	select {
	case a := <-answer:
		platform.WriteAddresses(w, a)
	case <-timeout.C:
		platform.WriteFailure(w, "", http.StatusServiceUnavailable, "NoAnswer")
	case <-r.Context().Done():
	}
}

// AnswerAddresses passes the core's answer on to whoever asked. It does not
// block.
func (s *Server) AnswerAddresses(c core.AnswerAddresses) { s.waiting.Answer(c.Query, c) }

// Refuse does nothing: a hosted node has no requests of the other kind.
func (s *Server) Refuse(core.RefuseCaller) {}

// AnswerCall does nothing: a hosted node has no calls of the other kind.
func (s *Server) AnswerCall(core.AnswerCall) {}
