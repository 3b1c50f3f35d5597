package peer

import (
	"fmt"

	"daisyshed.dev/core"
)

// RelayError reports that a connection to an upstream could not be opened through a node.
// Outcome is RelayRejected, RelayDeclined, RelayFailed or RelayUnanswered.
type RelayError struct {
	Relay   core.NodeID
	Outcome core.ConnectOutcome
	// Rejection is the node's reason if Outcome is RelayRejected or RelayDeclined.
	Rejection core.RelayRejection
	// Cause is nil if the node answered.
	Cause error
}

// Error returns the message with the node, and the reason or the cause.
func (e *RelayError) Error() string {
	switch {
	case e.Cause != nil:
		return fmt.Sprintf("peer: %s through %s: %s", e.Outcome, e.Relay, e.Cause)
	case e.Outcome == core.RelayRejected || e.Outcome == core.RelayDeclined:
		return fmt.Sprintf("peer: %s by %s: %s", e.Outcome, e.Relay, e.Rejection)
	default:
		return fmt.Sprintf("peer: %s at %s", e.Outcome, e.Relay)
	}
}

// Unwrap returns the cause.
func (e *RelayError) Unwrap() error { return e.Cause }

// PathError reports that a relayed connection ended because the relay or the connection to
// it failed. It says nothing of the upstream.
type PathError struct {
	Relay core.NodeID
	Cause error
}

// Error returns the message with the relay and the cause.
func (e *PathError) Error() string {
	return fmt.Sprintf("peer: relay %s failed: %s", e.Relay, e.Cause)
}

// Unwrap returns the cause.
func (e *PathError) Unwrap() error { return e.Cause }

// TooManyRelayedError reports that this node has as many open relayed connections as it may.
type TooManyRelayedError struct{ Limit int }

// Error returns the message with the limit.
func (e *TooManyRelayedError) Error() string {
	return fmt.Sprintf("peer: the limit of %d relayed connections is reached", e.Limit)
}
