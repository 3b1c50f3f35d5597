// Package service defines the protocol between nodes and plain services: a call is
// an HTTP POST of its JSON body to CallPath. The header Idempotency-Key has the
// caller's key for the service's own records; a service may ignore it.
package service

// The HTTP paths of a plain service. CallPath accepts calls by POST.
// StandInCallsPath exists only on the stand-in and responds to GET with the calls
// that it ran.
const (
	CallPath         = "/v1/call"
	StandInCallsPath = "/v1/ran"
)
