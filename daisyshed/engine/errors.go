package engine

import (
	"errors"
	"fmt"

	"daisyshed.dev/core"
	wire "daisyshed.dev/wire/engine"
)

// RefusedError says that an engine answered with another status than 200.
type RefusedError struct {
	Status int
	Body   wire.ErrorBody
}

// Error describes the refusal.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("engine: status %d %s: %s", e.Status, e.Body.Code, e.Body.Detail)
}

func hasCode(err error, code string) bool {
	var refused *RefusedError
	return errors.As(err, &refused) && refused.Body.Code == code
}

// NoAddressError says that an engine's address is not known.
type NoAddressError struct{}

// Error describes the fault.
func (NoAddressError) Error() string { return "engine: address unknown" }

// CallerGoneError says that the caller of a request has left.
type CallerGoneError struct{}

// Error describes the fault.
func (CallerGoneError) Error() string { return "engine: caller gone" }

// GapError says that a stream skipped a token.
type GapError struct{ Want, Got core.Tokens }

// Error describes the fault.
func (e *GapError) Error() string {
	return fmt.Sprintf("engine: stream skipped from token %d to %d", e.Want, e.Got)
}

// BrokenStreamError says that a stream ended before its last token.
type BrokenStreamError struct{}

// Error describes the fault.
func (BrokenStreamError) Error() string { return "engine: stream ended before the last token" }

// StalledStreamError says that a stream gave no token within the timeout.
type StalledStreamError struct{}

// Error describes the fault.
func (StalledStreamError) Error() string { return "engine: no token within the timeout" }

// OffsetError says that an event's id is no offset of a token.
type OffsetError struct{ Offset int }

// Error describes the fault.
func (e *OffsetError) Error() string { return fmt.Sprintf("offset %d is below one", e.Offset) }

// BadEventError says that an event of a stream could not be read.
type BadEventError struct{ Cause error }

// Error describes the fault.
func (e *BadEventError) Error() string { return "engine: bad event: " + e.Cause.Error() }

// Unwrap returns the underlying fault.
func (e *BadEventError) Unwrap() error { return e.Cause }
