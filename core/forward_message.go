package core

import "time"

// ForwardID identifies a caller's request at the node that received it.
type ForwardID uint64

// PromptKey is a hash that identifies a prompt by its parts.
type PromptKey uint64

// PromptPart identifies a part of a prompt that requests may share.
type PromptPart string

// RequestKey identifies a caller's request, with all its attempts at all nodes.
type RequestKey string

// LeaseID identifies a reservation of memory at an engine.
type LeaseID string

// HandleID identifies a prompt's KV cache at the engine that computed it.
type HandleID string

// Forward is an opaque request that goes unchanged to an upstream.
type Forward struct {
	ID ForwardID
	// Attempt is the caller's own id of this attempt.
	Attempt string
	// Key is the same for all attempts of a request; empty if unknown.
	Key  RequestKey
	Host string
	Path string
	// Patience is how long the caller still waits.
	Patience time.Duration
	// ResumableFor is how long the caller may resume its stream, if that is longer than Patience.
	ResumableFor time.Duration
	// Credential is the digest of the caller's key, if the request carries one.
	Credential Option[CredentialDigest]
	// BodyBytes is the size of the request's body.
	BodyBytes int64
	// Generation is present for requests to model engines.
	Generation Option[Generation]
	// Resumes is present if the caller already has part of the answer, a stream. It is the
	// caller's attempt that brought the first event; empty if the caller does not name it.
	Resumes Option[string]
}

// Generation is the caller's description of what a model engine is to generate.
type Generation struct {
	Prompt Tokens
	// MaxOutput is the upper bound of the output, and ExpectedOutput the
	// caller's estimate of it; either is zero if unknown.
	MaxOutput      Tokens
	ExpectedOutput Tokens
	// PromptKey identifies the prompt, so that a caller who retries with the
	// same prompt is recognised; zero if unknown.
	PromptKey PromptKey
	// Parts are the parts of the prompt that other requests may share, in order.
	Parts []PromptPart
}

// ForwardCallerDisconnected says that the connection of a request's caller is closed.
// ClosedHere is set if this node has closed it.
type ForwardCallerDisconnected struct {
	ID         ForwardID
	ClosedHere bool
}

// ForwardStep is a step of serving a forwarded request.
type ForwardStep int

// The steps of a forwarded request.
const (
	// LeaseStep reserves decode memory.
	LeaseStep ForwardStep = iota
	// ReadPromptStep has a prefill engine compute the prompt's KV cache.
	ReadPromptStep
	// RunStep runs the request.
	RunStep
)

// SendNumber numbers what a node sends to upstreams for one request: lease requests,
// prefills and runs. The first one is 1. A result carries the number of its send.
type SendNumber int

// NotRunProof is what proves that an upstream did not carry out a step.
type NotRunProof int

// The proofs that a step was not carried out.
const (
	// StatedNotRun means that the response says so.
	StatedNotRun NotRunProof = iota
	// OtherInstance means that another upstream has the address and said so.
	OtherInstance
	// NothingSent means that no byte of the request left this node.
	NothingSent
)

// LeaseGranted says that an engine reserved decode memory.
type LeaseGranted struct {
	ID     ForwardID
	Send   SendNumber
	Engine EngineID
	Lease  LeaseID
	// Born is that of the engine's incarnation, if it says so.
	Born Option[int64]
}

// PrefillFinished says that a prefill engine has computed the prompt's KV cache and
// holds it.
type PrefillFinished struct {
	ID     ForwardID
	Send   SendNumber
	Engine EngineID
	Handle HandleID
	Tokens Tokens
	// Born is that of the engine's incarnation, if it says so.
	Born Option[int64]
}

// StepRefused says that an upstream rejected a step and provably did not carry
// it out. Proof is what proves that. AddressReused is set if the address belongs to
// another upstream now.
type StepRefused struct {
	ID            ForwardID
	Send          SendNumber
	Engine        EngineID
	Step          ForwardStep
	Proof         NotRunProof
	AddressReused bool
}

// StepFailed says that a step got no usable answer; the upstream may have
// carried it out. Unsent is set if nothing of the request left this node.
// Status is the upstream's own failure status, or zero. Emitted is set if part
// of the answer has gone to the caller, and Unresumable if that part is no stream, so that
// no other run can go on from it.
type StepFailed struct {
	ID      ForwardID
	Send    SendNumber
	Engine  EngineID
	Step    ForwardStep
	Unsent  bool
	Status  int
	Emitted bool
	// Unresumable implies Emitted.
	Unresumable bool
	// BrokenOff says that the upstream's end of the connection was closed or reset before
	// the response was complete.
	BrokenOff bool
	// Relay is the node through which the connection went; empty for a direct one. PathFailed
	// says that the relay, or the connection to it, failed and not the upstream.
	Relay      NodeID
	PathFailed bool
	Reason     string
}

// ForwardResponseStarted says that the first bytes of a run's answer went to the caller.
// If the run was to take over the stream of another one, that one has been cancelled.
type ForwardResponseStarted struct {
	ID     ForwardID
	Send   SendNumber
	Engine EngineID
	// OpenFor is for how long the run's connection has been open.
	OpenFor time.Duration
}

