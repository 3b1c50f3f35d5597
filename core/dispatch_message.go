package core

import "time"

// DispatchGroup is a part of a service's engines that one node places for.
type DispatchGroup struct {
	Service ServiceID
	Index   int
}

// PlaceForward asks the owner of a group to place a request. Times are given as
// what is left of them, since nodes do not compare clocks.
type PlaceForward struct {
	ID     ForwardID
	Group  DispatchGroup
	Prompt Tokens
	// Expected is the caller's estimate of the output and MaxOutput its bound.
	Expected  Tokens
	MaxOutput Tokens
	Rank      int
	// OnTime is how long the request may wait and still be on time; negative
	// if it is late already. Patience is how long its caller waits at all.
	OnTime    time.Duration
	Patience  time.Duration
	Objective time.Duration
	// Waited is the time since the request came. One that an engine denied a
	// lease keeps its place in the queue.
	Waited time.Duration
	// Prompted identifies the prompt, to know a caller who comes back.
	Prompted PromptKey
	// Attempt is the caller's id of its attempt, for the owner's log.
	Attempt string
	// Again says that the request has been sent to an engine before, so that
	// it is not refused any more for want of time.
	Again bool
	Avoid []EngineID
}

// ForwardQueued tells an entry that its request waits at the owner.
type ForwardQueued struct{ ID ForwardID }

// ForwardPlaced is an owner's choice of engines. Prefill may be empty. Memory is
// what is to be leased at the decode engine.
type ForwardPlaced struct {
	ID      ForwardID
	Decode  EngineID
	Prefill EngineID
	Memory  Tokens
}

// ForwardTurnedAway is an owner's refusal: the request would wait in vain.
type ForwardTurnedAway struct{ ID ForwardID }

// ForwardDenied tells an owner that an engine denied the lease.
type ForwardDenied struct {
	ID     ForwardID
	Engine EngineID
}

// ForwardPromptRead tells an owner that a prompt has been read.
type ForwardPromptRead struct{ ID ForwardID }

// RunOutcome says how a request's run went, as far as it tells of the upstream.
type RunOutcome int

// The outcomes of runs.
const (
	// RunUnknown tells nothing: the request did not get as far as that, or its
	// caller left.
	RunUnknown RunOutcome = iota
	// RunSucceeded means that the upstream answered.
	RunSucceeded
	// RunErred means that it answered with a failure of its own.
	RunErred
	// RunFailed means that it gave no usable answer.
	RunFailed
)

// ForwardReleased tells an owner that a request holds nothing any more.
type ForwardReleased struct {
	ID      ForwardID
	Outcome RunOutcome
	// Output is the length of a whole answer of a model engine, else zero.
	Output Tokens
}

// ForwardHeld tells a new owner what a request holds at an engine.
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
