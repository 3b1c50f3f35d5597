// Package http1 checks HTTP/1.1 responses for what net/http lets pass: bodies that end with their
// connection although the request was not delivered.
package http1

import "net/http"

// IsChunked reports whether the body of a response is in chunks.
func IsChunked(r *http.Response) bool {
	return len(r.TransferEncoding) > 0 && r.TransferEncoding[0] == "chunked"
}

// IsUnframed reports whether the body of a response has neither a length nor chunks, and ends with the
// connection.
func IsUnframed(r *http.Response) bool { return r.ContentLength < 0 && !IsChunked(r) }
