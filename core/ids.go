package core

import "time"

// NodeID names an entry VM's daemon. It is stable across restarts.
type NodeID string

// EngineID names one model engine or plain service instance.
type EngineID string

// PoolID names a set of engines that belong to one team.
type PoolID string

// TeamID names the team that a pool belongs to.
type TeamID string

// ModelID names a model together with its version.
type ModelID string

// ProfileID names a profile, which services choose by name.
type ProfileID string

// CustomerID names the customer on whose behalf a request is made.
type CustomerID string

// DomainID names a failure domain.
type DomainID string

// RegionID names a region, which holds several failure domains.
type RegionID string

// RequestID names a caller's request. It stays the same when the caller
// reconnects to another node.
type RequestID string

// IdempotencyKey names a call that may not be repeated.
type IdempotencyKey string

// CallID names one call to a plain service at the node that accepted it.
type CallID string

// Incarnation distinguishes the process starts of a node. A later start has a higher
// incarnation.
type Incarnation uint64

// Attempt counts the placements of one request, starting at one. A higher
// attempt supersedes a lower one.
type Attempt uint32

// Offset is a position in a stream of the platform's log. The first record has
// offset one, so zero means that nothing has been read.
type Offset int64

// StoreEra counts how often the store of a hosted deployment has been restored from a
// copy. Each time, records that it had acknowledged may be lost and their offsets given
// out again. Zero means that the store does not say.
type StoreEra int64

// Revision counts the accepted publications of one profile or pool, starting at one.
type Revision int64

// Tokens is a number of tokens.
type Tokens int

// RequestRate is a number of requests a second.
type RequestRate float64

// BlockHash identifies a prompt prefix that ends at a block boundary. Equal
// hashes mean equal prefixes, so the hash of a block covers all blocks before
// it.
type BlockHash uint64

// BlockTokens is the number of prompt tokens that one [BlockHash] covers.
const BlockTokens Tokens = 256

// PieceTokens is the number of tokens in one piece of engine memory.
const PieceTokens Tokens = 4096

// Pieces returns the number of memory pieces that hold t tokens.
func (t Tokens) Pieces() int {
	return int((t + PieceTokens - 1) / PieceTokens)
}

// Instant is a point in time on one node's clock, in nanoseconds. Instants of different
// nodes are never compared.
type Instant int64

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from j to i.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }

// Allocation identifies engine memory reserved for one attempt of one request.
// Engines store it as a tag and list it in their reports, so that any owner can
// tell which attempt the memory belongs to.
type Allocation struct {
	Request     RequestID
	Attempt     Attempt
	Holder      NodeID
	Incarnation Incarnation
}

// ProtocolVersion is a version of the protocol between nodes. A later version knows all messages of an
// earlier one. Zero stands for builds that do not name it.
type ProtocolVersion uint32

// LatestProtocol is the version that this build knows. Version 1 adds [UsageReported] and
// [UsageGranted], version 2 [WindowReported].
const LatestProtocol ProtocolVersion = 2
