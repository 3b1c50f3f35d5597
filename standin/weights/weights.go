// Package weights is a stand-in for the rate-limited weight store.
package weights

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"daisyshed.dev/standin/fault"
	"daisyshed.dev/standin/httpjson"
	"daisyshed.dev/wire/weightstore"
)

// Store serves the weights of models. Set its exported fields before calling Run.
type Store struct {
	// Listener takes precedence over Address.
	Listener net.Listener
	Address  string
	// Models lists the models in the store.
	Models []string
	// Interval is the minimum time between two fetches.
	Interval time.Duration
	// Injector injects faults.
	Injector fault.Injector

	mu sync.Mutex
	// nextFetch is the earliest time at which another fetch is allowed.
	nextFetch time.Time
}

// Response is the response to a fetch.
type Response struct{ Model string }

// Run serves until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+weightstore.WeightsPath+"{model...}", s.get)
	mux.HandleFunc("POST "+fault.Path, httpjson.FaultHandler(s.Injector.Inject))
	return httpjson.Serve(ctx, s.Listener, s.Address, httpjson.DelayHandler(&s.Injector, mux))
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	if err := s.Injector.BeforeOperation(); err != nil {
		httpjson.WriteError(w, err)
		return
	}
	model := r.PathValue("model")
	if !s.has(model) {
		httpjson.Write(w, http.StatusNotFound, httpjson.ErrorBody{Detail: "unknown model " + model})
		return
	}
	if wait := s.admit(time.Now()); wait > 0 {
		httpjson.SetRetryAfter(w, wait)
		httpjson.Write(w, http.StatusTooManyRequests, httpjson.ErrorBody{Detail: "rate exceeded"})
		return
	}
	if err := s.Injector.AfterOperation(); err != nil {
		httpjson.WriteError(w, err)
		return
	}
	httpjson.Write(w, http.StatusOK, Response{model})
}

func (s *Store) has(model string) bool {
	for _, m := range s.Models {
		if m == model {
			return true
		}
	}
	return false
}

// admit counts a fetch against the rate limit and returns zero. If the limit does
// not allow the fetch, it returns how long to wait before a retry.
func (s *Store) admit(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.nextFetch) {
		return s.nextFetch.Sub(now)
	}
	s.nextFetch = now.Add(s.Interval)
	return 0
}
