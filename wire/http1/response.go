// Package http1 checks HTTP/1.1 responses for what net/http lets pass: heads that are no valid heads,
// and bodies that end with their connection although the request was not delivered.
package http1

import (
	"net/http"
	"strconv"
	"strings"
)

// minStatus and maxStatus bound valid statuses (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// maxQuoted bounds how many bytes of a field's name an error quotes.
const maxQuoted = 64

// InvalidStatusError reports a response whose status is not between 100 and 599.
type InvalidStatusError struct{ Status int }

// Error returns the message with the status.
func (e *InvalidStatusError) Error() string {
	return "http1: invalid status " + strconv.Itoa(e.Status)
}

// InvalidVersionError reports a response of another version than HTTP/1.
type InvalidVersionError struct{ Version string }

// Error returns the message with the version.
func (e *InvalidVersionError) Error() string {
	return "http1: invalid version " + strconv.Quote(e.Version)
}

// InvalidFieldError reports a response with a field whose name is no token, such as one with a blank
// before the colon (RFC 9112, section 5.1).
type InvalidFieldError struct{ Name string }

// Error returns the message with the name.
func (e *InvalidFieldError) Error() string {
	return "http1: invalid name of a field: " + strconv.Quote(e.Name[:min(len(e.Name), maxQuoted)])
}

// AmbiguousLengthError reports a response with both a Content-Length and a Transfer-Encoding (RFC 9112,
// section 6.3).
type AmbiguousLengthError struct{}

// Error returns the message.
func (AmbiguousLengthError) Error() string {
	return "http1: response has both Content-Length and Transfer-Encoding"
}

// UnexpectedUpgradeError reports a switch to another protocol that was not asked for.
type UnexpectedUpgradeError struct{}

// Error returns the message.
func (UnexpectedUpgradeError) Error() string { return "http1: upgrade that was not requested" }

// CheckHead returns an error if the head of a response is not valid.
func CheckHead(r *http.Response) error {
	switch {
	case r.ProtoMajor != 1:
		return &InvalidVersionError{Version: r.Proto}
	case r.StatusCode < minStatus || r.StatusCode > maxStatus:
		return &InvalidStatusError{Status: r.StatusCode}
	case r.StatusCode == http.StatusSwitchingProtocols:
		return UnexpectedUpgradeError{}
	default:
		return CheckFields(r.Header)
	}
}

// CheckFields returns an *[InvalidFieldError] if the name of a field, or of a trailer, is not valid.
func CheckFields(h http.Header) error {
	for name := range h {
		if !isToken(name) {
			return &InvalidFieldError{Name: name}
		}
	}
	return nil
}

// isToken reports whether a name is a token (RFC 9110, section 5.6.2).
func isToken(name string) bool {
	for i := range len(name) {
		c := name[i]
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if digit := c >= '0' && c <= '9'; !letter && !digit && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return name != ""
}

// IsChunked reports whether the body of a response is in chunks.
func IsChunked(r *http.Response) bool {
	return len(r.TransferEncoding) > 0 && r.TransferEncoding[0] == "chunked"
}

// IsUnframed reports whether the body of a response has neither a length nor chunks, and ends with the
// connection.
func IsUnframed(r *http.Response) bool { return r.ContentLength < 0 && !IsChunked(r) }
