package engine

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"time"

	"daisyshed.dev/core"
	wire "daisyshed.dev/wire/engine"
	"daisyshed.dev/wire/sse"
)

// pump reads one attempt's stream of tokens and sends them on to the caller.
// A request has at most one pump that sends.
type pump struct {
	client  *Client
	address string
	start   core.StartDecode
	answer  Answer
	cancel  context.CancelCauseFunc
	// older is the pump that this one supersedes; it has ended before this
	// one begins.
	older *pump
	ended chan struct{}
	// first is set once the caller has been sent a token by this pump.
	first bool
}

// supersededError ends a pump whose request went on without it.
type supersededError struct{}

func (supersededError) Error() string { return "engine: stream superseded" }

// Decode opens the stream of an answer and sends it on to the caller. A pump
// of a lower attempt of the same request ends first.
func (c *Client) Decode(address string, s core.StartDecode) {
	answer, ok := c.Answers.Answer(s.Allocation.Request)
	if !ok {
		// The core hears of the caller from CallerGone.
		return
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	p := &pump{client: c, address: address, start: s, answer: answer, cancel: cancel, ended: make(chan struct{})}
	if !c.enter(p) {
		cancel(nil)
		return
	}
	go p.run(ctx)
}

// enter makes p the pump of its request, unless one of a higher attempt is.
func (c *Client) enter(p *pump) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pumps == nil {
		c.pumps = map[core.RequestID]*pump{}
	}
	id := p.start.Allocation.Request
	older := c.pumps[id]
	if older != nil && newer(older.start.Allocation, p.start.Allocation) {
		return false
	}
	if older != nil {
		older.cancel(supersededError{})
		p.older = older
	}
	c.pumps[id] = p
	return true
}

func newer(a, b core.Allocation) bool { return a.Attempt > b.Attempt }

func (c *Client) leave(p *pump) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := p.start.Allocation.Request
	if c.pumps[id] == p {
		delete(c.pumps, id)
	}
}

// stop ends the pump that reads from an allocation that is being released.
func (c *Client) stop(id core.EngineID, a core.Allocation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pumps[a.Request]
	if p != nil && p.start.Engine == id && p.start.Allocation == a {
		p.cancel(supersededError{})
	}
}

func (p *pump) run(ctx context.Context) {
	defer close(p.ended)
	defer p.client.leave(p)
	defer p.cancel(nil)
	if p.older != nil {
		<-p.older.ended
		p.older = nil
	}
	err := p.stream(ctx)
	if cause := context.Cause(ctx); err != nil && cause != nil {
		err = cause
	}
	p.report(err)
}

// report tells the core how the stream ended. A superseded stream is no news,
// and a caller that left is reported by its own connection.
func (p *pump) report(err error) {
	var superseded supersededError
	var gone CallerGoneError
	switch {
	case err == nil:
		p.client.Send(core.StreamEnded{Allocation: p.start.Allocation, Tokens: p.answer.Sent()})
	case errors.As(err, &superseded), errors.As(err, &gone):
	default:
		failed := failure(p.start.Engine, p.start.Allocation, core.DecodeStep, err)
		failed.Emitted = p.answer.Sent()
		p.client.Send(failed)
	}
}

func (p *pump) stream(ctx context.Context) error {
	stall := time.AfterFunc(p.client.StepTimeout, func() { p.cancel(StalledStreamError{}) })
	defer stall.Stop()
	resp, err := p.client.open(ctx, p.address, wire.DecodePath, wire.DecodeRequest{
		Allocation: tag(p.start.Allocation),
		After:      p.answer.Sent(),
		MaxTokens:  p.start.MaxTokens,
		Priority:   p.start.Priority,
	})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	events := sse.NewReader(resp.Body)
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			return BrokenStreamError{}
		}
		if err != nil {
			return err
		}
		stall.Stop()
		last, err := p.token(ctx, event)
		if err != nil || last {
			return err
		}
		stall.Reset(p.client.StepTimeout)
	}
}

// token sends one event on and reports whether it was the last.
func (p *pump) token(ctx context.Context, e sse.Event) (bool, error) {
	offset, err := strconv.Atoi(e.ID)
	if err != nil {
		return false, &BadEventError{Cause: err}
	}
	if offset < 1 {
		return false, &BadEventError{Cause: &OffsetError{Offset: offset}}
	}
	var token wire.TokenEvent
	if err := json.Unmarshal([]byte(e.Data), &token); err != nil {
		return false, &BadEventError{Cause: err}
	}
	if cause := context.Cause(ctx); cause != nil {
		return false, cause
	}
	if err := p.answer.Token(core.Tokens(offset), token.Text, token.Last); err != nil {
		return false, err
	}
	if !p.first {
		p.first = true
		p.client.Send(core.FirstToken{Allocation: p.start.Allocation})
	}
	return token.Last, nil
}
