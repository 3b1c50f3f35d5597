package core

import "time"

// PeerBody is the sealed set of messages between nodes.
type PeerBody interface{ isPeerBody() }

// MemberStatus is what a node believes of another.
type MemberStatus int

// The statuses of members.
const (
	// Alive members answer heartbeats.
	Alive MemberStatus = iota
	// Suspect members missed a heartbeat and may refute.
	Suspect
	// Dead members missed heartbeats for too long.
	Dead
	// Left members said that they leave.
	Left
)

// MemberUpdate spreads what is believed of one member.
type MemberUpdate struct {
	Node        NodeInfo
	Incarnation Incarnation
	Status      MemberStatus
	// Sequence orders updates within one incarnation: a member raises it to
	// refute a suspicion.
	Sequence uint64
}

// Heartbeat asks a member whether it is alive.
type Heartbeat struct {
	Sequence uint64
	// OnBehalfOf is set when another node asked for this heartbeat.
	OnBehalfOf   NodeID
	Updates      []MemberUpdate
	ConfigOffset Offset
}

// HeartbeatAck answers a Heartbeat.
type HeartbeatAck struct {
	Sequence     uint64
	OnBehalfOf   NodeID
	Updates      []MemberUpdate
	ConfigOffset Offset
	// Spare is the share of the node's request capacity that is free.
	Spare float64
}

// HeartbeatRequest asks a node to send a heartbeat to Target.
type HeartbeatRequest struct {
	Target   NodeID
	Sequence uint64
}

// ConfigQuery asks a peer for configuration records after an offset.
type ConfigQuery struct{ After Offset }

// ConfigAnswer gives the records of ConfigStream after After, or a snapshot
// where the peer no longer has them. Through is the peer's offset.
type ConfigAnswer struct {
	After    Offset
	Snapshot Option[SnapshotTaken]
	Records  []LogRecord
	Through  Offset
}

// Place asks an owner to place a request.
type Place struct {
	Allocation Allocation
	// Group is the group of engines to choose from.
	Group     GroupID
	Profile   ProfileID
	Customer  CustomerID
	Prompt    Prompt
	MaxTokens Tokens
	// Emitted is how many tokens the caller already has.
	Emitted Tokens
	// Adopt says that the caller has come back for the rest of its answer, so
	// that a stream which an engine still holds should go on.
	Adopt bool
	// Retry says that this follows an earlier attempt of the same entry, not
	// a new connection of the caller.
	Retry bool
	// Waited is the time since the caller's request arrived.
	Waited time.Duration
	// Source is the decode engine that a running stream has to leave; the new
	// engine imports the KV cache from it.
	Source EngineID
	// Avoid names engines that just failed this request.
	Avoid []EngineID
}

// Placed is an owner's promise. Prefill is empty when the decode engine holds
// the KV cache already.
type Placed struct {
	Allocation Allocation
	Prefill    EngineID
	Decode     EngineID
	// Source is an engine to import the KV cache from, when a running stream
	// moves and no prefill is needed.
	Source EngineID
	// Memory is the number of tokens to hold at the decode engine.
	Memory Tokens
	// FirstToken is the predicted time until the first token.
	FirstToken time.Duration
}

// PlaceQueued tells an entry that the owner has its Place and will answer it
// within about Expected.
type PlaceQueued struct {
	Allocation Allocation
	Expected   time.Duration
}

// PlaceRefused is an owner's final refusal.
type PlaceRefused struct {
	Allocation Allocation
	Reason     RefusalReason
	RetryAfter time.Duration
}

// AttemptSuperseded tells a holder that the caller of its request has come
// back through another entry, which answers it from now on.
type AttemptSuperseded struct{ Allocation Allocation }

// EndReason says how an attempt ended.
type EndReason int

// The ways in which an attempt ends.
const (
	// Completed attempts sent the whole answer.
	Completed EndReason = iota
	// Cancelled attempts lost their caller.
	Cancelled
	// Failed attempts lost an engine.
	Failed
	// Expired attempts were given up before they began.
	Expired
)

// AttemptProgress tells an owner that an attempt has finished a step, so that
// its books and predictions follow what happened.
type AttemptProgress struct {
	Allocation Allocation
	// Done is the step that finished: PrefillStep or ImportStep.
	Done EngineStep
	// Cached is how many prompt tokens the prefill found in the cache.
	Cached Tokens
	// Took is the time from the start of the step to its end.
	Took time.Duration
}

// AttemptEnded tells an owner that an attempt is over and its memory has been
// or will be released by its holder.
type AttemptEnded struct {
	Allocation Allocation
	Reason     EndReason
	// Tokens is the length of the answer so far, and Decoded the time from its
	// first token to the last.
	Tokens  Tokens
	Decoded time.Duration
	// FailedEngine names the engine that failed the attempt, if one did.
	FailedEngine EngineID
}

// AttemptEndedAck acknowledges an AttemptEnded, which is repeated until then.
type AttemptEndedAck struct{ Allocation Allocation }

// HolderQuery asks a holder which of its allocations are still live.
type HolderQuery struct{ Allocations []Allocation }

// HolderAnswer names those of the asked allocations that are not live.
type HolderAnswer struct {
	Asked []Allocation
	Ended []Allocation
}

// MoveAway asks a holder to move a running stream off its decode engine.
type MoveAway struct {
	Allocation Allocation
	// By is the time left before the engine must be empty.
	By time.Duration
}

// KeyCall asks the owner of a key to run a once-only call.
type KeyCall struct {
	Call CallID
	// Writer is the start of the owner that the call is meant for. Another
	// start does not know whether it was refused before, and does not take it.
	Writer    Incarnation
	Profile   ProfileID
	Customer  CustomerID
	Key       IdempotencyKey
	KeyMinted int64
	Body      []byte
	// First is the caller's word that it has never sent the key before.
	First bool
}

// KeyAnswer is the final answer to a KeyCall.
type KeyAnswer struct {
	Call       CallID
	Outcome    Outcome
	Reason     RefusalReason
	Status     int
	Body       []byte
	RetryAfter time.Duration
}

// VMListQuery asks a peer for the platform's VM list, for a node that cannot
// read it itself.
type VMListQuery struct{}

// VMListAnswer passes on the VM list that a peer read Age ago.
type VMListAnswer struct {
	List VMList
	Age  time.Duration
}

func (VMListQuery) isPeerBody()       {}
func (VMListAnswer) isPeerBody()      {}
func (Heartbeat) isPeerBody()         {}
func (HeartbeatAck) isPeerBody()      {}
func (HeartbeatRequest) isPeerBody()  {}
func (ConfigQuery) isPeerBody()       {}
func (ConfigAnswer) isPeerBody()      {}
func (Place) isPeerBody()             {}
func (Placed) isPeerBody()            {}
func (PlaceQueued) isPeerBody()       {}
func (PlaceRefused) isPeerBody()      {}
func (AttemptSuperseded) isPeerBody() {}
func (AttemptProgress) isPeerBody()   {}
func (AttemptEnded) isPeerBody()      {}
func (AttemptEndedAck) isPeerBody()   {}
func (HolderQuery) isPeerBody()       {}
func (HolderAnswer) isPeerBody()      {}
func (MoveAway) isPeerBody()          {}
func (KeyCall) isPeerBody()           {}
func (KeyAnswer) isPeerBody()         {}
