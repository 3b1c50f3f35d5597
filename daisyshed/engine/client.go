// Package engine sends the core's commands to model engines over HTTP, each in
// its own goroutine, and returns the results to the core as messages.
package engine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"daisyshed.dev/core"
	wire "daisyshed.dev/wire/engine"
)

// Client sends requests to model engines. Its fields must be set before the
// first request.
type Client struct {
	HTTP       *http.Client
	Answers    AnswerLookup
	SendToCore func(core.Message)
	// StepTimeout bounds a prefill, an import and the wait for the next token
	// of a stream.
	StepTimeout time.Duration
	// ControlTimeout bounds the release of an allocation and a poll.
	ControlTimeout time.Duration
	// OrderTimeout bounds an exclusive order, for which the engine may have to
	// load a model.
	OrderTimeout time.Duration

	mu      sync.Mutex
	streams map[core.RequestID]*tokenStream
}

// AnswerLookup looks up the answers that connected callers are waiting for.
type AnswerLookup interface {
	// Answer returns the answer to a request, or false if its caller has
	// disconnected.
	Answer(id core.RequestID) (AnswerSink, bool)
}

// AnswerSink is the answer to one request, sent to its caller token by token.
type AnswerSink interface {
	// Prompt returns the prompt.
	Prompt() string
	// TokensSent returns how many tokens have been sent to the caller.
	TokensSent() core.Tokens
	// SendToken sends the token at offset to the caller. It drops a token that was
	// already sent and returns a *GapError if tokens before offset are missing.
	SendToken(offset core.Tokens, text string, last bool) error
}

func wireAllocation(a core.Allocation) wire.Allocation { return wire.Allocation(a) }

// Prefill asks a prefill engine to compute a request's KV cache. It does not
// block.
func (c *Client) Prefill(address string, s core.StartPrefill) {
	go func() { c.SendToCore(c.prefill(address, s)) }()
}

func (c *Client) prefill(address string, s core.StartPrefill) core.Message {
	fail := func(err error) core.Message {
		return failure(s.Engine, s.Allocation, core.PrefillStep, err)
	}
	answer, ok := c.Answers.Answer(s.Allocation.Request)
	if !ok {
		return fail(CallerDisconnectedError{})
	}
	request := wire.PrefillRequest{
		Allocation: wireAllocation(s.Allocation),
		Model:      s.Model,
		Priority:   s.Priority,
		Tokens:     s.Prompt.Tokens,
		Blocks:     s.Prompt.Blocks,
		Text:       answer.Prompt(),
		Emitted:    s.Emitted,
	}
	var result wire.PrefillResult
	if err := c.postAndDecode(c.StepTimeout, address, wire.PrefillPath, request, &result); err != nil {
		return fail(err)
	}
	cached := min(max(result.Cached, 0), s.Prompt.Tokens+s.Emitted)
	return core.PrefillDone{Engine: s.Engine, Allocation: s.Allocation, Cached: cached}
}

// Import asks a decode engine to fetch a KV cache from the prefill engine at
// from. It does not block.
func (c *Client) Import(address, from string, s core.StartImport) {
	request := wire.ImportRequest{Allocation: wireAllocation(s.Allocation), FromAddress: from, Tokens: s.Tokens}
	go func() {
		if err := c.postAndDecode(c.StepTimeout, address, wire.ImportPath, request, nil); err != nil {
			c.SendToCore(failure(s.Engine, s.Allocation, core.ImportStep, err))
			return
		}
		c.SendToCore(core.ImportDone{Engine: s.Engine, Allocation: s.Allocation})
	}()
}

// Release asks an engine to release an allocation, and cancels the stream that
// this node reads from it. It does not wait for the engine.
func (c *Client) Release(address string, s core.ReleaseMemory) {
	c.cancelStream(s.Engine, s.Allocation)
	request := wire.ReleaseRequest{Allocation: wireAllocation(s.Allocation)}
	go func() {
		if err := c.postAndDecode(c.ControlTimeout, address, wire.ReleasePath, request, nil); err != nil {
			c.SendToCore(core.ReleaseFailed{Engine: s.Engine, Allocation: s.Allocation, Reason: err.Error()})
			return
		}
		c.SendToCore(core.ReleaseDone{Engine: s.Engine, Allocation: s.Allocation})
	}()
}

// Order sends an exclusive order to an engine. It does not block.
func (c *Client) Order(address string, s core.SendOrder) {
	request := wire.OrderRequest{
		Kind:    s.Order.Kind.String(),
		Role:    s.Order.Role.String(),
		Model:   s.Order.Model,
		Adapter: s.Order.Adapter,
		Fencing: s.Order.Fencing,
	}
	go func() {
		err := c.postAndDecode(c.OrderTimeout, address, wire.OrderPath, request, nil)
		if err != nil {
			staleFencing := hasCode(err, wire.CodeStaleFencing)
			c.SendToCore(core.OrderFailed{Order: s.Order, StaleFencing: staleFencing, Reason: err.Error()})
			return
		}
		c.SendToCore(core.OrderDone{Order: s.Order})
	}()
}

// postAndDecode posts body and decodes the response into result.
func (c *Client) postAndDecode(timeout time.Duration, address, path string, body, result any) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	resp, err := c.postJSON(ctx, address, path, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return decode(resp, result)
}
