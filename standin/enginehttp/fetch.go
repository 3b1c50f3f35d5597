package enginehttp

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"daisyshed.dev/standin/engine"
	wire "daisyshed.dev/wire/engine"
	"daisyshed.dev/wire/weightstore"
)

// fetches tracks the fetches of KV caches in flight, so that each can be
// canceled.
type fetches struct {
	mu      sync.Mutex
	cancels map[engine.Ticket]context.CancelFunc
}

// start records a fetch and returns the context that finish cancels.
func (f *fetches) start(ctx context.Context, ticket engine.Ticket) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancels[ticket] = cancel
	return ctx
}

// finish cancels the context of a fetch and removes the fetch. It does nothing if
// the fetch has already been removed.
func (f *fetches) finish(ticket engine.Ticket) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if cancel, ok := f.cancels[ticket]; ok {
		cancel()
		delete(f.cancels, ticket)
	}
}

// perform executes a command that is not a reply to a call. It does not block.
func (s *Server) perform(ctx context.Context, command engine.Command) {
	switch c := command.(type) {
	case engine.FetchCache:
		fetchCtx := s.fetches.start(ctx, c.Ticket)
		go s.fetch(ctx, fetchCtx, c)
	case engine.CancelFetch:
		s.fetches.finish(c.Ticket)
	case engine.FetchWeights:
		go s.fetchWeights(ctx, c)
	default:
	}
}

// fetch requests a KV cache from another engine and submits the outcome to the
// loop. A CancelFetch cancels only fetchCtx; ctx ends when the server stops.
func (s *Server) fetch(ctx, fetchCtx context.Context, c engine.FetchCache) {
	message := requestExport(fetchCtx, c)
	s.fetches.finish(c.Ticket)
	s.loop.submit(ctx, submission{message: message})
}

// requestExport requests the KV cache from the engine at c.From. It returns the
// outcome as a CacheFetched or CacheFetchFailed message.
func requestExport(ctx context.Context, c engine.FetchCache) engine.Message {
	failed := engine.CacheFetchFailed{Ticket: c.Ticket, Code: wire.CodeNotFound}
	body, err := json.Marshal(wire.ExportRequest{Allocation: c.Allocation})
	if err != nil {
		return failed
	}
	url := "http://" + c.From + wire.ExportPath
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return failed
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return failed
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		var errorBody wire.ErrorBody
		if json.NewDecoder(response.Body).Decode(&errorBody) == nil && errorBody.Code != "" {
			failed.Code = errorBody.Code
		}
		return failed
	}
	fetched := engine.CacheFetched{Ticket: c.Ticket}
	if json.NewDecoder(response.Body).Decode(&fetched.Cache) != nil {
		return failed
	}
	return fetched
}

// fetchWeights fetches a model's weights and submits the outcome to the loop. It
// retries for as long as the weight store's rate limit rejects the fetch.
func (s *Server) fetchWeights(ctx context.Context, c engine.FetchWeights) {
	for {
		wait, ok := s.tryFetchWeights(ctx, c)
		if wait == 0 {
			s.loop.submit(ctx, submission{message: engine.WeightsFetched{Ticket: c.Ticket, Failed: !ok}})
			return
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
	}
}

// tryFetchWeights sends one request for a model's weights. It returns how long to
// wait before a retry if the request was rate-limited; otherwise it returns zero
// and whether the request succeeded.
func (s *Server) tryFetchWeights(ctx context.Context, c engine.FetchWeights) (time.Duration, bool) {
	url := "http://" + s.WeightStore + weightstore.WeightsPath + string(c.Model)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, false
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, false
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusTooManyRequests {
		seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
		return time.Duration(max(1, seconds)) * time.Second, false
	}
	return 0, response.StatusCode == http.StatusOK
}
