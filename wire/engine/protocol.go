// Package engine defines the protocol between nodes and model engines: JSON over
// HTTP, with server-sent events for token streams.
package engine

import "daisyshed.dev/core"

// The HTTP paths of an engine's operations.
const (
	// PrefillPath accepts a PrefillRequest by POST and responds with a
	// PrefillResult once the KV cache is computed.
	PrefillPath = "/v1/prefill"
	// ImportPath accepts an ImportRequest by POST and responds with an empty 200
	// once the KV cache has been received.
	ImportPath = "/v1/import"
	// ExportPath accepts an ExportRequest by POST and responds with an
	// ExportResult once the KV cache has been sent. The importing decode engine
	// calls it on the engine that holds the KV cache.
	ExportPath = "/v1/export"
	// DecodePath accepts a DecodeRequest by POST and responds with a stream of
	// server-sent events. Posting again with a higher After resumes the stream.
	DecodePath = "/v1/decode"
	// ReleasePath accepts a ReleaseRequest by POST. It cancels the running step
	// and frees the memory. It is idempotent: it also responds with 200 if there
	// is no such allocation.
	ReleasePath = "/v1/release"
	// ReportPath responds to GET with a Report. Its Events are those numbered
	// higher than the query parameter "after".
	ReportPath = "/v1/report"
	// OrderPath accepts an OrderRequest by POST.
	OrderPath = "/v1/order"
)

// Allocation identifies the memory that an engine has allocated to one attempt of
// a request. An engine rejects a step of a lower attempt than the one it has
// memory for, and a release frees memory only if all fields are equal.
type Allocation struct {
	Request     core.RequestID
	Attempt     core.Attempt
	Holder      core.NodeID
	Incarnation core.Incarnation
}

// PrefillRequest asks a prefill engine to compute a prompt's KV cache. The engine
// evicts the result within a second unless it is exported.
type PrefillRequest struct {
	Allocation Allocation
	Model      core.ModelID
	Priority   int
	Tokens     core.Tokens
	Blocks     []core.BlockHash
	// Text is the prompt. Emitted is the number of output tokens to append to it
	// when a stream is moved after its decode engine was lost.
	Text    string
	Emitted core.Tokens
}

// PrefillResult reports a finished prefill.
type PrefillResult struct {
	// Cached is how many prompt tokens came from the prefix cache.
	Cached core.Tokens
}

// ImportRequest asks a decode engine to allocate memory for Tokens tokens and to
// fetch a KV cache from the engine at FromAddress. Importing a running stream
// also transfers the output so far and stops the stream on the other engine.
type ImportRequest struct {
	Allocation  Allocation
	FromAddress string
	Tokens      core.Tokens
}

// ExportRequest asks the engine that holds a KV cache to send it.
type ExportRequest struct {
	Allocation Allocation
}

// ExportResult is what stand-in engines transfer in place of a KV cache: its size
// and what the importing engine needs to continue the stream.
type ExportResult struct {
	Tokens  core.Tokens
	Blocks  []core.BlockHash
	Text    string
	Emitted core.Tokens
}

// DecodeRequest asks a decode engine for the token stream, without the first After
// tokens.
type DecodeRequest struct {
	Allocation Allocation
	After      core.Tokens
	MaxTokens  core.Tokens
	Priority   int
}

// TokenEvent is the data of one server-sent event of a decode stream. The event's
// id is the offset of the token, counted from one. The last event has Last set.
type TokenEvent struct {
	Text string
	Last bool
}

// ReleaseRequest asks an engine to free an allocation.
type ReleaseRequest struct {
	Allocation Allocation
}

// Report is an engine's report of its state. FreePieces, Queued and Running may
// be out of date; Held is current.
type Report struct {
	State    string // Serving or Draining
	Role     string // Prefill or Decode
	Model    core.ModelID
	Adapters []string
	// Pieces is the engine's memory in pieces of [core.PieceTokens] tokens.
	Pieces     int
	FreePieces int
	// Queued is the number of uncached prompt tokens that wait for prefill.
	Queued core.Tokens
	// Running is the number of requests in the decode batch.
	Running int
	// Fencing is the highest fencing token that the engine has seen.
	Fencing core.Offset
	Held    []Held
	Events  []CacheEvent
	// EventsFrom and EventsThrough are the numbers of the first and the last of
	// Events. If EventsFrom is not the number after the one that was queried,
	// the events between them are lost.
	EventsFrom    uint64
	EventsThrough uint64
}

// Held is one allocation in a Report.
type Held struct {
	Allocation Allocation
	// Tokens is the number of tokens that memory is reserved for.
	Tokens core.Tokens
	// Emitted is the number of output tokens that the stream has produced.
	Emitted core.Tokens
	// Finished is set once the stream has produced its last token.
	Finished bool
}

// CacheEvent reports that an engine's prefix cache gained a block, or evicted it if
// Evicted is set.
type CacheEvent struct {
	Block   core.BlockHash
	Evicted bool
}

// OrderRequest asks an engine to change its role, model or adapters. Only one node
// at a time may send such orders to an engine, and Fencing is the fencing token of
// that node's claim. Kind is SetRole, LoadModel or LoadAdapter.
type OrderRequest struct {
	Kind    string
	Role    string
	Model   core.ModelID
	Adapter string
	Fencing core.Offset
}

// ErrorBody is the response body of a rejected operation. Code is one of the Code
// constants.
type ErrorBody struct {
	Code   string
	Detail string
}

// The codes of rejected operations.
const (
	// CodeFull means that the engine has too little free memory.
	CodeFull = "Full"
	// CodeDraining means that the engine accepts no new requests.
	CodeDraining = "Draining"
	// CodeNotFound means that the engine has no such allocation or KV cache, or that it
	// was released or evicted during the operation.
	CodeNotFound = "Gone"
	// CodeSuperseded means that the engine has allocated memory to a higher attempt
	// of the request.
	CodeSuperseded = "Superseded"
	// CodeStaleFencing means that the fencing token of an order is lower than one
	// that the engine has seen.
	CodeStaleFencing = "OldFencing"
	// CodeWrongModel means that the engine serves another model or role.
	CodeWrongModel = "WrongModel"
	// CodeBadRequest means that the body could not be decoded or names an unknown
	// kind of order or role.
	CodeBadRequest = "BadRequest"
)
