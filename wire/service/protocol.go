// Package service defines the protocol between nodes and plain services: a call is
// an HTTP POST of its JSON body to CallPath. The header Idempotency-Key contains
// the caller's idempotency key, which the service may record or ignore.
package service

// The HTTP paths of a plain service. CallPath accepts calls by POST.
// StandInCallsPath exists only on the stand-in and responds to GET with the calls
// that it ran.
const (
	CallPath         = "/v1/call"
	StandInCallsPath = "/v1/ran"
)
