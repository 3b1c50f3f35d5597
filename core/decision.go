package core

import "time"

// Candidate is one engine that a placement considered.
type Candidate struct {
	Engine EngineID
	// Predicted is the predicted time to first token through this engine.
	Predicted time.Duration
	// Rejected is why the engine was not chosen; it is empty for the chosen one.
	Rejected string
}

// Decision is the record of one routing or placement decision. It contains no content of
// the caller.
type Decision struct {
	At       Instant
	Node     NodeID
	Request  RequestID
	Attempt  Attempt
	Profile  ProfileID
	Customer CustomerID
	// Rank is the rank of a forwarded request, whose tenant is its Customer.
	Rank int
	// Step names the decision, for example place, move, refuse, adopt and finish
	// for requests, call for calls, drain and returned for engines, and claim,
	// order, ordered and order-refused for exclusive orders.
	Step    string
	Prefill EngineID
	Decode  EngineID
	Reason  RejectionReason
	// Cause is why an owner rejects a request.
	Cause      TurnAwayCause
	Candidates []Candidate
	Predicted  time.Duration
	Actual     time.Duration
	RetryAfter time.Duration
	Waited     time.Duration
	Tokens     Tokens
	// Detail explains the decision further, for example by the error of a failed step or
	// the length of a queue.
	Detail string
	// Slack is how long the request could have waited after its arrival and still been
	// answered on time. It is negative for one that arrived too late.
	Slack time.Duration
	// Expected and Output are the estimated and the actual length of an answer,
	// where a stream has ended.
	Expected Tokens
	Output   Tokens
	// Version is the version of the desired state that the decision is based on.
	Version int64
}

// Promise is one of the eight invariants that must always hold.
type Promise int

// The invariants, in the order of docs/PROOFS.md.
const (
	// MemoryReleased holds when no engine memory stays allocated to a request that has
	// ended.
	MemoryReleased Promise = iota + 1
	// AnsweredOnce holds when no request is answered twice.
	AnsweredOnce
	// AnswerWhole holds when each caller gets the whole answer to its own
	// request.
	AnswerWhole
	// NotRunTrue holds when no call that was answered with NotRun has run.
	NotRunTrue
	// AtMostOnce holds when a call that may not be repeated runs at most once.
	AtMostOnce
	// WithdrawnIdle holds when withdrawn upstreams get no new requests.
	WithdrawnIdle
	// DrainGraceful holds when a graceful shutdown interrupts no request.
	DrainGraceful
	// ConfigurationMonotone holds when the configuration in force is never replaced by
	// an older one.
	ConfigurationMonotone
)

// Violation reports that an invariant was violated.
type Violation struct {
	Promise Promise
	Detail  string
}

// Error returns the invariant and the detail; it makes Violation an error.
func (v Violation) Error() string { return v.Promise.String() + ": " + v.Detail }
