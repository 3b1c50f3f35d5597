package engine

import (
	"daisyshed.dev/core"
	wire "daisyshed.dev/wire/engine"
)

// Command is the sealed set of actions that [Engine.Update] asks its runtime
// to carry out.
type Command interface{ isCommand() }

// Prefilled answers a Prefill.
type Prefilled struct {
	Ticket Ticket
	Result wire.PrefillResult
}

// Imported answers an Import.
type Imported struct{ Ticket Ticket }

// Exported answers an Export.
type Exported struct {
	Ticket Ticket
	Cache  Cache
}

// Opened accepts a Decode. Tokens follow.
type Opened struct{ Ticket Ticket }

// Token is one token of a stream. Offsets count from one.
type Token struct {
	Ticket Ticket
	Offset core.Tokens
	Event  wire.TokenEvent
}

// Released answers a Release.
type Released struct{ Ticket Ticket }

// Reported answers a Poll.
type Reported struct {
	Ticket Ticket
	Report wire.Report
}

// Ordered answers an Order.
type Ordered struct{ Ticket Ticket }

// Refused ends an operation with one of the wire codes.
type Refused struct {
	Ticket Ticket
	Code   string
	Detail string
}

// Lost ends an operation without an answer, as a broken connection does.
type Lost struct{ Ticket Ticket }

// Fetch asks the runtime for a KV cache from another engine, for the Import
// with the same ticket.
type Fetch struct {
	Ticket     Ticket
	From       string
	Allocation wire.Allocation
}

// CancelFetch gives up a Fetch.
type CancelFetch struct{ Ticket Ticket }

// FetchWeights asks the runtime for a model's weights.
type FetchWeights struct {
	Ticket Ticket
	Model  core.ModelID
}

func (Prefilled) isCommand()    {}
func (Imported) isCommand()     {}
func (Exported) isCommand()     {}
func (Opened) isCommand()       {}
func (Token) isCommand()        {}
func (Released) isCommand()     {}
func (Reported) isCommand()     {}
func (Ordered) isCommand()      {}
func (Refused) isCommand()      {}
func (Lost) isCommand()         {}
func (Fetch) isCommand()        {}
func (CancelFetch) isCommand()  {}
func (FetchWeights) isCommand() {}
