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

// publishAttempts bounds the tries to append and to read back.
const publishAttempts = 6

// NotPublishedError says that nothing was published.
type NotPublishedError struct{ Cause error }

// Error gives the cause and says what to do.
func (e *NotPublishedError) Error() string {
	return fmt.Sprintf("nothing was published: %v; publish again once the log can be reached", e.Cause)
}

// Unwrap returns the cause.
func (e *NotPublishedError) Unwrap() error { return e.Cause }

// UnknownError says that it is not known whether publications are in the log.
type UnknownError struct {
	Publications []core.PublicationID
	Cause        error
}

// Error names the publications and says what to do.
func (e *UnknownError) Error() string {
	var ids []string
	for _, id := range e.Publications {
		ids = append(ids, string(id))
	}
	return fmt.Sprintf("it is not known whether the log holds the publication: %v; look for %s in the history before you publish again",
		e.Cause, strings.Join(ids, ", "))
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// Publisher appends publications to the log and finds out what became of them.
type Publisher struct {
	Log *Log
	// Pause is the time between two attempts.
	Pause time.Duration
}

// Publish appends records, all or none, and returns what became of each. After
// a lost reply it looks for its records by their publication ids before it
// appends them again. A second copy does no harm, because folding passes over
// it.
func (p *Publisher) Publish(ctx context.Context, records []core.Record) ([]Publication, error) {
	a := attempt{publisher: p, records: records}
	for range publishAttempts {
		done, err := a.once(ctx)
		if err != nil {
			return nil, err
		}
		if done != nil {
			return done, nil
		}
		if !pause(ctx, p.Pause) {
			break
		}
	}
	return nil, a.failure()
}

// attempt is one publication in progress.
type attempt struct {
	publisher *Publisher
	records   []core.Record
	// appended is set once the log confirmed an append, open while the
	// records may be in the log without confirmation.
	appended bool
	open     bool
	last     error
}

// once goes one step: it appends what is surely not in the log and reads back
// what may be.
func (a *attempt) once(ctx context.Context) ([]Publication, error) {
	if a.open && !a.appended {
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

// append returns an error only where trying again cannot help.
func (a *attempt) append(ctx context.Context) error {
	_, err := a.publisher.Log.Client.Append(ctx, core.ConfigStream, a.records)
	var failed *platformlog.AppendError
	switch {
	case err == nil:
		a.appended = true
	case errors.As(err, &failed):
		a.last = err
		a.open = a.open || !failed.NotAppended
	default:
		return &NotPublishedError{Cause: err}
	}
	return nil
}

// search reads the log to its end and looks for the records. It returns nil
// where they are not all there, and whether the log could be read.
func (a *attempt) search(ctx context.Context) ([]Publication, bool) {
	if err := a.publisher.Log.Sync(ctx); err != nil {
		a.last = err
		return nil, false
	}
	var out []Publication
	for _, r := range a.records {
		p, ok := a.publisher.Log.Find(idOf(r))
		if !ok {
			return nil, true
		}
		out = append(out, p)
	}
	return out, true
}

func (a *attempt) failure() error {
	if !a.open && !a.appended {
		return &NotPublishedError{Cause: a.last}
	}
	e := &UnknownError{Cause: a.last}
	for _, r := range a.records {
		e.Publications = append(e.Publications, idOf(r))
	}
	return e
}

// pause waits and reports whether there is time left.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
