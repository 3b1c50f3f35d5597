package peer

import "fmt"

// DecodeError reports that bytes could not be read or decoded as an envelope.
type DecodeError struct{ Cause error }

// Error returns a message with the cause.
func (e *DecodeError) Error() string { return "peer: cannot decode the envelope: " + e.Cause.Error() }

// Unwrap returns the cause, an error of the reader or of protobuf.
func (e *DecodeError) Unwrap() error { return e.Cause }

// EncodeError reports that a message could not be encoded as an envelope.
type EncodeError struct{ Cause error }

// Error returns a message with the cause.
func (e *EncodeError) Error() string { return "peer: cannot encode the message: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *EncodeError) Unwrap() error { return e.Cause }

// RangeError reports that an enum field of an envelope has an unknown value.
type RangeError struct {
	Field string
	Value uint32
}

// Error names the field and the value.
func (e *RangeError) Error() string {
	return fmt.Sprintf("peer: field %s has the unknown value %d", e.Field, e.Value)
}

// EmptyEnvelopeError reports that an envelope has no body, or none of a known
// type.
type EmptyEnvelopeError struct{}

// Error says that the body is missing or unknown.
func (EmptyEnvelopeError) Error() string { return "peer: envelope without a known body" }

// FrameTooLargeError reports that an envelope exceeds the size limit.
type FrameTooLargeError struct{ Size, Limit int }

// Error names the size and the limit.
func (e *FrameTooLargeError) Error() string {
	return fmt.Sprintf("peer: envelope of %d bytes exceeds the limit of %d bytes", e.Size, e.Limit)
}

// TooManyFieldsError reports that an envelope has more fields than the limit.
type TooManyFieldsError struct{ Limit int }

// Error names the limit.
func (e *TooManyFieldsError) Error() string {
	return fmt.Sprintf("envelope exceeds the limit of %d fields", e.Limit)
}
