package peer

import "fmt"

// DecodeError says that bytes from a peer are not an envelope.
type DecodeError struct{ Cause error }

// Error describes the fault.
func (e *DecodeError) Error() string { return "peer: not an envelope: " + e.Cause.Error() }

// Unwrap returns the fault that protobuf reported.
func (e *DecodeError) Unwrap() error { return e.Cause }

// EncodeError says that a message could not be written as an envelope.
type EncodeError struct{ Cause error }

// Error describes the fault.
func (e *EncodeError) Error() string { return "peer: cannot encode: " + e.Cause.Error() }

// Unwrap returns the underlying fault.
func (e *EncodeError) Unwrap() error { return e.Cause }

// RangeError says that an envelope's enum field holds no known value.
type RangeError struct {
	Field string
	Value uint32
}

// Error describes the fault.
func (e *RangeError) Error() string {
	return fmt.Sprintf("peer: %s %d is out of range", e.Field, e.Value)
}

// EmptyError says that an envelope holds no message.
type EmptyError struct{}

// Error describes the fault.
func (EmptyError) Error() string { return "peer: envelope without a body" }

// FrameTooLargeError says that a frame exceeds the limit.
type FrameTooLargeError struct{ Size, Limit int }

// Error describes the fault.
func (e *FrameTooLargeError) Error() string {
	return fmt.Sprintf("peer: frame of %d bytes exceeds the limit of %d", e.Size, e.Limit)
}
