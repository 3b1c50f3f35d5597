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

// tokenStream reads the tokens of one attempt from an engine and sends them to
// the caller. At most one tokenStream of a request sends at any time.
type tokenStream struct {
	client  *Client
	address string
	start   core.StartDecode
	answer  AnswerSink
	cancel  context.CancelCauseFunc
	// predecessor is the stream that this one supersedes. This one starts only
	// after predecessor has ended.
	predecessor *tokenStream
	done        chan struct{}
	// firstTokenSent is set once this stream has sent a token to the caller.
	firstTokenSent bool
}

// supersededError is the cancellation cause of a stream whose allocation is being
// released or whose request is served by a newer attempt.
type supersededError struct{}

func (supersededError) Error() string { return "engine: stream superseded" }

// Decode opens the token stream of an allocation and sends its tokens to the
// caller. An earlier stream of the same request is cancelled, and the new one
// starts after that one has ended. Decode does nothing if a stream of a higher
// attempt is open. It does not block.
func (c *Client) Decode(address string, s core.StartDecode) {
	answer, ok := c.Answers.Answer(s.Allocation.Request)
	if !ok {
		// The core receives CallerDisconnected for this request from the
		// caller's connection.
		return
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	t := &tokenStream{client: c, address: address, start: s, answer: answer, cancel: cancel, done: make(chan struct{})}
	if !c.addStream(t) {
		cancel(nil)
		return
	}
	go t.run(ctx)
}

// addStream makes t the stream of its request and cancels the previous one. It
// returns false if the previous one belongs to a higher attempt.
func (c *Client) addStream(t *tokenStream) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streams == nil {
		c.streams = map[core.RequestID]*tokenStream{}
	}
	id := t.start.Allocation.Request
	older := c.streams[id]
	if older != nil && isNewer(older.start.Allocation, t.start.Allocation) {
		return false
	}
	if older != nil {
		older.cancel(supersededError{})
		t.predecessor = older
	}
	c.streams[id] = t
	return true
}

func isNewer(a, b core.Allocation) bool { return a.Attempt > b.Attempt }

// removeStream removes t from c.streams unless a newer stream has replaced it.
func (c *Client) removeStream(t *tokenStream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := t.start.Allocation.Request
	if c.streams[id] == t {
		delete(c.streams, id)
	}
}

// cancelStream cancels the stream that reads from an allocation.
func (c *Client) cancelStream(id core.EngineID, a core.Allocation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.streams[a.Request]
	if t != nil && t.start.Engine == id && t.start.Allocation == a {
		t.cancel(supersededError{})
	}
}

func (t *tokenStream) run(ctx context.Context) {
	defer close(t.done)
	defer t.client.removeStream(t)
	defer t.cancel(nil)
	if t.predecessor != nil {
		<-t.predecessor.done
		t.predecessor = nil
	}
	err := t.copyTokens(ctx)
	if cause := context.Cause(ctx); err != nil && cause != nil {
		err = cause
	}
	t.reportEnd(err)
}

// reportEnd reports to the core how the stream ended. It does not report a
// superseded stream, nor a disconnected caller, which the caller's connection
// reports.
func (t *tokenStream) reportEnd(err error) {
	var superseded supersededError
	var disconnected CallerDisconnectedError
	switch {
	case err == nil:
		t.client.SendToCore(core.StreamEnded{Allocation: t.start.Allocation, Tokens: t.answer.TokensSent()})
	case errors.As(err, &superseded), errors.As(err, &disconnected):
	default:
		failed := failure(t.start.Engine, t.start.Allocation, core.DecodeStep, err)
		failed.Emitted = t.answer.TokensSent()
		t.client.SendToCore(failed)
	}
}

// copyTokens requests the tokens that the caller lacks and sends them to the
// caller until the last one.
func (t *tokenStream) copyTokens(ctx context.Context) error {
	start := time.Now()
	stall := time.AfterFunc(t.client.StepTimeout, func() { t.cancel(StalledStreamError{}) })
	defer stall.Stop()
	resp, err := t.client.postJSON(ctx, t.address, wire.DecodePath, wire.DecodeRequest{
		Allocation: wireAllocation(t.start.Allocation),
		After:      t.answer.TokensSent(),
		MaxTokens:  t.start.MaxTokens,
		Priority:   t.start.Priority,
	})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	events := sse.NewReader(resp.Body)
	// left is for how long after began the engine may send no new token.
	left, began := t.client.StepTimeout, start
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			return BrokenStreamError{}
		}
		if err != nil {
			return err
		}
		stall.Stop()
		left -= time.Since(began)
		sent := t.answer.TokensSent()
		last, err := t.handleEvent(ctx, event)
		if err != nil || last {
			return err
		}
		if t.answer.TokensSent() > sent {
			left = t.client.StepTimeout
		}
		began = time.Now()
		stall.Reset(max(left, 0))
	}
}

// handleEvent sends the token of one event to the caller and reports whether it
// was the last.
func (t *tokenStream) handleEvent(ctx context.Context, e sse.Event) (bool, error) {
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
	if err := t.answer.SendToken(core.Tokens(offset), token.Text, token.Last); err != nil {
		return false, err
	}
	if !t.firstTokenSent {
		t.firstTokenSent = true
		t.client.SendToCore(core.FirstToken{Allocation: t.start.Allocation})
	}
	return token.Last, nil
}
