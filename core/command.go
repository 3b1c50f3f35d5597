package core

import "time"

// Command is the sealed set of actions that [Node.Update] asks its runtime to carry
// out. Their results are passed to Update as messages.
type Command interface{ isCommand() }

// Ticket correlates the result of a command with the command. Tickets are unique
// within one process.
type Ticket uint64

// Outcome is what is known about whether a call ran.
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

// RejectionReason is why a request was rejected or abandoned.
type RejectionReason int

// The reasons for a rejection.
const (
	// NoReason is the reason of a request that was not rejected.
	NoReason RejectionReason = iota
	// UnknownProfile means that no profile in force has the requested name.
	UnknownProfile
	// NoCapacity means that the request could not meet its targets at present.
	NoCapacity
	// OverShare means that the customer has used up its share.
	OverShare
	// NoUpstream means that no engine may serve the profile.
	NoUpstream
	// Leaving means that the node is shutting down.
	Leaving
	// StaleConfiguration means that the node has not been able to confirm for too
	// long that its configuration is current.
	StaleConfiguration
	// KeyMissing means that a call that may not be repeated had no idempotency key.
	KeyMissing
	// KeyExpired means that the key is older than the records that the log keeps.
	KeyExpired
	// KeyReused means that the key was used before with another body.
	KeyReused
	// LogUnavailable means that the platform's log could not be reached.
	LogUnavailable
	// UpstreamFailed means that engines failed and no time is left for a retry.
	UpstreamFailed
	// NothingToResume means that the request to resume was not found.
	NothingToResume
	// InProgress means that the same request or key is already being served.
	InProgress
	// TooLong means that the prompt does not fit any engine.
	TooLong
	// OwnerUnreachable means that the owner of the engines, or the writer of the
	// idempotency key, did not answer in time or could not accept the request.
	OwnerUnreachable
	// AlreadyAnswered means that the whole answer was sent. A caller that lost the
	// answer sends the request again with the offset that it has reached.
	AlreadyAnswered
	// NoRoute means that no route of the desired state matches the request.
	NoRoute
	// DeadlinePassed means that the request's deadline has passed.
	DeadlinePassed
	// CallerClosed means that the caller has closed its connection, or at least its
	// sending side.
	CallerClosed
	// CrashingPrompt means that a part of the prompt ends the engines that answer on it.
	CrashingPrompt
	// CrashingRequest means that the request ends the upstreams that run it.
	CrashingRequest
	// StreamVersionUnknown means that it is not known which version of the upstreams' software
	// began the stream that the caller resumes. It can only be sent again from its start.
	StreamVersionUnknown
	// StreamVersionGone means that no upstream of the version that began the stream is left. It
	// can only be sent again from its start.
	StreamVersionGone
	// MemoryFull means that the node has no memory for the body of the request.
	MemoryFull
	// UnknownKey means that the request needs the key of a tenant and has none.
	UnknownKey
)

// SendPeer sends a message to another node. Delivery is not guaranteed.
type SendPeer struct {
	To   NodeID
	Body PeerBody
}

// RejectRequest rejects a caller's request, or ends one whose answer has begun.
type RejectRequest struct {
	Request RequestID
	Reason  RejectionReason
	Outcome Outcome
	// RetryAfter is how long the caller should wait before it retries.
	RetryAfter time.Duration
	// Emitted is how many tokens had already been sent to the caller.
	Emitted Tokens
}

// AnswerCall ends a call to a plain service with its answer or with a rejection.
type AnswerCall struct {
	Call       CallID
	Outcome    Outcome
	Reason     RejectionReason
	Status     int
	Body       []byte
	RetryAfter time.Duration
}

// AnswerAddresses answers an AddressQuery.
type AnswerAddresses struct {
	Query     CallID
	Addresses []NodeAddress
	// Lifetime is how long the caller may cache the answer.
	Lifetime time.Duration
	// Epoch is the log's time, which callers send along with idempotency keys that
	// they create from now on, in Unix nanoseconds; zero if unknown.
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

// StartPrefill asks a prefill engine to compute a prompt's KV cache. For a request that
// continues after Emitted tokens, these tokens are part of the prompt; a runtime that
// has sent the caller more uses its own count.
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
	// Tokens is the memory to reserve: prompt and expected output.
	Tokens Tokens
}

// StartDecode opens the stream of an answer and sends it on to the caller, from the token
// after those already sent on the caller's present connection. The runtime's own count
// takes precedence over Emitted, which may come from an earlier connection. It ends an
// earlier stream of the same request.
type StartDecode struct {
	Engine     EngineID
	Allocation Allocation
	Emitted    Tokens
	MaxTokens  Tokens
	Priority   int
}

// ReleaseMemory releases an allocation on an engine. It is idempotent.
type ReleaseMemory struct {
	Engine     EngineID
	Allocation Allocation
}

// PollEngine asks for an EngineReport with the cache events after EventsAfter.
type PollEngine struct {
	Engine      EngineID
	EventsAfter uint64
}

// SendOrder sends an exclusive order to an engine. A hosted node must not send it after Expires,
// by the clock of the core: another node may give orders then. Zero sets no limit.
type SendOrder struct {
	Order   Order
	Expires Instant
}

// CallService sends a call to a plain service, once.
type CallService struct {
	Ticket  Ticket
	Engine  EngineID
	Body    []byte
	Key     IdempotencyKey
	Timeout time.Duration
}

// AppendLog appends records to a stream, in order and contiguously.
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

// ReadVMList reads the platform's VM list.
type ReadVMList struct{}

// LogDecision records one routing or placement decision.
type LogDecision struct{ Decision Decision }

// LogViolation records that an invariant was violated.
type LogViolation struct{ Violation Violation }

// StopNode reports that a node in shutdown has finished all its requests.
type StopNode struct{}

func (SendPeer) isCommand()        {}
func (RejectRequest) isCommand()   {}
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
