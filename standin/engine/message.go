package engine

import (
	"daisyshed.dev/core"
	"daisyshed.dev/standin/fault"
	wire "daisyshed.dev/wire/engine"
)

// Ticket identifies an operation, so that commands can be matched to it. A
// runtime numbers its operations from one; zero stands for no operation.
type Ticket uint64

// Message is the sealed set of inputs that a runtime passes to
// [Engine.Update].
type Message interface{ isMessage() }

// Tick makes the engine handle the scheduled events that are due.
type Tick struct{}

// Prefill starts a prefill. Output is the length of the answer, for drivers
// that send no prompt texts; if it is zero, the length is derived from the
// text.
type Prefill struct {
	Ticket  Ticket
	Request wire.PrefillRequest
	Output  core.Tokens
}

// Import starts the transfer of a KV cache from another engine.
type Import struct {
	Ticket  Ticket
	Request wire.ImportRequest
}

// Export starts the transfer of a KV cache to another engine.
type Export struct {
	Ticket     Ticket
	Allocation wire.Allocation
}

// Decode opens or resumes the stream of an answer.
type Decode struct {
	Ticket  Ticket
	Request wire.DecodeRequest
}

// Release frees an allocation and cancels its operations in progress.
type Release struct {
	Ticket     Ticket
	Allocation wire.Allocation
}

// Poll requests a report, with the cache events whose numbers are above
// After.
type Poll struct {
	Ticket Ticket
	After  uint64
}

// Order changes the engine's role, model or adapters. Its fencing token
// protects it from being applied after a newer order.
type Order struct {
	Ticket  Ticket
	Request wire.OrderRequest
}

// CacheFetched answers a FetchCache command with the KV cache.
type CacheFetched struct {
	Ticket Ticket
	Cache  Cache
}

// CacheFetchFailed answers a FetchCache command that failed with one of the wire codes.
type CacheFetchFailed struct {
	Ticket Ticket
	Code   string
}

// WeightsFetched answers a FetchWeights command.
type WeightsFetched struct {
	Ticket Ticket
	Failed bool
}

// Disconnect notifies the engine that the client no longer waits for an
// operation's replies. A stream continues without its reader; an export
// stops.
type Disconnect struct{ Ticket Ticket }

// Inject sets a fault. It takes effect at once, also on a frozen engine.
type Inject struct{ Fault fault.Fault }

// Cache is a KV cache in transfer from one engine to another.
type Cache struct {
	wire.ExportResult
	// Output is the length of the answer as given with the prefill; if it is
	// zero, the length is derived from the text.
	Output core.Tokens
	// Computed counts the prefilled tokens of the cache that no stream has
	// used yet.
	Computed core.Tokens
}

func (Tick) isMessage()             {}
func (Prefill) isMessage()          {}
func (Import) isMessage()           {}
func (Export) isMessage()           {}
func (Decode) isMessage()           {}
func (Release) isMessage()          {}
func (Poll) isMessage()             {}
func (Order) isMessage()            {}
func (CacheFetched) isMessage()     {}
func (CacheFetchFailed) isMessage() {}
func (WeightsFetched) isMessage()   {}
func (Disconnect) isMessage()       {}
func (Inject) isMessage()           {}
