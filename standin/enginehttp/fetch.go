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

// fetches holds the running fetches of KV caches, so that they can be given
// up.
type fetches struct {
	mu      sync.Mutex
	cancels map[engine.Ticket]context.CancelFunc
}

func (f *fetches) start(ctx context.Context, ticket engine.Ticket) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancels[ticket] = cancel
	return ctx
}

func (f *fetches) end(ticket engine.Ticket) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if cancel, ok := f.cancels[ticket]; ok {
		cancel()
		delete(f.cancels, ticket)
	}
}

// perform carries out a command that is not an answer. It does not block.
func (s *Server) perform(ctx context.Context, command engine.Command) {
	switch c := command.(type) {
	case engine.Fetch:
		fetching := s.fetches.start(ctx, c.Ticket)
		go s.fetch(ctx, fetching, c)
	case engine.CancelFetch:
		s.fetches.end(c.Ticket)
	case engine.FetchWeights:
		go s.fetchWeights(ctx, c)
	default:
	}
}

// fetch asks another engine for a KV cache and tells the loop of the outcome.
func (s *Server) fetch(ctx, fetching context.Context, c engine.Fetch) {
	message := exportFrom(fetching, c)
	s.fetches.end(c.Ticket)
	s.loop.submit(ctx, submission{message: message})
}

// exportFrom asks for the KV cache and returns the message for the loop.
func exportFrom(ctx context.Context, c engine.Fetch) engine.Message {
	failed := engine.FetchFailed{Ticket: c.Ticket, Code: wire.CodeGone}
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
		var refusal wire.ErrorBody
		if json.NewDecoder(response.Body).Decode(&refusal) == nil && refusal.Code != "" {
			failed.Code = refusal.Code
		}
		return failed
	}
	fetched := engine.Fetched{Ticket: c.Ticket}
	if json.NewDecoder(response.Body).Decode(&fetched.Cache) != nil {
		return failed
	}
	return fetched
}

// fetchWeights fetches a model and retries while the weight store limits the
// rate.
func (s *Server) fetchWeights(ctx context.Context, c engine.FetchWeights) {
	for {
		wait, ok := s.tryWeights(ctx, c)
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

// tryWeights returns whether it got the weights, or how long to wait.
func (s *Server) tryWeights(ctx context.Context, c engine.FetchWeights) (time.Duration, bool) {
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
