package core

import "time"

// Message is the sealed set of events that a runtime passes to [Node.Update].
type Message interface{ isMessage() }

// Tick tells the node that time has passed. A runtime sends it at the instant
// that [Node.Wake] names.
type Tick struct{}

// Prompt describes a prompt without its text.
type Prompt struct {
	Tokens Tokens
	// Blocks identifies the prompt's prefixes, one per BlockTokens.
	Blocks []BlockHash
}

// CallerRequest is a request for a generated answer.
type CallerRequest struct {
	Request  RequestID
	Profile  ProfileID
	Customer CustomerID
	Prompt   Prompt
	// MaxTokens bounds the output; zero takes the profile's bound.
	MaxTokens Tokens
	// Resumed says that the caller has already received ResumeAfter tokens of
	// this request's answer.
	Resumed     bool
	ResumeAfter Tokens
}

// CallerGone says that the caller of a request cancelled or hung up.
type CallerGone struct{ Request RequestID }

// CallerCall is a call to a plain service.
type CallerCall struct {
	Call     CallID
	Profile  ProfileID
	Customer CustomerID
	// Key is required unless the profile is repeatable.
	Key IdempotencyKey
	// KeyMinted is the log's time at which the caller got the epoch that it
	// sends with the key, in Unix nanoseconds; zero if it sent none.
	KeyMinted int64
	// First is the caller's word that it has never sent the key before.
	// Without it nobody but the key's writer can say NotRun, because an
	// earlier call under the key may have run.
	First bool
	Body  []byte
}

// AddressQuery asks which nodes a caller should use.
type AddressQuery struct {
	Query  CallID
	Domain DomainID
}

// StatusQuery asks for the node's view, for operators.
type StatusQuery struct{ Query CallID }

// VMList is what the platform's VM list shows.
type VMList struct {
	Nodes     []NodeInfo
	Upstreams []Upstream
}

// PlatformFailed says that reading the VM list failed.
type PlatformFailed struct{ Reason string }

// LogAppended confirms an AppendLog command. First is the offset of its first
// record; the others follow without gaps.
type LogAppended struct {
	Ticket Ticket
	First  Offset
}

// LogAppendFailed says that an append got no confirmation. Unless NotAppended
// is set, the records may be in the log all the same.
type LogAppendFailed struct {
	Ticket      Ticket
	NotAppended bool
	Reason      string
}

// LogRead is the answer to a ReadLog command.
type LogRead struct {
	Stream  StreamID
	After   Offset
	Records []LogRecord
	// First is the lowest offset that the log still keeps, End the highest
	// that it has given out.
	First Offset
	End   Offset
	// Now is the log's clock, in Unix nanoseconds.
	Now int64
	// Retention is how long the log keeps records.
	Retention time.Duration
}

// LogReadFailed says that a ReadLog command failed.
type LogReadFailed struct {
	Stream StreamID
	Reason string
}

// Peer carries a message from another node.
type Peer struct {
	From        NodeID
	Incarnation Incarnation
	Body        PeerBody
}

// EngineState is what an engine says about itself.
type EngineState int

// The states of an engine.
const (
	// Serving engines take new work.
	Serving EngineState = iota
	// Draining engines finish what they hold and take nothing new.
	Draining
)

// Held is one allocation on an engine's own list.
type Held struct {
	Allocation Allocation
	Tokens     Tokens
	// Emitted is how many output tokens a decode stream has produced.
	Emitted Tokens
	// Finished is set once the stream has produced its last token.
	Finished bool
}

// CacheEvent says that an engine's prefix cache gained or lost a block.
type CacheEvent struct {
	Block   BlockHash
	Evicted bool
}

// EngineReport is an engine's report of itself. Load figures in it are late
// by the engine's own lag; the list of allocations is exact.
type EngineReport struct {
	Engine EngineID
	State  EngineState
	Role   Role
	Model  ModelID
	// Pieces is the engine's memory in pieces of PieceTokens tokens.
	Pieces     int
	FreePieces int
	// Queued is prefill work waiting, in uncached tokens.
	Queued Tokens
	// Running is the number of requests in the decode batch.
	Running int
	// Fencing is the highest fencing number that the engine has seen.
	Fencing Offset
	Held    []Held
	Events  []CacheEvent
	// EventsFrom and EventsThrough number the events; a gap before
	// EventsFrom means that some were lost.
	EventsFrom    uint64
	EventsThrough uint64
}

// EngineUnreachable says that a poll of an engine failed.
type EngineUnreachable struct {
	Engine EngineID
	Reason string
}