// ForwardStalled says that a stream which has begun has had no event for the StallAfter of
// its run. The run goes on. It is repeated each time that StallAfter passes.
type ForwardStalled struct {
	ID     ForwardID
	Send   SendNumber
	Engine EngineID
}

// ForwardContinued says that the next event of a stalled run has gone to the caller. Any
// run that was to take the stream over has been cancelled.
type ForwardContinued struct {
	ID     ForwardID
	Send   SendNumber
	Engine EngineID
}

// ForwardResponseCompleted says that the whole answer went to the caller.
type ForwardResponseCompleted struct {
	ID     ForwardID
	Send   SendNumber
	Engine EngineID
	// Events is the number of events of a stream.
	Events int
}

// ForwardCommand is the sealed set of commands about forwarded requests.
type ForwardCommand interface {
	Command
	isForwardCommand()
}

// RequestLease asks an engine to reserve memory for a request.
type RequestLease struct {
	ID      ForwardID
	Send    SendNumber
	Engine  EngineID
	Address string
	Tokens  Tokens
	TTL     time.Duration
}

// ReleaseLease releases a lease. The request that took the lease may have ended
// already.
type ReleaseLease struct {
	Engine  EngineID
	Address string
	Lease   LeaseID
}

// RunPrefill asks a prefill engine to compute a prompt's KV cache.
type RunPrefill struct {
	ID      ForwardID
	Send    SendNumber
	Engine  EngineID
	Address string
	Timeout time.Duration
	// NewConnection asks for a connection that has carried no request before.
	NewConnection bool
	// Tenant is the tenant of the request; empty if there is none. HideKey says that the caller's key,
	// and the tenant that the caller itself names, must not reach the upstream.
	Tenant  TenantID
	HideKey bool
}

// ReleaseHandle frees a KV cache that no decode engine will fetch. The request
// that it was computed for may have ended already.
type ReleaseHandle struct {
	Engine  EngineID
	Address string
	Handle  HandleID
}

// RunForward sends the request to an upstream that runs it. It ends an earlier
// run of the same request, unless TakesOver is set.
type RunForward struct {
	ID      ForwardID
	Send    SendNumber
	Engine  EngineID
	Address string
	// Source is the address of the engine that computed the prompt's KV cache,
	// and Handle identifies the cache there; both are empty if there is none.
	Source string
	Handle HandleID
	Lease  LeaseID
	// Hold is the number of the held connection on which the run must be sent; if it is not
	// open any more, nothing is sent. Zero allows any connection.
	Hold HoldNumber
	// Patience is how long the caller still waits.
	Patience time.Duration
	// Once says that the request must run at most once.
	Once bool
	// Repeatable says that the request may run any number of times, so that its caller may get
	// an upstream's rejection that proves nothing.
	Repeatable bool
	// NewConnection asks for a connection that has carried no request before.
	NewConnection bool
	// StallAfter is the pause between events after which the run is reported as
	// stalled; zero if it need not be.
	StallAfter time.Duration
	// TakesOver says that an earlier run is silent and goes on until this one has its
	// first event. If the earlier run has an event first, this one ends, or is not begun.
	TakesOver bool
	// MaxOverlap is how long after its sending a run that takes over may be without its
	// first event; then it ends, and the earlier run stays. Zero sets no limit.
	MaxOverlap time.Duration
	// GoneOn is the number of ForwardResponseStarted and ForwardContinued of the request
	// that the core has handled. If the runtime has sent more, a run goes on of which the
	// core did not know yet, and a run that is to take over is not begun.
	GoneOn int
	// Tenant is the tenant of the request; empty if there is none. HideKey says that the caller's key,
	// and the tenant that the caller itself names, must not reach the upstream.
	Tenant  TenantID
	HideKey bool
}

// RelayFailure relays the upstream's own failure answer to the caller. The
// runtime kept the answer when it reported StepFailed with a Status.
type RelayFailure struct{ ID ForwardID }

// EndForward ends a request without a whole answer. If part of the answer has
// gone to the caller, the caller's connection is aborted.
type EndForward struct {
	ID     ForwardID
	Reason RejectionReason
	// NotRun says that no upstream has run the request or will run it.
	NotRun     bool
	RetryAfter time.Duration
}

func (Forward) isMessage()                   {}
func (ForwardCallerDisconnected) isMessage() {}
func (LeaseGranted) isMessage()              {}
func (PrefillFinished) isMessage()           {}
func (StepRefused) isMessage()               {}
func (StepFailed) isMessage()                {}
func (ForwardResponseStarted) isMessage()    {}
func (ForwardResponseCompleted) isMessage()  {}
func (ForwardStalled) isMessage()            {}
func (ForwardContinued) isMessage()          {}
func (DesiredState) isMessage()              {}

func (RequestLease) isCommand()  {}
func (ReleaseLease) isCommand()  {}
func (RunPrefill) isCommand()    {}
func (ReleaseHandle) isCommand() {}
func (RunForward) isCommand()    {}
func (RelayFailure) isCommand()  {}
func (EndForward) isCommand()    {}

func (RequestLease) isForwardCommand()  {}
func (ReleaseLease) isForwardCommand()  {}
func (RunPrefill) isForwardCommand()    {}
func (ReleaseHandle) isForwardCommand() {}
func (RunForward) isForwardCommand()    {}
func (RelayFailure) isForwardCommand()  {}
func (EndForward) isForwardCommand()    {}
