// Package engine carries out steps at model engines in goroutines of their
// own and sends the results as messages.
package engine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"daisyshed.dev/core"
	wire "daisyshed.dev/wire/engine"
)

// Client carries out steps at engines. Its fields are set before the first
// step.
type Client struct {
	HTTP    *http.Client
	Answers Answers
	Send    func(core.Message)
	// StepTimeout bounds a prefill, an import and the wait for one token.
	StepTimeout time.Duration
	// ControlTimeout bounds a release and a poll.
	ControlTimeout time.Duration
	// OrderTimeout bounds an order, which may load a model.
	OrderTimeout time.Duration

	mu    sync.Mutex
	pumps map[core.RequestID]*pump
}

// Answers gives access to the answers that callers wait for.
type Answers interface {
	// Answer returns the answer to a request, if its caller is still there.
	Answer(id core.RequestID) (Answer, bool)
}

// Answer is what one caller waits for.
type Answer interface {
	// Text returns the prompt.
	Text() string
	// Sent returns how many tokens the caller has been sent.
	Sent() core.Tokens
	// Token sends the token at offset to the caller. A token that was sent
	// before is dropped; one beyond the next is a *GapError.
	Token(offset core.Tokens, text string, last bool) error
}

func tag(a core.Allocation) wire.Allocation { return wire.Allocation(a) }

// Prefill asks a prefill engine to compute a KV cache.
func (c *Client) Prefill(address string, s core.StartPrefill) {
	go func() { c.Send(c.prefill(address, s)) }()
}

func (c *Client) prefill(address string, s core.StartPrefill) core.Message {
	fail := func(err error) core.Message {
		return failure(s.Engine, s.Allocation, core.PrefillStep, err)
	}
	answer, ok := c.Answers.Answer(s.Allocation.Request)
	if !ok {
		return fail(CallerGoneError{})
	}
	request := wire.PrefillRequest{
		Allocation: tag(s.Allocation),
		Model:      s.Model,
		Priority:   s.Priority,
		Tokens:     s.Prompt.Tokens,
		Blocks:     s.Prompt.Blocks,
		Text:       answer.Text(),
		Emitted:    s.Emitted,
	}
	var result wire.PrefillResult
	if err := c.post(c.StepTimeout, address, wire.PrefillPath, request, &result); err != nil {
		return fail(err)
	}
	cached := min(max(result.Cached, 0), s.Prompt.Tokens+s.Emitted)
	return core.PrefillDone{Engine: s.Engine, Allocation: s.Allocation, Cached: cached}
}

// Import asks a decode engine to fetch a KV cache.
func (c *Client) Import(address, from string, s core.StartImport) {
	request := wire.ImportRequest{Allocation: tag(s.Allocation), FromAddress: from, Tokens: s.Tokens}
	go func() {
		if err := c.post(c.StepTimeout, address, wire.ImportPath, request, nil); err != nil {
			c.Send(failure(s.Engine, s.Allocation, core.ImportStep, err))
			return
		}
		c.Send(core.ImportDone{Engine: s.Engine, Allocation: s.Allocation})
	}()
}

// Release frees an allocation and ends the stream that this node reads from
// it.
func (c *Client) Release(address string, s core.ReleaseMemory) {
	c.stop(s.Engine, s.Allocation)
	request := wire.ReleaseRequest{Allocation: tag(s.Allocation)}
	go func() {
		if err := c.post(c.ControlTimeout, address, wire.ReleasePath, request, nil); err != nil {
			c.Send(core.ReleaseFailed{Engine: s.Engine, Allocation: s.Allocation, Reason: err.Error()})
			return
		}
		c.Send(core.ReleaseDone{Engine: s.Engine, Allocation: s.Allocation})
	}()
}

// Order gives an exclusive order.
func (c *Client) Order(address string, s core.SendOrder) {
	request := wire.OrderRequest{
		Kind:    s.Order.Kind.String(),
		Role:    s.Order.Role.String(),
		Model:   s.Order.Model,
		Adapter: s.Order.Adapter,
		Fencing: s.Order.Fencing,
	}
	go func() {
		err := c.post(c.OrderTimeout, address, wire.OrderPath, request, nil)
		if err != nil {
			refused := hasCode(err, wire.CodeOldFencing)
			c.Send(core.OrderFailed{Order: s.Order, Refused: refused, Reason: err.Error()})
			return
		}
		c.Send(core.OrderDone{Order: s.Order})
	}()
}

func (c *Client) post(timeout time.Duration, address, path string, body, result any) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	resp, err := c.open(ctx, address, path, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return decode(resp, result)
}
