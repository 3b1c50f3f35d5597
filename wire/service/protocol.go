// Package service is the protocol towards plain services: a call is an HTTP
// POST of its JSON body to CallPath. The header Idempotency-Key passes the
// caller's key on for the service's own records; a service need not look at it.
package service

// CallPath is where a plain service takes calls. GET ListPath on the stand-in
// lists what ran.
const (
	CallPath = "/v1/call"
	ListPath = "/v1/ran"
)
