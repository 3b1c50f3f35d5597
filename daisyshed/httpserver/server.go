// Package httpserver creates HTTP servers with a timeout on every read and write.
package httpserver

import (
	"log"
	"net/http"
	"time"

	"daisyshed.dev/daisyshed/tcp"
)

// Limits bounds the size and time that one connection may use.
type Limits struct {
	// HeaderBytes bounds the size of a request's headers.
	HeaderBytes int
	// HeaderTimeout bounds the time to read a request's headers.
	HeaderTimeout time.Duration
	// ReadTimeout bounds the time to read a request's body, whether or not the
	// handler reads it.
	ReadTimeout time.Duration
	// WriteTimeout bounds the time to write a response. A handler that takes
	// longer extends the deadline before each write.
	WriteTimeout time.Duration
	// IdleTimeout is how long an idle connection stays open.
	IdleTimeout time.Duration
}

// New returns a server for h with the given limits. Connection errors are logged
// to errorLog.
func New(h http.Handler, l Limits, errorLog *log.Logger) *http.Server {
	return &http.Server{
		Handler:           limitBodyReads(h, l.ReadTimeout),
		ReadHeaderTimeout: l.HeaderTimeout,
		WriteTimeout:      l.WriteTimeout,
		IdleTimeout:       l.IdleTimeout,
		MaxHeaderBytes:    l.HeaderBytes,
		ErrorLog:          errorLog,
		ConnContext:       tcp.WithConn,
		ConnState:         tcp.TrackState,
	}
}

// limitBodyReads bounds the time to read a request's body, including the part
// that the handler leaves unread and net/http discards before the next request.
// http.Server.ReadTimeout does not fit: it would also end long responses.
func limitBodyReads(next http.Handler, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		last, err := tcp.BeginRequest(r)
		if last {
			w.Header().Set("Connection", "close")
		}
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		setReadDeadline(w, timeout)
		defer setReadDeadline(w, timeout)
		next.ServeHTTP(w, r)
	})
}

// setReadDeadline sets the read deadline of the connection.
func setReadDeadline(w http.ResponseWriter, timeout time.Duration) {
	// If w does not support deadlines, only those of the connection apply.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout))
}
