// Package httpjson contains what the HTTP stand-ins share: a server that runs
// until a context ends, JSON bodies, and the endpoint that injects faults.
package httpjson

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"daisyshed.dev/standin/fault"
)

const (
	maxBodyBytes      = 16 << 20
	readHeaderTimeout = 10 * time.Second
	shutdownTimeout   = 5 * time.Second
)

// ErrorBody is the JSON body of an error response.
type ErrorBody struct{ Detail string }

// Serve serves HTTP on lis, or on address if lis is nil, until ctx ends. It then
// waits up to shutdownTimeout for requests in flight before it closes their
// connections.
func Serve(ctx context.Context, lis net.Listener, address string, handler http.Handler) error {
	if lis == nil {
		var err error
		lis, err = (&net.ListenConfig{}).Listen(ctx, "tcp", address)
		if err != nil {
			return err
		}
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	served := make(chan error, 1)
	go func() { served <- server.Serve(lis) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if server.Shutdown(shutdownCtx) != nil {
		_ = server.Close()
	}
	<-served
	return nil
}

// Decode decodes a request's JSON body, of at most maxBodyBytes, into v.
func Decode(w http.ResponseWriter, r *http.Request, v any) error {
	return json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(v)
}

// Read decodes a request's JSON body into v. If that fails, it responds with
// status 400 and returns false.
func Read(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := Decode(w, r, v); err != nil {
		Write(w, http.StatusBadRequest, ErrorBody{err.Error()})
		return false
	}
	return true
}

// Write responds with a status and a JSON body.
func Write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// WriteError responds to an operation that failed with err. For fault.ReplyLost it
// closes the connection without a response; otherwise it responds with status
// 503.
func WriteError(w http.ResponseWriter, err error) {
	if errors.As(err, new(fault.ReplyLost)) {
		panic(http.ErrAbortHandler)
	}
	SetRetryAfter(w, time.Second)
	Write(w, http.StatusServiceUnavailable, ErrorBody{err.Error()})
}

// SetRetryAfter sets the Retry-After header to d, rounded up to whole seconds
// and at least one.
func SetRetryAfter(w http.ResponseWriter, d time.Duration) {
	seconds := int64((d + time.Second - 1) / time.Second)
	w.Header().Set("Retry-After", strconv.FormatInt(max(1, seconds), 10))
}

// FaultHandler returns the handler of fault.Path. It passes each fault to inject and
// responds with status 400 if inject returns false, which means that the kind of
// fault is unknown.
func FaultHandler(inject func(fault.Fault) bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var f fault.Fault
		if !Read(w, r, &f) {
			return
		}
		if !inject(f) {
			Write(w, http.StatusBadRequest, ErrorBody{"unknown kind of fault: " + f.Kind})
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}
}

// DelayHandler returns a handler that waits for the injector's delay before it
// passes a request to next. Requests to fault.Path are not delayed.
func DelayHandler(injector *fault.Injector, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d := injector.Delay(); d > 0 && r.URL.Path != fault.Path {
			select {
			case <-time.After(d):
			case <-r.Context().Done():
				return
			}
		}
		next.ServeHTTP(w, r)
	})
}
