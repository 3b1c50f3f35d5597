// Package operator is a client of the daemons' operator endpoints.
package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"

	"daisyshed.dev/core"
)

// Paths on a daemon's operator endpoint.
const (
	statusPath    = "/v1/status"
	decisionsPath = "/v1/decisions"
)

// maxResponseBytes limits the size of a daemon's response.
const maxResponseBytes = 16 << 20

// Error reports a failed request to a daemon: no connection, an error status or an
// unreadable body.
type Error struct {
	URL    string
	Status int
	Reason string
}

// Error returns the daemon's URL, the reason and what the operator should check.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s; check the address and that the daemon is running", e.URL, e.Reason)
}

// Fleet is a client of several daemons, each at its operator URL.
type Fleet struct {
	URLs []string
	HTTP *http.Client
}

// Answer is one daemon's response, or the error if it gave none.
type Answer[T any] struct {
	URL   string
	Value T
	Err   *Error
}

// Statuses requests the status of all daemons in parallel. Answers are in the
// order of the URLs.
func (f *Fleet) Statuses(ctx context.Context) []Answer[core.Status] {
	return fetchAll[core.Status](ctx, f, statusPath)
}

// Decisions requests the decisions on one request from all daemons in parallel.
// Answers are in the order of the URLs.
func (f *Fleet) Decisions(ctx context.Context, request string) []Answer[[]core.Decision] {
	return fetchAll[[]core.Decision](ctx, f, decisionsPath+"?request="+url.QueryEscape(request))
}

func fetchAll[T any](ctx context.Context, f *Fleet, path string) []Answer[T] {
	answers := make([]Answer[T], len(f.URLs))
	var wg sync.WaitGroup
	for i, base := range f.URLs {
		wg.Go(func() { answers[i] = fetch[T](ctx, f.HTTP, base, path) })
	}
	wg.Wait()
	return answers
}

func fetch[T any](ctx context.Context, client *http.Client, base, path string) Answer[T] {
	a := Answer[T]{URL: base}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, base+path, nil)
	if err != nil {
		a.Err = &Error{URL: base, Reason: err.Error()}
		return a
	}
	resp, err := client.Do(r)
	if err != nil {
		a.Err = &Error{URL: base, Reason: err.Error()}
		return a
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		a.Err = &Error{URL: base, Status: resp.StatusCode, Reason: resp.Status}
		return a
	}
	body := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes))
	if err := body.Decode(&a.Value); err != nil {
		a.Err = &Error{URL: base, Status: resp.StatusCode, Reason: err.Error()}
	}
	return a
}
