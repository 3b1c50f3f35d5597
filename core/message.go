package core

import "time"

// Message is the sealed set of events that a runtime passes to [Node.Update].
type Message interface{ isMessage() }

// Tick notifies the node that time has passed. The runtime sends it at the instant
// that [Node.NextTick] returns.
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
	// MaxTokens bounds the output; zero means the profile's bound.
	MaxTokens Tokens
	// Resumed is set if the caller has already received ResumeAfter tokens of this
	// request's answer.
	Resumed     bool
	ResumeAfter Tokens
}

// CallerDisconnected reports that the caller of a request cancelled it or disconnected.
type CallerDisconnected struct{ Request RequestID }

// ServiceCall is a call to a plain service.
type ServiceCall struct {
	Call     CallID
	Profile  ProfileID
	Customer CustomerID
	// Key is required unless the profile is repeatable.
	Key IdempotencyKey
	// KeyMinted is the log's time at which the caller received the epoch that it sends
	// with the key, in Unix nanoseconds; zero if it sent none.
	KeyMinted int64
	// First is set if the caller states that it has never sent the key before. Without
	// it only the key's writer may answer NotRun, because an earlier call with the key
	// may have run.
	First bool
	Body  []byte
}

// AddressQuery asks which nodes a caller should use.
type AddressQuery struct {
	Query  CallID
	Domain DomainID
}

// StatusQuery asks for the node's status, for operators.
type StatusQuery struct{ Query CallID }

// VMList is the content of the platform's VM list.
type VMList struct {
	Nodes     []NodeInfo
	Upstreams []Upstream
}

// VMListReadFailed reports that reading the VM list failed.
type VMListReadFailed struct{ Reason string }

// LogAppended confirms an AppendLog command. First is the offset of its first
// record; the others follow without gaps.
type LogAppended struct {
	Ticket Ticket
	First  Offset
}

// LogAppendFailed reports that an append was not confirmed. Unless NotAppended is set,
// the records may still be in the log.
type LogAppendFailed struct {
	Ticket      Ticket
	NotAppended bool
	Reason      string
}

// LogRead answers a ReadLog command.
type LogRead struct {
	Stream  StreamID
	After   Offset
	Records []LogRecord
	// First is the lowest offset that the log still keeps, and End the highest that it
	// has assigned.
	First Offset
	End   Offset
	// Now is the log's clock, in Unix nanoseconds.
	Now int64
	// Retention is how long the log keeps records.
	Retention time.Duration
}

// LogReadFailed reports that a ReadLog command failed.
type LogReadFailed struct {
	Stream StreamID
	Reason string
}

// PeerMessage carries a message from another node.
type PeerMessage struct {
	From        NodeID
	Incarnation Incarnation
	// Protocol is the version of the protocol that the sender knows.
	Protocol ProtocolVersion
	Body     PeerBody
}

// EngineState is the state that an engine reports.
type EngineState int

// The states of an engine.
const (
	// Serving engines accept new requests.
	Serving EngineState = iota
	// Draining engines finish their requests and accept no new ones.
	Draining
)

// Held is one allocation in an engine's report.
type Held struct {
	Allocation Allocation
	Tokens     Tokens
	// Emitted is how many output tokens a decode stream has produced.
	Emitted Tokens
	// Finished is set once the stream has produced its last token.
	Finished bool
}

// CacheEvent reports that an engine's prefix cache gained or evicted a block.
type CacheEvent struct {
	Block   BlockHash
	Evicted bool
}

// EngineReport is an engine's report of its state. Its load figures lag behind by a
// delay of the engine's own; the list of allocations is exact.
type EngineReport struct {
	Engine EngineID
	State  EngineState
	Role   Role
	Model  ModelID
	// Pieces is the engine's memory in pieces of PieceTokens tokens.
	Pieces     int
	FreePieces int
	// Queued is the waiting prefill work, in uncached tokens.
	Queued Tokens
	// Running is the number of requests in the decode batch.
	Running int
	// Fencing is the highest fencing token that the engine has seen.
	Fencing Offset
	Held    []Held
	Events  []CacheEvent
	// EventsFrom and EventsThrough are the numbers of the first and the last event. A
	// gap before EventsFrom means that some were lost.
	EventsFrom    uint64
	EventsThrough uint64
}

