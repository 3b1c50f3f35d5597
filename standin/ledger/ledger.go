// Package ledger is a stand-in for a plain service. It records every call that
// it runs, without deduplication or expiry, so that a test can detect calls that
// ran twice.
package ledger

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sync"

	"daisyshed.dev/standin/fault"
	"daisyshed.dev/standin/httpjson"
	"daisyshed.dev/wire/service"
)

// Entry records one call that ran. The field Entry numbers the calls from one,
// and Key is the call's Idempotency-Key header.
type Entry struct {
	Entry int
	Key   string
	Body  json.RawMessage
}

// List is the response to GET on service.StandInCallsPath: the calls that ran, in order.
type List struct{ Ran []Entry }

// Ledger is the service. Set its exported fields before calling Run.
type Ledger struct {
	// Listener takes precedence over Address.
	Listener net.Listener
	Address  string
	// Injector injects faults.
	Injector fault.Injector

	mu  sync.Mutex
	ran []Entry
}

// Run serves until ctx ends.
func (l *Ledger) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+service.CallPath, l.call)
	mux.HandleFunc("GET "+service.StandInCallsPath, l.list)
	mux.HandleFunc("POST "+fault.Path, httpjson.FaultHandler(l.Injector.Inject))
	return httpjson.Serve(ctx, l.Listener, l.Address, httpjson.DelayHandler(&l.Injector, mux))
}

// Ran returns the calls that ran, in order.
func (l *Ledger) Ran() []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.ran)
}

func (l *Ledger) call(w http.ResponseWriter, r *http.Request) {
	if err := l.Injector.BeforeOperation(); err != nil {
		httpjson.WriteError(w, err)
		return
	}
	var body json.RawMessage
	if !httpjson.Read(w, r, &body) {
		return
	}
	entry := l.record(r.Header.Get("Idempotency-Key"), body)
	if err := l.Injector.AfterOperation(); err != nil {
		httpjson.WriteError(w, err)
		return
	}
	httpjson.Write(w, http.StatusOK, entry)
}

func (l *Ledger) record(key string, body json.RawMessage) Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := Entry{Entry: len(l.ran) + 1, Key: key, Body: body}
	l.ran = append(l.ran, entry)
	return entry
}

func (l *Ledger) list(w http.ResponseWriter, _ *http.Request) {
	httpjson.Write(w, http.StatusOK, List{Ran: l.Ran()})
}
