// Package platformhttp serves the simulated log and VM list of package platform
// over HTTP.
package platformhttp

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/standin/fault"
	"daisyshed.dev/standin/httpjson"
	"daisyshed.dev/standin/platform"
	"daisyshed.dev/wire/platformlog"
	"daisyshed.dev/wire/vmlist"
)

// Log is the HTTP server of a log. Set its fields before calling Run.
type Log struct {
	// Listener takes precedence over Address.
	Listener net.Listener
	Address  string
	Log      *platform.Log
}

// Run serves until ctx ends.
func (l *Log) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+platformlog.StreamsPath+"{stream}", l.append)
	mux.HandleFunc("GET "+platformlog.StreamsPath+"{stream}", l.read)
	mux.HandleFunc("POST "+fault.Path, httpjson.FaultHandler(l.Log.Injector.Inject))
	return httpjson.Serve(ctx, l.Listener, l.Address, httpjson.DelayHandler(&l.Log.Injector, mux))
}

func (l *Log) append(w http.ResponseWriter, r *http.Request) {
	var body platformlog.AppendRequest
	if !httpjson.Read(w, r, &body) {
		return
	}
	first, err := l.Log.Append(now(), core.StreamID(r.PathValue("stream")), body.Records)
	if limited := (platform.RateLimited{}); errors.As(err, &limited) {
		httpjson.SetRetryAfter(w, limited.RetryAfter)
		httpjson.Write(w, http.StatusTooManyRequests, httpjson.ErrorBody{Detail: err.Error()})
		return
	}
	if err != nil {
		httpjson.WriteError(w, err)
		return
	}
	httpjson.Write(w, http.StatusOK, platformlog.AppendResult{First: first})
}

func (l *Log) read(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.FormValue("after"), 10, 64)
	if err != nil && r.FormValue("after") != "" {
		httpjson.Write(w, http.StatusBadRequest, httpjson.ErrorBody{Detail: err.Error()})
		return
	}
	result, err := l.Log.Read(now(), core.StreamID(r.PathValue("stream")), core.Offset(after))
	if err != nil {
		httpjson.WriteError(w, err)
		return
	}
	httpjson.Write(w, http.StatusOK, result)
}

// VMs is the HTTP server of a VM list. Set its fields before calling Run.
type VMs struct {
	// Listener takes precedence over Address.
	Listener net.Listener
	Address  string
	VMs      *platform.VMs
}

// Run serves until ctx ends.
func (v *VMs) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+vmlist.VMsPath, v.list)
	mux.HandleFunc("POST "+vmlist.VMsPath, v.set)
	mux.HandleFunc("POST "+fault.Path, httpjson.FaultHandler(v.VMs.Injector.Inject))
	return httpjson.Serve(ctx, v.Listener, v.Address, httpjson.DelayHandler(&v.VMs.Injector, mux))
}

func (v *VMs) list(w http.ResponseWriter, _ *http.Request) {
	list, err := v.VMs.List(now())
	if err != nil {
		httpjson.WriteError(w, err)
		return
	}
	httpjson.Write(w, http.StatusOK, list)
}

func (v *VMs) set(w http.ResponseWriter, r *http.Request) {
	var vm vmlist.VM
	if !httpjson.Read(w, r, &vm) {
		return
	}
	if err := v.VMs.Set(now(), vm); err != nil {
		httpjson.WriteError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// now returns the current time in Unix nanoseconds.
func now() core.Instant { return core.Instant(time.Now().UnixNano()) }
