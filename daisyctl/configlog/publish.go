package configlog

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/wire/platformlog"
)

// publishAttempts limits the attempts to append records and read them back.
const publishAttempts = 6

// NotPublishedError reports that nothing was published.
type NotPublishedError struct{ Cause error }

// Error returns the cause and what to do.
func (e *NotPublishedError) Error() string {
	return fmt.Sprintf("nothing was published: %v; publish again once the log is reachable", e.Cause)
}

// Unwrap returns the cause.
func (e *NotPublishedError) Unwrap() error { return e.Cause }

// UnknownOutcomeError reports that it is not known whether publications are in
// the log.
type UnknownOutcomeError struct {
	Publications []core.PublicationID
	Cause        error
}

// Error returns the cause, the publication IDs and what to do.
func (e *UnknownOutcomeError) Error() string {
	var ids []string
	for _, id := range e.Publications {
		ids = append(ids, string(id))
	}
	return fmt.Sprintf("it is not known whether the log holds the publication: %v; look for %s in the history before you publish again",
		e.Cause, strings.Join(ids, ", "))
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// Publisher appends publications to the log and reads back their outcomes.
type Publisher struct {
	Log *Log
	// RetryInterval is the pause between two attempts.
	RetryInterval time.Duration
}

// Publish appends records, all or none, and returns the outcome of each. After a
// lost reply it looks for the records by their publication IDs before it appends
// them again. A duplicate is harmless: readers of the log ignore the second copy.
func (p *Publisher) Publish(ctx context.Context, records []core.Record) ([]Publication, error) {
	a := attempt{publisher: p, records: records}
	for range publishAttempts {
		done, err := a.tryOnce(ctx)
		if err != nil {
			return nil, err
		}
		if done != nil {
			return done, nil
		}
		if !sleep(ctx, p.RetryInterval) {
			break
		}
	}
	return nil, a.outcomeError()
}

// attempt is the state of one call of Publish across its retries.
type attempt struct {
	publisher *Publisher
	records   []core.Record
	// appended is set once the log has confirmed an append; unconfirmed is set
	// once an append without confirmation may have taken effect.
	appended    bool
	unconfirmed bool
	lastErr     error
}

// tryOnce makes one attempt. If an earlier append may have taken effect, it looks
// for the records first and appends only if they are not in the log. It returns
// nil and no error if another attempt is needed.
func (a *attempt) tryOnce(ctx context.Context) ([]Publication, error) {
	if a.unconfirmed && !a.appended {
		found, readable := a.search(ctx)
		if found != nil || !readable {
			return found, nil
		}
	}
	if !a.appended {
		if err := a.append(ctx); err != nil {
			return nil, err
		}
	}
	if !a.appended {
		return nil, nil
	}
	found, _ := a.search(ctx)
	return found, nil
}

// append appends the records. It returns an error only if a retry cannot
// succeed.
func (a *attempt) append(ctx context.Context) error {
	_, err := a.publisher.Log.Client.Append(ctx, core.ConfigStream, a.records)
	var failed *platformlog.AppendError
	switch {
	case err == nil:
		a.appended = true
	case errors.As(err, &failed):
		a.lastErr = err
		a.unconfirmed = a.unconfirmed || !failed.NotAppended
	default:
		return &NotPublishedError{Cause: err}
	}
	return nil
}

// search reads the log to its end and returns the publications of the records, or
// nil unless all of them are in the log. The second result reports whether the log
// could be read.
func (a *attempt) search(ctx context.Context) ([]Publication, bool) {
	if err := a.publisher.Log.Sync(ctx); err != nil {
		a.lastErr = err
		return nil, false
	}
	var out []Publication
	for _, r := range a.records {
		p, ok := a.publisher.Log.Find(publicationIDOf(r))
		if !ok {
			return nil, true
		}
		out = append(out, p)
	}
	return out, true
}

// outcomeError returns the error after the last attempt: NotPublishedError if no
// append can have taken effect, else UnknownOutcomeError.
func (a *attempt) outcomeError() error {
	if !a.unconfirmed && !a.appended {
		return &NotPublishedError{Cause: a.lastErr}
	}
	e := &UnknownOutcomeError{Cause: a.lastErr}
	for _, r := range a.records {
		e.Publications = append(e.Publications, publicationIDOf(r))
	}
	return e
}

// sleep waits for d and reports false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