// EngineUnreachable reports that a poll of an engine failed.
type EngineUnreachable struct {
	Engine EngineID
	Reason string
}

// PrefillDone reports that a prefill finished and its KV cache can be exported.
type PrefillDone struct {
	Engine     EngineID
	Allocation Allocation
	// Cached is how many prompt tokens came from the prefix cache.
	Cached Tokens
}

// ImportDone reports that a decode engine has imported the KV cache.
type ImportDone struct {
	Engine     EngineID
	Allocation Allocation
}

// FirstToken reports that the first token of an answer reached the entry node.
type FirstToken struct {
	Allocation Allocation
}

// StreamEnded reports that the whole answer was sent to the caller. Tokens is its
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
	// ImportStep transfers the KV cache to the decode engine.
	ImportStep
	// DecodeStep generates tokens.
	DecodeStep
)

// EngineFailed reports that a step at an engine failed.
type EngineFailed struct {
	Engine     EngineID
	Allocation Allocation
	Step       EngineStep
	// Full is set when the engine rejected the step for lack of memory.
	Full bool
	// Draining is set when the engine rejected the step because it accepts no new
	// requests.
	Draining bool
	// Superseded is set when the engine already holds a higher attempt of the request.
	Superseded bool
	// Emitted is how many tokens of the answer have been sent to the caller, for
	// DecodeStep.
	Emitted Tokens
	Reason  string
}

// ReleaseDone reports that an engine no longer holds an allocation.
type ReleaseDone struct {
	Engine     EngineID
	Allocation Allocation
}

// ReleaseFailed reports that a release was not acknowledged.
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
	// Fencing is the fencing token: the offset of the holder's claim.
	Fencing Offset
}

// OrderRequested asks the node to send an exclusive order, for example because a
// published pool changed its model.
type OrderRequested struct{ Order Order }

// OrderDone reports that an engine carried out an order.
type OrderDone struct{ Order Order }

// OrderFailed reports that an order was not confirmed. StaleFencing is set when the
// engine rejected its fencing token.
type OrderFailed struct {
	Order        Order
	StaleFencing bool
	Reason       string
}

// ServiceAnswered is a plain service's answer.
type ServiceAnswered struct {
	Ticket Ticket
	Engine EngineID
	Status int
	Body   []byte
}

// ServiceFailed reports that a call to a plain service got no answer. NotRun is set
// only when the service provably did not receive the call.
type ServiceFailed struct {
	Ticket Ticket
	Engine EngineID
	NotRun bool
	Reason string
}

// Shutdown asks the node to leave: it accepts no new requests and finishes those that
// it has.
type Shutdown struct{}

func (Tick) isMessage()               {}
func (CallerRequest) isMessage()      {}
func (CallerDisconnected) isMessage() {}
func (ServiceCall) isMessage()        {}
func (AddressQuery) isMessage()       {}
func (StatusQuery) isMessage()        {}
func (VMList) isMessage()             {}
func (VMListReadFailed) isMessage()   {}
func (LogAppended) isMessage()        {}
func (LogAppendFailed) isMessage()    {}
func (LogRead) isMessage()            {}
func (LogReadFailed) isMessage()      {}
func (PeerMessage) isMessage()        {}
func (EngineReport) isMessage()       {}
func (EngineUnreachable) isMessage()  {}
func (PrefillDone) isMessage()        {}
func (ImportDone) isMessage()         {}
func (FirstToken) isMessage()         {}
func (StreamEnded) isMessage()        {}
func (EngineFailed) isMessage()       {}
func (ReleaseDone) isMessage()        {}
func (ReleaseFailed) isMessage()      {}
func (OrderRequested) isMessage()     {}
func (OrderDone) isMessage()          {}
func (OrderFailed) isMessage()        {}
func (ServiceAnswered) isMessage()    {}
func (ServiceFailed) isMessage()      {}
func (Shutdown) isMessage()           {}
