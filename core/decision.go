package core

import "time"

// Candidate is one engine that a placement considered.
type Candidate struct {
	Engine EngineID
	// Predicted is the predicted time to first token through this engine.
	Predicted time.Duration
	// Rejected says why the engine was passed over; empty for the choice.
	Rejected string
}

// Decision is the record of one routing or placement decision. It holds no
// caller content.
type Decision struct {
	At       Instant
	Node     NodeID
	Request  RequestID
	Attempt  Attempt
	Profile  ProfileID
	Customer CustomerID
	// Step names the decision: place, move, refuse, adopt and finish for
	// requests, call for calls, drain and returned for engines, and claim,
	// order, ordered and order-refused for exclusive orders.
	Step       string
	Prefill    EngineID
	Decode     EngineID
	Reason     RefusalReason
	Candidates []Candidate
	Predicted  time.Duration
	Actual     time.Duration
	RetryAfter time.Duration
	Waited     time.Duration
	Tokens     Tokens
	// Detail holds what else decided: the fault of a step, or a queue's length.
	Detail string
	// Slack is how long the request could wait, when it came, and still be on
	// time; it is negative for one that came late.
	Slack time.Duration
	// Expected and Output are the estimated and the actual length of an answer,
	// where a stream has ended.
	Expected Tokens
	Output   Tokens
	// Version is that of the desired state which the decision rests on.
	Version int64
}

// Promise is one of the eight properties that must always hold.
type Promise int

// The promises, in the order of docs/PROOFS.md.
const (
	// MemoryReleased holds when no engine memory stays held by a request
	// that has ended.
	MemoryReleased Promise = iota + 1
	// AnsweredOnce holds when no request is answered twice.
	AnsweredOnce
	// AnswerWhole holds when each caller gets the whole answer to its own
	// request.
	AnswerWhole
	// NotRunTrue holds when what was called NotRun did not run.
	NotRunTrue
	// AtMostOnce holds when a call that may not be repeated runs at most once.
	AtMostOnce
	// WithdrawnIdle holds when withdrawn upstreams get no new work.
	WithdrawnIdle
	// DrainGraceful holds when a graceful shutdown cuts off no request.
	DrainGraceful
	// ConfigurationMonotone holds when configuration in force never reverts.
	ConfigurationMonotone
)

// Violation says that an invariant does not hold.
type Violation struct {
	Promise Promise
	Detail  string
}

// Error makes a Violation usable as an error.
func (v Violation) Error() string { return v.Promise.String() + ": " + v.Detail }
