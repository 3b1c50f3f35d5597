package engine

import (
	"daisyshed.dev/core"
	wire "daisyshed.dev/wire/engine"
)

// Command is the sealed set of actions that [Engine.Update] returns for its
// runtime to execute.
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

// StreamOpened answers a Decode. The tokens of the stream follow as Token commands.
type StreamOpened struct{ Ticket Ticket }

// Token sends one token of a stream. Offsets count from one.
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

// Refused ends an operation with one of the wire codes, either at once or
// after it has started.
type Refused struct {
	Ticket Ticket
	Code   string
	Detail string
}

// ConnectionLost ends an operation without a reply, like a broken connection.
type ConnectionLost struct{ Ticket Ticket }

// FetchCache requests a KV cache from the engine at From, for the Import with the
// same ticket.
type FetchCache struct {
	Ticket     Ticket
	From       string
	Allocation wire.Allocation
}

// CancelFetch cancels the FetchCache with the same ticket.
type CancelFetch struct{ Ticket Ticket }

// FetchWeights requests a model's weights, for the Order with the same
// ticket.
type FetchWeights struct {
	Ticket Ticket
	Model  core.ModelID
}

func (Prefilled) isCommand()      {}
func (Imported) isCommand()       {}
func (Exported) isCommand()       {}
func (StreamOpened) isCommand()   {}
func (Token) isCommand()          {}
func (Released) isCommand()       {}
func (Reported) isCommand()       {}
func (Ordered) isCommand()        {}
func (Refused) isCommand()        {}
func (ConnectionLost) isCommand() {}
func (FetchCache) isCommand()     {}
func (CancelFetch) isCommand()    {}
func (FetchWeights) isCommand()   {}
