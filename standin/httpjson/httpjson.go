// Package httpjson holds what the HTTP stand-ins share: serving until a
// context ends, JSON bodies and the endpoint for faults.
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
	bodyLimit    = 16 << 20
	headerWait   = 10 * time.Second
	shutdownWait = 5 * time.Second
)

// ErrorBody is the body of an answer that is an error.
type ErrorBody struct{ Detail string }

// Serve answers requests on lis, or on address if lis is nil, until ctx ends.
// It then lets running requests finish for a few seconds.
func Serve(ctx context.Context, lis net.Listener, address string, handler http.Handler) error {
	if lis == nil {
		var err error
		lis, err = (&net.ListenConfig{}).Listen(ctx, "tcp", address)
		if err != nil {
			return err
		}
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerWait}
	served := make(chan error, 1)
	go func() { served <- server.Serve(lis) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	grace, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownWait)
	defer cancel()
	if server.Shutdown(grace) != nil {
		_ = server.Close()
	}
	<-served
	return nil
}

// Decode decodes a request's body into v.
func Decode(w http.ResponseWriter, r *http.Request, v any) error {
	return json.NewDecoder(http.MaxBytesReader(w, r.Body, bodyLimit)).Decode(v)
}

// Read decodes a request's body into v. If it cannot, it answers 400 and
// returns false.
func Read(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := Decode(w, r, v); err != nil {
		Write(w, http.StatusBadRequest, ErrorBody{err.Error()})
		return false
	}
	return true
}

// Write answers with a status and a JSON body.
func Write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// Fail answers an operation that ended with err: a lost reply breaks the
// connection, anything else is 503.
func Fail(w http.ResponseWriter, err error) {
	if errors.As(err, new(fault.ReplyLost)) {
		panic(http.ErrAbortHandler)
	}
	SetRetryAfter(w, time.Second)
	Write(w, http.StatusServiceUnavailable, ErrorBody{err.Error()})
}

// SetRetryAfter sets the header Retry-After in whole seconds, at least one.
func SetRetryAfter(w http.ResponseWriter, d time.Duration) {
	seconds := int64((d + time.Second - 1) / time.Second)
	w.Header().Set("Retry-After", strconv.FormatInt(max(1, seconds), 10))
}

// Faults answers the path for faults by means of inject, which returns false
// for a kind of fault that it does not know.
func Faults(inject func(fault.Fault) bool) http.HandlerFunc {
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

// Delayed waits for a gate's delay before each request.
func Delayed(gate *fault.Gate, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d := gate.Delay(); d > 0 && r.URL.Path != fault.Path {
			select {
			case <-time.After(d):
			case <-r.Context().Done():
				return
			}
		}
		next.ServeHTTP(w, r)
	})
}
