package ingress

import "fmt"

// UnreadableError says that an upstream's answer could not be read.
type UnreadableError struct{ Cause error }

// Error describes the fault.
func (e *UnreadableError) Error() string {
	const text = "the upstream's answer could not be read"
	if e.Cause == nil {
		return text
	}
	return fmt.Sprintf("%s: %v", text, e.Cause)
}

// Unwrap returns the fault; nil if the answer was read and says nothing.
func (e *UnreadableError) Unwrap() error { return e.Cause }

// UnsealedError says that a success bears no upstream's signature.
type UnsealedError struct{}

// Error describes the fault.
func (UnsealedError) Error() string { return "the upstream's answer has no signature" }

// StalledError says that a stream was silent for longer than its run allows.
type StalledError struct{}

// Error describes the fault.
func (StalledError) Error() string { return "the upstream paused for too long" }

// FailedError says that an upstream answered with a failure of its own.
type FailedError struct{ Status int }

// Error describes the failure; the status is logged beside it.
func (*FailedError) Error() string { return "the upstream failed" }
