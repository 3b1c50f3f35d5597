package core

import "time"

// DispatchGroup is a part of a service's engines for which one node places
// requests.
type DispatchGroup struct {
	Service ServiceID
	Index   int
}

// PlaceForward asks the owner of a group to place a request. Times are sent as
// the durations that remain, because nodes do not compare clocks.
type PlaceForward struct {
	ID     ForwardID
	Group  DispatchGroup
	Prompt Tokens
	// Expected is the caller's estimate of the output, and MaxOutput its upper
	// bound.
	Expected  Tokens
	MaxOutput Tokens
	Rank      int
	// OnTime is how long the request may wait and still be on time; negative if
	// it is late already. Patience is how long its caller waits in all.
	OnTime    time.Duration
	Patience  time.Duration
	Objective time.Duration
	// MaxPause is the longest pause between two events of an answer that is on time; zero
	// if unknown.
	MaxPause time.Duration
	// Waited is the time since the request arrived. It lets a request whose
	// lease was denied keep its position in the queue.
	Waited time.Duration
	// PromptKey identifies the prompt, so that a caller who retries is
	// recognised.
	PromptKey PromptKey
	// Attempt is the caller's id of its attempt, for the owner's log.
	Attempt string
	// Again says that the request has been sent to an engine before. It is then
	// no longer rejected for lack of time.
	Again bool
	Avoid []EngineID
	// Version is the software version that the upstream must have; None for any.
	Version Option[SoftwareVersion]
	// Tenant is the tenant of the request; empty if there is none. Usage is what the request counts
	// towards the tenant's usage cap, and Charged says that it has been counted already.
	Tenant  TenantID
	Usage   Tokens
	Charged bool
	// BodyBytes is the size of the request's body.
	BodyBytes int64
}

// ForwardQueued notifies an entry that its request is queued at the owner.
type ForwardQueued struct{ ID ForwardID }

// ForwardPlaced is an owner's choice of engines. Prefill may be empty; if
// PrefillAtDecode is set, the decode engine prefills the prompt itself. Memory is the
// amount to lease at the decode engine.
type ForwardPlaced struct {
	ID              ForwardID
	Decode          EngineID
	Prefill         EngineID
	PrefillAtDecode bool
	Memory          Tokens
}

// ForwardTurnedAway notifies an entry that the owner rejects its request, which
// cannot expect to be served in time. RetryAfter is when its caller should retry; zero
// leaves that to the entry.
type ForwardTurnedAway struct {
	ID         ForwardID
	RetryAfter time.Duration
	// OverCap says that the request exceeds the usage cap of its tenant.
	OverCap bool
}

// ForwardDenied notifies an owner that an engine denied the lease, or gave no usable
// answer if Failed is set.
type ForwardDenied struct {
	ID     ForwardID
	Engine EngineID
	Failed bool
}

// ForwardPromptRead notifies an owner that a prefill engine has finished a prompt, or
// that it rejected it or gave no usable answer if Failed is set.
type ForwardPromptRead struct {
	ID     ForwardID
	Failed bool
}

// RunOutcome is the outcome of a request's run, as far as it shows the health
// of the upstream.
type RunOutcome int

// The outcomes of runs.
const (
	// RunUnknown shows nothing: the request did not get as far as an answer, or
	// its caller left.
	RunUnknown RunOutcome = iota
	// RunSucceeded means that the upstream answered.
	RunSucceeded
	// RunErred means that the upstream answered with an error of its own.
	RunErred
	// RunFailed means that the upstream gave no usable answer.
	RunFailed
)

// ForwardReleased notifies an owner that a request holds nothing any more.
type ForwardReleased struct {
	ID      ForwardID
	Outcome RunOutcome
	// Output is the length of a whole answer of a model engine, else zero.
	Output Tokens
	// NotRun says that no upstream has run or may still run the request.
	NotRun bool
}

// ForwardHeld notifies a new owner of what a request holds at an engine.
type ForwardHeld struct {
	ID     ForwardID
	Group  DispatchGroup
	Decode EngineID
	Memory Tokens
}

func (PlaceForward) isPeerBody() {}

func (ForwardQueued) isPeerBody() {}

func (ForwardPlaced) isPeerBody() {}

func (ForwardTurnedAway) isPeerBody() {}

func (ForwardDenied) isPeerBody() {}

func (ForwardPromptRead) isPeerBody() {}

func (ForwardReleased) isPeerBody() {}

func (ForwardHeld) isPeerBody() {}
