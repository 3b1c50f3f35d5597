// Package engine is the protocol towards model engines: JSON over HTTP, with
// server-sent events for streams of tokens.
package engine

import "daisyshed.dev/core"

// The paths of an engine's operations.
const (
	// PrefillPath takes a PrefillRequest by POST and answers with a
	// PrefillResult once the KV cache is computed.
	PrefillPath = "/v1/prefill"
	// ImportPath takes an ImportRequest by POST and answers with an empty 200
	// once the KV cache has arrived.
	ImportPath = "/v1/import"
	// ExportPath takes an ExportRequest by POST and answers when the KV cache
	// has been sent; a decode engine calls it on a prefill engine.
	ExportPath = "/v1/export"
	// DecodePath takes a DecodeRequest by POST and answers with server-sent
	// events. Posting again with a higher After resumes the stream.
	DecodePath = "/v1/decode"
	// ReleasePath takes a ReleaseRequest by POST. It cancels whatever step
	// runs and frees the memory, and answers 200 also when nothing was held.
	ReleasePath = "/v1/release"
	// ReportPath answers GET with a Report. The query parameter "after"
	// selects cache events.
	ReportPath = "/v1/report"
	// OrderPath takes an OrderRequest by POST.
	OrderPath = "/v1/order"
)

// Allocation is the tag under which an engine holds memory. An engine refuses
// a step of a lower attempt than one it holds for the same request, and a
// release only touches the memory with the very same tag.
type Allocation struct {
	Request     core.RequestID
	Attempt     core.Attempt
	Holder      core.NodeID
	Incarnation core.Incarnation
}

// PrefillRequest asks for a prompt's KV cache. A prefill engine holds the
// result for less than a second unless it is exported.
type PrefillRequest struct {
	Allocation Allocation
	Model      core.ModelID
	Priority   int
	Tokens     core.Tokens
	Blocks     []core.BlockHash
	// Text is the prompt. Emitted is the number of answer tokens to append to
	// it when a stream is moved after a lost decode engine.
	Text    string
	Emitted core.Tokens
}

// PrefillResult reports a finished prefill.
type PrefillResult struct {
	Cached core.Tokens
}

// ImportRequest asks a decode engine to fetch a KV cache from FromAddress and
// to hold memory for Tokens tokens. Importing a running stream carries its
// answer so far along and stops it at its source.
type ImportRequest struct {
	Allocation  Allocation
	FromAddress string
	Tokens      core.Tokens
}

// ExportRequest asks the holder of a KV cache to send it.
type ExportRequest struct {
	Allocation Allocation
}

// ExportResult carries the KV cache of a stand-in: its size and what is needed
// to go on with the answer.
type ExportResult struct {
	Tokens  core.Tokens
	Blocks  []core.BlockHash
	Text    string
	Emitted core.Tokens
}

// DecodeRequest asks for the stream of an answer after After tokens.
type DecodeRequest struct {
	Allocation Allocation
	After      core.Tokens
	MaxTokens  core.Tokens
	Priority   int
}

// TokenEvent is one server-sent event of a decode stream. Its event id is the
// offset of the token, counted from one. The last event has Last set.
type TokenEvent struct {
	Text string
	Last bool
}

// ReleaseRequest frees memory.
type ReleaseRequest struct {
	Allocation Allocation
}

// Report is an engine's report of itself. Load figures lag; Held is exact.
type Report struct {
	State         string // Serving or Draining
	Role          string // Prefill or Decode
	Model         core.ModelID
	Adapters      []string
	Pieces        int
	FreePieces    int
	Queued        core.Tokens
	Running       int
	Fencing       core.Offset
	Held          []Held
	Events        []CacheEvent
	EventsFrom    uint64
	EventsThrough uint64
}

// Held is one allocation on an engine's list.
type Held struct {
	Allocation Allocation
	Tokens     core.Tokens
	Emitted    core.Tokens
	Finished   bool
}

// CacheEvent is a change of an engine's prefix cache.
type CacheEvent struct {
	Block   core.BlockHash
	Evicted bool
}

// OrderRequest is an exclusive order. Kind is SetRole, LoadModel or
// LoadAdapter.
type OrderRequest struct {
	Kind    string
	Role    string
	Model   core.ModelID
	Adapter string
	Fencing core.Offset
}

// ErrorBody is the body of an engine's refusal. Code is one of the Code
// constants.
type ErrorBody struct {
	Code   string
	Detail string
}

// The codes of refusals.
const (
	// CodeFull means that the engine lacks memory.
	CodeFull = "Full"
	// CodeDraining means that the engine takes no new work.
	CodeDraining = "Draining"
	// CodeGone means that the engine does not hold what was named.
	CodeGone = "Gone"
	// CodeSuperseded means that a higher attempt holds the request.
	CodeSuperseded = "Superseded"
	// CodeOldFencing means that an order's fencing number is too low.
	CodeOldFencing = "OldFencing"
	// CodeWrongModel means that the engine serves another model or role.
	CodeWrongModel = "WrongModel"
	// CodeBadRequest means that the body could not be read.
	CodeBadRequest = "BadRequest"
)
