package engine

import (
	"daisyshed.dev/core"
	"daisyshed.dev/standin/fault"
	wire "daisyshed.dev/wire/engine"
)

// Ticket ties commands to the operation that they answer. A runtime numbers
// its operations from one.
type Ticket uint64

// Message is the sealed set of events that a runtime passes to
// [Engine.Update].
type Message interface{ isMessage() }

// Tick tells the engine that time has passed.
type Tick struct{}

// Prefill starts a prefill. Output is the length of the answer for a driver
// without prompt texts; zero derives it from the text.
type Prefill struct {
	Ticket  Ticket
	Request wire.PrefillRequest
	Output  core.Tokens
}

// Import starts fetching a KV cache.
type Import struct {
	Ticket  Ticket
	Request wire.ImportRequest
}

// Export starts sending a KV cache.
type Export struct {
	Ticket     Ticket
	Allocation wire.Allocation
}

// Decode opens or resumes the stream of an answer.
type Decode struct {
	Ticket  Ticket
	Request wire.DecodeRequest
}

// Release frees an allocation and cancels whatever step it is in.
type Release struct {
	Ticket     Ticket
	Allocation wire.Allocation
}

// Poll asks for a report with the cache events after After.
type Poll struct {
	Ticket Ticket
	After  uint64
}

// Order is an exclusive order.
type Order struct {
	Ticket  Ticket
	Request wire.OrderRequest
}

// Fetched answers a Fetch command with the KV cache.
type Fetched struct {
	Ticket Ticket
	Cache  Cache
}

// FetchFailed answers a Fetch command that failed with one of the wire codes.
type FetchFailed struct {
	Ticket Ticket
	Code   string
}

// WeightsFetched answers a FetchWeights command.
type WeightsFetched struct {
	Ticket Ticket
	Failed bool
}

// Disconnect says that nobody waits for an operation's answers any more. A
// stream goes on without its reader; an export stops.
type Disconnect struct{ Ticket Ticket }

// Inject sets a fault. It works at once, also on a frozen engine.
type Inject struct{ Fault fault.Fault }

// Cache is a KV cache on its way from one engine to another.
type Cache struct {
	wire.ExportResult
	// Output is the answer's length where there is no text.
	Output core.Tokens
	// Computed is the prefill work in the cache that no decoding has used yet.
	Computed core.Tokens
}

func (Tick) isMessage()           {}
func (Prefill) isMessage()        {}
func (Import) isMessage()         {}
func (Export) isMessage()         {}
func (Decode) isMessage()         {}
func (Release) isMessage()        {}
func (Poll) isMessage()           {}
func (Order) isMessage()          {}
func (Fetched) isMessage()        {}
func (FetchFailed) isMessage()    {}
func (WeightsFetched) isMessage() {}
func (Disconnect) isMessage()     {}
func (Inject) isMessage()         {}
