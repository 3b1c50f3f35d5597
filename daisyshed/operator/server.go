// Package operator shows operators what a node does: status, decisions,
// metrics, health and log lines.
package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/control"
	"github.com/rs/zerolog"
)

// statusTimeout bounds the wait for the core's status.
const statusTimeout = 2 * time.Second

// Server answers operators. Its fields are set before the first request.
type Server struct {
	Log       zerolog.Logger
	Metrics   *Metrics
	Decisions *Decisions
	Send      func(core.Message)
	// StaleAfter is the age of the configuration at which the node is not
	// ready any more.
	StaleAfter time.Duration
	// WatchEvery is the period at which a watch looks for changes.
	WatchEvery time.Duration
	// StatusEvery is the period of the metrics that come from the status.
	StatusEvery time.Duration
	// WriteTimeout bounds the writing of one event of a watch.
	WriteTimeout time.Duration

	last    atomic.Uint64
	waiting control.Waiters[core.Status]
}

// Handler returns the routes that operators use.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", s.Metrics.handler)
	mux.HandleFunc("GET /healthz", s.health)
	mux.HandleFunc("GET /readyz", s.ready)
	mux.HandleFunc("GET /v1/status", s.status)
	mux.HandleFunc("GET /v1/decisions", s.decisions)
	mux.HandleFunc("GET /v1/watch", s.watch)
	return mux
}

// NoStatusError says that the control goroutine gave no status in time.
type NoStatusError struct{}

// Error describes the fault.
func (NoStatusError) Error() string { return "operator: no status in time" }

// AnswerStatus passes the core's answer on to whoever asked. It does not
// block.
func (s *Server) AnswerStatus(c core.AnswerStatus) { s.waiting.Answer(c.Query, c.Status) }

// query asks the core for its status.
func (s *Server) query(ctx context.Context) (core.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	id := core.CallID("status-" + strconv.FormatUint(s.last.Add(1), 10))
	answer, done := s.waiting.Wait(id)
	defer done()
	go s.Send(core.StatusQuery{Query: id})
	select {
	case status := <-answer:
		return status, nil
	case <-ctx.Done():
		return core.Status{}, NoStatusError{}
	}
}

// Run keeps the metrics that come from the status up to date until ctx ends.
func (s *Server) Run(ctx context.Context) {
	ticker := time.NewTicker(s.StatusEvery)
	defer ticker.Stop()
	for {
		if status, err := s.query(ctx); err == nil {
			s.Metrics.Status(status)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	status, err := s.query(r.Context())
	if err != nil {
		unavailable(w, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, status)
}

func (s *Server) decisions(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, s.Decisions.Of(r.URL.Query().Get("request")))
}

// Health is the answer to the health and readiness endpoints.
type Health struct {
	OK     bool
	Reason string
}

// health says whether the control goroutine answers.
func (s *Server) health(w http.ResponseWriter, r *http.Request) {
	if _, err := s.query(r.Context()); err != nil {
		unavailable(w, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, Health{OK: true})
}

// ready says whether the node takes new work.
func (s *Server) ready(w http.ResponseWriter, r *http.Request) {
	status, err := s.query(r.Context())
	switch {
	case err != nil:
		unavailable(w, err.Error())
	case status.Leaving:
		unavailable(w, "the node is leaving")
	case status.ConfigOffset == 0:
		unavailable(w, "the node has no configuration")
	case status.ConfigAge > s.StaleAfter:
		unavailable(w, "the node has not heard the configuration for too long")
	default:
		writeJSON(w, http.StatusOK, Health{OK: true})
	}
}

func unavailable(w http.ResponseWriter, reason string) {
	w.Header().Set("Retry-After", "1")
	writeJSON(w, http.StatusServiceUnavailable, Health{Reason: reason})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An operator who left needs no answer.
	_ = json.NewEncoder(w).Encode(value)
}
