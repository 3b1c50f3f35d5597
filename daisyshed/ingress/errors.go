package ingress

import "fmt"

// InvalidResponseError reports a response that could not be read or decoded, or
// that lacks what the call needs.
type InvalidResponseError struct{ Cause error }

// Error returns the message, with the cause if there is one.
func (e *InvalidResponseError) Error() string {
	const text = "invalid upstream response"
	if e.Cause == nil {
		return text
	}
	return fmt.Sprintf("%s: %v", text, e.Cause)
}

// Unwrap returns the cause. It is nil if the response was read but its status
// or content is not what the call needs.
func (e *InvalidResponseError) Unwrap() error { return e.Cause }

// MissingSignatureError reports a success response without the upstream's
// signature.
type MissingSignatureError struct{}

// Error returns the message.
func (MissingSignatureError) Error() string { return "upstream response has no signature" }

// TakeoverTimeoutError reports a run that was to take over from a silent one and had no
// event in time.
type TakeoverTimeoutError struct{}

// Error returns the message.
func (TakeoverTimeoutError) Error() string {
	return "upstream sent nothing in time to take over from a silent one"
}

// UpstreamFailedError reports a response with a status of 500 or above, or one that does
// not resume the stream that the caller has begun to receive.
type UpstreamFailedError struct{ Status int }

// Error returns the message without the status, which is logged separately.
func (*UpstreamFailedError) Error() string { return "upstream returned a server error" }

// UnprovenRejectionError reports a response whose status promises that the request has not
// run, although the upstream does not state that.
type UnprovenRejectionError struct{ Status int }

// Error returns the message without the status, which is logged separately.
func (*UnprovenRejectionError) Error() string {
	return "upstream rejected the request without stating that it did not run"
}

// SecondRunError reports a run that was not begun, because the request must run once and
// another run of it may have taken place.
type SecondRunError struct{}

// Error returns the message.
func (SecondRunError) Error() string { return "another run of the request may have taken place" }

// NotHeldError reports a run that was not begun, because the connection on which it must be
// sent is not held any more.
type NotHeldError struct{}

// Error returns the message.
func (NotHeldError) Error() string { return "the connection of the run is not held" }

// ClaimExpiredError reports an order that was not sent, because the claim that allowed it has
// expired.
type ClaimExpiredError struct{}

// Error returns the message.
func (ClaimExpiredError) Error() string { return "the claim to give orders has expired" }
