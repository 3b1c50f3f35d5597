// Package platformlog is the protocol towards the platform's append-only log:
// JSON over HTTP. It also holds the one codec of the records that daisyshed
// keeps there.
package platformlog

import "daisyshed.dev/core"

// StreamsPath is the prefix of the paths of streams: the log service answers
// on /v1/streams/{stream}. POST appends an
// AppendRequest and answers with an AppendResult. GET with the query parameter
// "after" answers with a ReadResult of at most 1000 records.
//
// The log refuses an append before any effect with one of the statuses 400,
// 404, 405, 413, 429 and 503, and with no others. Any other failure, a broken
// connection included, leaves open whether the records are in the log.
const StreamsPath = "/v1/streams/"

// AppendRequest appends records in order, without others between them.
type AppendRequest struct {
	Records [][]byte
}

// AppendResult names the offset of the first record appended.
type AppendResult struct {
	First core.Offset
}

// Entry is one record as the log keeps it. At is the log's time of the append
// in Unix nanoseconds.
type Entry struct {
	Offset core.Offset
	At     int64
	Data   []byte
}

// ReadResult is a stretch of a stream. First is the lowest offset that is
// still kept, End the highest given out.
type ReadResult struct {
	Entries        []Entry
	First          core.Offset
	End            core.Offset
	Now            int64
	RetentionNanos int64
}
