// Package httpserver makes HTTP servers whose every read and write is bounded.
package httpserver

import (
	"log"
	"net/http"
	"time"
)

// Limits bounds what one connection may cost.
type Limits struct {
	// HeaderBytes bounds a request's headers.
	HeaderBytes int
	// HeaderTimeout bounds the reading of a request's headers.
	HeaderTimeout time.Duration
	// ReadTimeout bounds the reading of a request's body, whether or not the
	// handler reads it.
	ReadTimeout time.Duration
	// WriteTimeout bounds the writing of an answer. An answer that outlasts it
	// extends it before each write.
	WriteTimeout time.Duration
	// IdleTimeout is how long an unused connection stays open.
	IdleTimeout time.Duration
}

// New returns a server of h within the limits. Faults of connections go to
// faults.
func New(h http.Handler, l Limits, faults *log.Logger) *http.Server {
	return &http.Server{
		Handler:           boundBodies(h, l.ReadTimeout),
		ReadHeaderTimeout: l.HeaderTimeout,
		WriteTimeout:      l.WriteTimeout,
		IdleTimeout:       l.IdleTimeout,
		MaxHeaderBytes:    l.HeaderBytes,
		ErrorLog:          faults,
	}
}

// boundBodies bounds the reading of bodies, also of what a handler leaves
// unread and net/http drops before the next request. http.Server.ReadTimeout
// does not fit: it would end long answers as well.
func boundBodies(next http.Handler, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		bound(w, timeout)
		defer bound(w, timeout)
		next.ServeHTTP(w, r)
	})
}

// bound sets the deadline of reads.
func bound(w http.ResponseWriter, timeout time.Duration) {
	// A reader without deadlines is bounded by its connection alone.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout))
}