// PrefillDone says that a prefill finished and its KV cache can be exported.
type PrefillDone struct {
	Engine     EngineID
	Allocation Allocation
	// Cached is how many prompt tokens came from the prefix cache.
	Cached Tokens
}

// ImportDone says that a decode engine holds the KV cache.
type ImportDone struct {
	Engine     EngineID
	Allocation Allocation
}

// FirstToken says that the first token of an answer reached the entry.
type FirstToken struct {
	Allocation Allocation
}

// StreamEnded says that the caller was sent the whole answer. Tokens is its
// length.
type StreamEnded struct {
	Allocation Allocation
	Tokens     Tokens
}

// EngineStep is a step of serving a request at an engine.
type EngineStep int

// The steps at engines.
const (
	// PrefillStep computes the KV cache.
	PrefillStep EngineStep = iota
	// ImportStep moves the KV cache to the decode engine.
	ImportStep
	// DecodeStep generates tokens.
	DecodeStep
)

// EngineFailed says that a step at an engine failed.
type EngineFailed struct {
	Engine     EngineID
	Allocation Allocation
	Step       EngineStep
	// Full is set when the engine refused for lack of memory.
	Full bool
	// Draining is set when the engine refused because it takes no new work.
	Draining bool
	// Superseded is set when the engine holds a higher attempt of the request.
	Superseded bool
	// Emitted is how many tokens of the answer the caller has been sent, for
	// DecodeStep.
	Emitted Tokens
	Reason  string
}

// ReleaseDone says that an engine no longer holds an allocation.
type ReleaseDone struct {
	Engine     EngineID
	Allocation Allocation
}

// ReleaseFailed says that a release got no acknowledgement.
type ReleaseFailed struct {
	Engine     EngineID
	Allocation Allocation
	Reason     string
}

// OrderKind is what an exclusive order changes.
type OrderKind int

// The kinds of exclusive order.
const (
	// SetRole changes an engine's role.
	SetRole OrderKind = iota
	// LoadModel loads a model or a version of it.
	LoadModel
	// LoadAdapter loads an adapter.
	LoadAdapter
)

// Order is an exclusive order to one engine.
type Order struct {
	Engine  EngineID
	Kind    OrderKind
	Role    Role
	Model   ModelID
	Adapter string
	// Fencing is the offset of the holder's claim.
	Fencing Offset
}

// OrderWanted asks the node to give an exclusive order, for example because a
// published pool changed its model.
type OrderWanted struct{ Order Order }

// OrderDone says that an engine carried out an order.
type OrderDone struct{ Order Order }

// OrderFailed says that an order got no confirmation. Refused is set when the
// engine refused its fencing number.
type OrderFailed struct {
	Order   Order
	Refused bool
	Reason  string
}

// ServiceAnswered is a plain service's answer.
type ServiceAnswered struct {
	Ticket Ticket
	Engine EngineID
	Status int
	Body   []byte
}

// ServiceFailed says that a call to a plain service got no answer. NotRun is
// set only when the service provably did not receive the call.
type ServiceFailed struct {
	Ticket Ticket
	Engine EngineID
	NotRun bool
	Reason string
}

// Shutdown asks the node to leave: it takes no new work and finishes what it
// has.
type Shutdown struct{}

func (Tick) isMessage()              {}
func (CallerRequest) isMessage()     {}
func (CallerGone) isMessage()        {}
func (CallerCall) isMessage()        {}
func (AddressQuery) isMessage()      {}
func (StatusQuery) isMessage()       {}
func (VMList) isMessage()            {}
func (PlatformFailed) isMessage()    {}
func (LogAppended) isMessage()       {}
func (LogAppendFailed) isMessage()   {}
func (LogRead) isMessage()           {}
func (LogReadFailed) isMessage()     {}
func (Peer) isMessage()              {}
func (EngineReport) isMessage()      {}
func (EngineUnreachable) isMessage() {}
func (PrefillDone) isMessage()       {}
func (ImportDone) isMessage()        {}
func (FirstToken) isMessage()        {}
func (StreamEnded) isMessage()       {}
func (EngineFailed) isMessage()      {}
func (ReleaseDone) isMessage()       {}
func (ReleaseFailed) isMessage()     {}
func (OrderWanted) isMessage()       {}
func (OrderDone) isMessage()         {}
func (OrderFailed) isMessage()       {}
func (ServiceAnswered) isMessage()   {}
func (ServiceFailed) isMessage()     {}
func (Shutdown) isMessage()          {}
