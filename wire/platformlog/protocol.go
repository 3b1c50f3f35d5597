// Package platformlog defines the protocol of the platform's append-only log,
// JSON over HTTP, and a client for it. It also contains the only codec of the
// records that daisyshed stores in the log.
package platformlog

import "daisyshed.dev/core"

// StreamsPath is the path prefix of the log's streams, which are served at
// /v1/streams/{stream}. POST takes an AppendRequest and returns an AppendResult.
// GET returns a ReadResult with at most 1000 of the records after the offset in
// the query parameter "after".
//
// The statuses 400, 404, 405, 413, 429 and 503, and only these, mean that the log
// service rejected an append without any effect. After any other failure,
// including a broken connection, it is unknown whether the records are in the
// log.
const StreamsPath = "/v1/streams/"

// AppendRequest appends records contiguously and in order. Each is encoded by
// [Encode].
type AppendRequest struct {
	Records [][]byte
}

// AppendResult contains the offset of the first appended record.
type AppendResult struct {
	First core.Offset
}

// Entry is one stored record. At is the time of the append by the log's clock,
// in Unix nanoseconds; Data is the encoded record.
type Entry struct {
	Offset core.Offset
	At     int64
	Data   []byte
}

// ReadResult contains consecutive records of a stream. First is the lowest
// offset that the log still retains and End the highest that it has assigned.
// Now is the log's clock in Unix nanoseconds.
type ReadResult struct {
	Entries        []Entry
	First          core.Offset
	End            core.Offset
	Now            int64
	RetentionNanos int64
}
