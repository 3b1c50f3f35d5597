package core

import "time"

// PeerBody is the sealed set of messages between nodes.
type PeerBody interface{ isPeerBody() }

// MemberStatus is the status of a node as another node sees it.
type MemberStatus int

// The statuses of members.
const (
	// Alive members answer heartbeats.
	Alive MemberStatus = iota
	// Suspect members missed a heartbeat and may still refute the suspicion.
	Suspect
	// Dead members missed heartbeats for too long.
	Dead
	// Left members announced that they are leaving.
	Left
)

// MemberUpdate passes on one node's view of a member.
type MemberUpdate struct {
	Node        NodeInfo
	Incarnation Incarnation
	Status      MemberStatus
	// Sequence orders updates within one incarnation. A member increases it to refute a
	// suspicion.
	Sequence uint64
}

// Heartbeat asks a member to answer, which shows that it is alive.
type Heartbeat struct {
	Sequence uint64
	// OnBehalfOf is the node that asked the sender for this heartbeat, if one did.
	OnBehalfOf   NodeID
	Updates      []MemberUpdate
	ConfigOffset Offset
	// KnownOffset is the latest offset that the sender knows of, if it lacks it, else zero.
	KnownOffset Offset
	// Proof is the sender's proof that its desired state is the latest.
	Proof   StateProof
	Settled SettledRemovals
}

// HeartbeatAck answers a Heartbeat.
type HeartbeatAck struct {
	Sequence     uint64
	OnBehalfOf   NodeID
	Updates      []MemberUpdate
	ConfigOffset Offset
	// KnownOffset, Proof and Settled are as in Heartbeat.
	KnownOffset Offset
	Proof       StateProof
	Settled     SettledRemovals
	// Spare is the free fraction of the node's request capacity.
	Spare float64
}

// HeartbeatRequest asks a node to send a heartbeat to Target.
type HeartbeatRequest struct {
	Target   NodeID
	Sequence uint64
}

// ConfigQuery asks a peer for configuration records after an offset.
type ConfigQuery struct{ After Offset }

// ConfigAnswer contains the records of ConfigStream after After, or a snapshot if the
// peer no longer has them. Through is the offset that the peer has reached.
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
	// Emitted is how many tokens the caller has already received.
	Emitted Tokens
	// Adopt is set if the caller has reconnected for the rest of its answer. A stream
	// that an engine still runs for it is then continued.
	Adopt bool
	// Retry is set if this follows an earlier attempt of the same entry node and not a
	// new connection of the caller.
	Retry bool
	// Waited is the time since the caller's request arrived.
	Waited time.Duration
	// Source is the decode engine that a running stream has to leave. The new engine
	// imports the KV cache from it.
	Source EngineID
	// Avoid lists engines that have just failed this request.
	Avoid []EngineID
}

// Placed grants a Place: it names the engines for the request, and the owner has reserved
// memory at the decode engine. Prefill is empty when the decode engine already holds the
// KV cache.
type Placed struct {
	Allocation Allocation
	Prefill    EngineID
	Decode     EngineID
	// Source is the engine to import the KV cache from when a running stream moves and
	// no prefill is needed.
	Source EngineID
	// Memory is the number of tokens to reserve at the decode engine.
	Memory Tokens
	// FirstToken is the predicted time until the first token.
	FirstToken time.Duration
}

// PlaceQueued notifies an entry node that the owner has queued its Place and expects to
// answer it within about Expected.
type PlaceQueued struct {
	Allocation Allocation
	Expected   time.Duration
}

// PlaceRefused is an owner's final rejection of a Place.
type PlaceRefused struct {
	Allocation Allocation
	Reason     RejectionReason
	RetryAfter time.Duration
}

// AttemptSuperseded notifies a holder that the caller of its request has reconnected
// through another entry node, which answers the request from now on.
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
	// Expired attempts were abandoned before they began.
	Expired
)

// AttemptProgress notifies an owner that an attempt has finished a step, so that it can
// update its allocation table and its predictions.
type AttemptProgress struct {
	Allocation Allocation
	// Done is the step that finished: PrefillStep or ImportStep.
	Done EngineStep
	// Cached is how many prompt tokens the prefill found in the cache.
	Cached Tokens
	// Took is the time from the start of the step to its end.
	Took time.Duration
}

// AttemptEnded notifies an owner that an attempt is over and that its holder has released
// its memory or will release it.
type AttemptEnded struct {
	Allocation Allocation
	Reason     EndReason
	// Tokens is the length of the answer so far, and Decoded the time from its first
	// token to its last.
	Tokens  Tokens
	Decoded time.Duration
	// FailedEngine is the engine that failed the attempt, if one did.
	FailedEngine EngineID
}

// AttemptEndedAck acknowledges an AttemptEnded, which is resent until then.
type AttemptEndedAck struct{ Allocation Allocation }

// HolderQuery asks a holder which of these allocations are still live.
type HolderQuery struct{ Allocations []Allocation }

// HolderAnswer answers a HolderQuery: Ended are those in Asked that are not live.
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

// KeyCall asks the writer of an idempotency key to run a call at most once.
type KeyCall struct {
	Call CallID
	// Writer is the incarnation of the writer that the call is meant for. Another
	// incarnation does not run the call, because it does not know whether the call was
	// rejected before.
	Writer    Incarnation
	Profile   ProfileID
	Customer  CustomerID
	Key       IdempotencyKey
	KeyMinted int64
	Body      []byte
	// First is set if the caller states that it has never sent the key before.
	First bool
}

// KeyAnswer is the final answer to a KeyCall.
type KeyAnswer struct {
	Call       CallID
	Outcome    Outcome
	Reason     RejectionReason
	Status     int
	Body       []byte
	RetryAfter time.Duration
}

// VMListQuery asks a peer for the platform's VM list, for a node that cannot read it
// itself.
type VMListQuery struct{}

// VMListAnswer contains the VM list that was read from the platform Age ago.
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
