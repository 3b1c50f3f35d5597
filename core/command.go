package core

import "time"

// Command is the sealed set of actions that [Node.Update] asks its runtime to
// carry out. Results come back as messages.
type Command interface{ isCommand() }

// Ticket ties the result of a command to the command. Tickets are unique
// within one process start.
type Ticket uint64

// Outcome says what is known about whether a call ran.
type Outcome int

// The outcomes of a call.
const (
	// Ran means that the call ran and this is its answer.
	Ran Outcome = iota
	// NotRun means that the call provably did not run and will not.
	NotRun
	// Unknown means that the call may have run or may still run.
	Unknown
)

// RefusalReason says why a request was refused or given up.
type RefusalReason int

// The reasons for a refusal.
const (
	// NoReason stands for a request that was not refused.
	NoReason RefusalReason = iota
	// UnknownProfile names no profile in force.
	UnknownProfile
	// NoCapacity means that the request could not meet its targets now.
	NoCapacity
	// OverShare means that the customer has used up its share.
	OverShare
	// NoUpstream means that no engine may serve the profile.
	NoUpstream
	// Leaving means that the node is shutting down.
	Leaving
	// StaleConfiguration means that the node has not heard the configuration
	// for too long.
	StaleConfiguration
	// KeyMissing means that a call that may not be repeated had no key.
	KeyMissing
	// KeyExpired means that the key is older than the log's records.
	KeyExpired
	// KeyReused means that the key was used with another body.
	KeyReused
	// LogUnavailable means that the platform's log could not be reached.
	LogUnavailable
	// UpstreamFailed means that engines failed and no time is left.
	UpstreamFailed
	// NothingToResume means that the request to resume is not held anywhere.
	NothingToResume
	// InProgress means that the same request or key is being served.
	InProgress
	// TooLong means that the prompt fits no engine.
	TooLong
	// OwnerUnreachable means that no owner of the engines answered in time.
	OwnerUnreachable
	// AlreadyAnswered means that the request has had its whole answer. A
	// caller that lost the answer asks again with the offset it has reached.
	AlreadyAnswered
	// NoRoute means that no route of the desired state fits the request.
	NoRoute
	// DeadlinePassed means that the request's time was over.
	DeadlinePassed
)

// SendPeer sends a message to another node. Delivery is not assured.
type SendPeer struct {
	To   NodeID
	Body PeerBody
}

// RefuseCaller ends a caller's request for good.
type RefuseCaller struct {
	Request RequestID
	Reason  RefusalReason
	Outcome Outcome
	// RetryAfter is when the caller may come back.
	RetryAfter time.Duration
	// Emitted says how many tokens the caller had been sent before.
	Emitted Tokens
}

// AnswerCall ends a plain call.
type AnswerCall struct {
	Call       CallID
	Outcome    Outcome
	Reason     RefusalReason
	Status     int
	Body       []byte
	RetryAfter time.Duration
}

// AnswerAddresses answers an AddressQuery.
type AnswerAddresses struct {
	Query     CallID
	Addresses []NodeAddress
	// Lifetime is how long the caller may keep the answer.
	Lifetime time.Duration
	// Epoch is the log's time under which keys may be minted, in Unix
	// nanoseconds; zero if unknown.
	Epoch int64
}

// NodeAddress is one address of an AnswerAddresses. Weight is the share of
// new requests that the caller should send there.
type NodeAddress struct {
	Node    NodeID
	Domain  DomainID
	Address string
	Weight  float64
}

// AnswerStatus answers a StatusQuery.
type AnswerStatus struct {
	Query  CallID
	Status Status
}

// StartPrefill asks a prefill engine to compute a prompt's KV cache. For a
// request that goes on after Emitted tokens, the emitted tokens belong to the
// prompt; a runtime that has sent the caller more than that takes its own
// count.
type StartPrefill struct {
	Engine     EngineID
	Allocation Allocation
	Prompt     Prompt
	Emitted    Tokens
	Priority   int
	Model      ModelID
}

// StartImport asks a decode engine to fetch the KV cache from another engine.
type StartImport struct {
	Engine     EngineID
	From       EngineID
	Allocation Allocation
	// Tokens is the memory to hold: prompt and expected output.
	Tokens Tokens
}

// StartDecode opens the stream of an answer and sends it on to the caller,
// from the token after what was sent on the caller's present connection; the
// runtime's own count goes before Emitted, which may stem from an earlier
// connection. It ends an earlier stream of the same request.
type StartDecode struct {
	Engine     EngineID
	Allocation Allocation
	Emitted    Tokens
	MaxTokens  Tokens
	Priority   int
}

// ReleaseMemory frees an allocation on an engine. It is idempotent.
type ReleaseMemory struct {
	Engine     EngineID
	Allocation Allocation
}

// PollEngine asks for an EngineReport with the cache events after EventsAfter.
type PollEngine struct {
	Engine      EngineID
	EventsAfter uint64
}

// SendOrder gives an exclusive order to an engine.
type SendOrder struct{ Order Order }

// CallService sends a call to a plain service, once.
type CallService struct {
	Ticket  Ticket
	Engine  EngineID
	Body    []byte
	Key     IdempotencyKey
	Timeout time.Duration
}

// AppendLog appends records to a stream, in order and without others between
// them.
type AppendLog struct {
	Ticket  Ticket
	Stream  StreamID
	Records []Record
}

// ReadLog reads records after an offset.
type ReadLog struct {
	Stream StreamID
	After  Offset
}

// ReadVMList asks for the platform's VM list.
type ReadVMList struct{}

// LogDecision records one routing or placement decision.
type LogDecision struct{ Decision Decision }

// LogViolation records that an invariant does not hold.
type LogViolation struct{ Violation Violation }

// StopNode says that a node that was shut down has finished all it had.
type StopNode struct{}

func (SendPeer) isCommand()        {}
func (RefuseCaller) isCommand()    {}
func (AnswerCall) isCommand()      {}
func (AnswerAddresses) isCommand() {}
func (AnswerStatus) isCommand()    {}
func (StartPrefill) isCommand()    {}
func (StartImport) isCommand()     {}
func (StartDecode) isCommand()     {}
func (ReleaseMemory) isCommand()   {}
func (PollEngine) isCommand()      {}
func (SendOrder) isCommand()       {}
func (CallService) isCommand()     {}
func (AppendLog) isCommand()       {}
func (ReadLog) isCommand()         {}
func (ReadVMList) isCommand()      {}
func (LogDecision) isCommand()     {}
func (LogViolation) isCommand()    {}
func (StopNode) isCommand()        {}
