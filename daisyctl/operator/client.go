// Package operator asks the daemons' operator endpoints.
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

// The paths of a daemon's operator endpoint.
const (
	statusPath    = "/v1/status"
	decisionsPath = "/v1/decisions"
)

// maxAnswerBytes bounds an answer of a daemon.
const maxAnswerBytes = 16 << 20

// Error says that a daemon did not answer as it should.
type Error struct {
	URL    string
	Status int
	Reason string
}

// Error names the daemon and says what to do.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s; check the address and that the daemon runs", e.URL, e.Reason)
}

// Fleet asks several daemons at their operator URLs.
type Fleet struct {
	URLs []string
	HTTP *http.Client
}

// Answer is what one daemon said, or why it said nothing.
type Answer[T any] struct {
	URL   string
	Value T
	Err   *Error
}

// Statuses asks all daemons for their status at once. Answers are in the order
// of the URLs.
func (f *Fleet) Statuses(ctx context.Context) []Answer[core.Status] {
	return ask[core.Status](ctx, f, statusPath)
}

// Decisions asks all daemons for their decisions on a request.
func (f *Fleet) Decisions(ctx context.Context, request string) []Answer[[]core.Decision] {
	return ask[[]core.Decision](ctx, f, decisionsPath+"?request="+url.QueryEscape(request))
}

func ask[T any](ctx context.Context, f *Fleet, path string) []Answer[T] {
	answers := make([]Answer[T], len(f.URLs))
	var wg sync.WaitGroup
	for i, base := range f.URLs {
		wg.Go(func() { answers[i] = get[T](ctx, f.HTTP, base, path) })
	}
	wg.Wait()
	return answers
}

func get[T any](ctx context.Context, client *http.Client, base, path string) Answer[T] {
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
	body := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes))
	if err := body.Decode(&a.Value); err != nil {
		a.Err = &Error{URL: base, Status: resp.StatusCode, Reason: err.Error()}
	}
	return a
}
