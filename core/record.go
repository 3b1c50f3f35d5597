package core

import "time"

// StreamID names a stream of the platform's log.
type StreamID string

// The streams that daisyshed keeps in the platform's log.
const (
	// ConfigStream holds publications of profiles and pools, and snapshots.
	ConfigStream StreamID = "config"
	// ClaimStream holds claims of the right to give an engine exclusive orders.
	ClaimStream StreamID = "claims"
	// KeyStream holds intents and results of calls that run at most once.
	KeyStream StreamID = "keys"
)

// LogRecord is one record of the platform's log. At is the time of the append
// by the log's clock, in Unix nanoseconds.
type LogRecord struct {
	Offset Offset
	At     int64
	Record Record
}

// Record is the sealed set of records that daisyshed keeps in the log.
type Record interface{ isRecord() }

// PublicationID identifies one publication, so that its publisher can find it
// in the log if the reply to the append was lost.
type PublicationID string

// ProfilePublished replaces a profile if Base is its current revision, and is
// rejected otherwise.
type ProfilePublished struct {
	Publication PublicationID
	Operator    string
	Base        Revision
	Profile     Profile
	// Source is the YAML text that the operator wrote.
	Source string
}

// PoolPublished replaces a pool's description if Base is its current revision,
// and is rejected otherwise.
type PoolPublished struct {
	Publication PublicationID
	Operator    string
	Base        Revision
	Pool        Pool
	// Source is the YAML text that the operator wrote.
	Source string
}

// SnapshotTaken holds the folded configuration at the offset Through. It
// depends on that offset alone, so two snapshots of one offset are equal.
type SnapshotTaken struct {
	Through  Offset
	Profiles []ProfileEntry
	Pools    []PoolEntry
}

// ProfileEntry is a profile in force, with its revision and the publication
// that it comes from.
type ProfileEntry struct {
	Profile     Profile
	Revision    Revision
	Offset      Offset
	Publication PublicationID
	Operator    string
	Source      string
}

// PoolEntry is a pool in force, with its revision and the publication that it
// comes from.
type PoolEntry struct {
	Pool        Pool
	Revision    Revision
	Offset      Offset
	Publication PublicationID
	Operator    string
	Source      string
}

// KeyIntent announces that Writer is about to dispatch the call under Key.
// The first intent of a key wins, and only its writer may dispatch.
type KeyIntent struct {
	Key         IdempotencyKey
	Profile     ProfileID
	Writer      NodeID
	Incarnation Incarnation
	// Digest is the call's CallDigest. It reveals a key that is used for two
	// different calls.
	Digest uint64
}

// KeyResult records how the call under Key ended.
type KeyResult struct {
	Key         IdempotencyKey
	Writer      NodeID
	Incarnation Incarnation
	Outcome     Outcome
	Status      int
	Body        []byte
}

// EngineClaim makes Holder the only node that may give Engine exclusive orders,
// for the time of Lease. The record's offset is the fencing token.
type EngineClaim struct {
	Engine      EngineID
	Holder      NodeID
	Incarnation Incarnation
	Lease       time.Duration
}

// Unreadable replaces a record that could not be decoded. Every node skips it
// in the same way when it folds the log.
type Unreadable struct{ Reason string }

func (ProfilePublished) isRecord() {}
func (PoolPublished) isRecord()    {}
func (SnapshotTaken) isRecord()    {}
func (KeyIntent) isRecord()        {}
func (KeyResult) isRecord()        {}
func (EngineClaim) isRecord()      {}
func (Unreadable) isRecord()       {}
