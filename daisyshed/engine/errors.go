package engine

import (
	"errors"
	"fmt"

	"daisyshed.dev/core"
	wire "daisyshed.dev/wire/engine"
)

// StatusError reports that an engine responded with a status other than 200.
type StatusError struct {
	Status int
	Body   wire.ErrorBody
}

// Error returns the status and the engine's error code and detail.
func (e *StatusError) Error() string {
	return fmt.Sprintf("engine: status %d %s: %s", e.Status, e.Body.Code, e.Body.Detail)
}

func hasCode(err error, code string) bool {
	var statusErr *StatusError
	return errors.As(err, &statusErr) && statusErr.Body.Code == code
}

// NoAddressError reports that an engine's address is not known.
type NoAddressError struct{}

// Error implements error.
func (NoAddressError) Error() string { return "engine: address unknown" }

// CallerDisconnectedError reports that the caller of a request has disconnected.
type CallerDisconnectedError struct{}

// Error implements error.
func (CallerDisconnectedError) Error() string { return "engine: caller disconnected" }

// GapError reports that a stream skipped at least one token.
type GapError struct{ Want, Got core.Tokens }

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("engine: stream skipped tokens: want token %d, got %d", e.Want, e.Got)
}

// BrokenStreamError reports that a stream ended before its last token.
type BrokenStreamError struct{}

// Error implements error.
func (BrokenStreamError) Error() string { return "engine: stream ended before the last token" }

// StalledStreamError reports that no token arrived within Client.StepTimeout.
type StalledStreamError struct{}

// Error implements error.
func (StalledStreamError) Error() string { return "engine: no token received within the step timeout" }

// ResponseTooLongError reports that the body of an engine's response exceeds
// MaxResponseBytes.
type ResponseTooLongError struct{}

// Error implements error.
func (ResponseTooLongError) Error() string {
	return fmt.Sprintf("engine: response exceeds %d bytes", MaxResponseBytes)
}

// OffsetError reports that an event's id is not the offset of a token, because
// it is less than 1.
type OffsetError struct{ Offset int }

// Error implements error.
func (e *OffsetError) Error() string { return fmt.Sprintf("token offset %d is less than 1", e.Offset) }

// BadEventError reports that an event of a stream could not be decoded.
type BadEventError struct{ Cause error }

// Error implements error.
func (e *BadEventError) Error() string { return "engine: invalid stream event: " + e.Cause.Error() }

// Unwrap returns the underlying error.
func (e *BadEventError) Unwrap() error { return e.Cause }
