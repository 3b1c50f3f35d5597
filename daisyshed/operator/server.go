// Package operator serves a node's status, decisions, metrics and health to
// operators, and writes its log lines.
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

// Server serves the operators' HTTP API. Its fields must be set before the first
// request.
type Server struct {
	Log        zerolog.Logger
	Metrics    *Metrics
	Decisions  *Decisions
	SendToCore func(core.Message)
	// StaleAfter is the age of the configuration above which the node reports that
	// it is not ready.
	StaleAfter time.Duration
	// WatchInterval is the interval at which a watch checks the status for changes.
	WatchInterval time.Duration
	// StatusEvery is the interval at which the metrics that come from the status
	// are updated.
	StatusEvery time.Duration
	// WriteTimeout bounds the writing of one event of a watch.
	WriteTimeout time.Duration

	lastQuery atomic.Uint64
	pending   control.PendingAnswers[core.Status]
}

// Handler returns the HTTP handler of all operator endpoints.
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

// NoStatusError reports that the control goroutine did not return its status within
// the timeout.
type NoStatusError struct{}

// Error implements error.
func (NoStatusError) Error() string { return "operator: no status in time" }

// DeliverStatus delivers the core's status to the handler that requested it. It does
// not block.
func (s *Server) DeliverStatus(c core.AnswerStatus) { s.pending.Answer(c.Query, c.Status) }

// query requests the core's status and waits for it.
func (s *Server) query(ctx context.Context) (core.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	id := core.CallID("status-" + strconv.FormatUint(s.lastQuery.Add(1), 10))
	answer, done := s.pending.Wait(id)
	defer done()
	go s.SendToCore(core.StatusQuery{Query: id})
	select {
	case status := <-answer:
		return status, nil
	case <-ctx.Done():
		return core.Status{}, NoStatusError{}
	}
}

// Run updates the metrics that come from the status every StatusEvery until ctx
// ends.
func (s *Server) Run(ctx context.Context) {
	ticker := time.NewTicker(s.StatusEvery)
	defer ticker.Stop()
	for {
		if status, err := s.query(ctx); err == nil {
			s.Metrics.RecordStatus(status)
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
		writeUnavailable(w, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, status)
}

func (s *Server) decisions(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, s.Decisions.ForRequest(r.URL.Query().Get("request")))
}

// Health is the response body of the health and readiness endpoints.
type Health struct {
	OK     bool
	Reason string
}

// health reports whether the control goroutine responds.
func (s *Server) health(w http.ResponseWriter, r *http.Request) {
	if _, err := s.query(r.Context()); err != nil {
		writeUnavailable(w, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, Health{OK: true})
}

// ready reports whether the node accepts new requests.
func (s *Server) ready(w http.ResponseWriter, r *http.Request) {
	status, err := s.query(r.Context())
	switch {
	case err != nil:
		writeUnavailable(w, err.Error())
	case status.Leaving:
		writeUnavailable(w, "the node is leaving")
	case status.ConfigOffset == 0:
		writeUnavailable(w, "the node has no configuration")
	case status.ConfigAge > s.StaleAfter:
		writeUnavailable(w, "the node has not heard the configuration for too long")
	default:
		writeJSON(w, http.StatusOK, Health{OK: true})
	}
}

// writeUnavailable responds with status 503 and a reason.
func writeUnavailable(w http.ResponseWriter, reason string) {
	w.Header().Set("Retry-After", "1")
	writeJSON(w, http.StatusServiceUnavailable, Health{Reason: reason})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The write fails only if the operator has disconnected and needs no response.
	_ = json.NewEncoder(w).Encode(value)
}
