package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/standin/engine"
	"daisyshed.dev/wire/sse"
)

const (
	// cancelShare is the share of requests that the caller cancels for good.
	cancelShare = 0.1
	// dropShare is the share of attempts in which the caller drops the connection
	// and resumes the stream on a new one.
	dropShare = 0.1
	// reconnectShare is the share of complete answers whose caller reconnects at
	// the end, as a caller does that missed the final event.
	reconnectShare = 0.1
	// reconnectAttempts bounds the attempts to reconnect at the end; more than one
	// is needed because a daemon may be frozen.
	reconnectAttempts = 3
	// maxAnswerTokens bounds the answer in tokens, and maxPromptWords the prompt
	// in words.
	maxAnswerTokens = 90
	maxPromptWords  = 1500
)

// request is one caller's request with all its attempts.
type request struct {
	load   *load
	rng    *rand.Rand
	name   string
	prompt string
	// max is the limit that the request sets, and answerLength the length of the
	// whole answer.
	max          core.Tokens
	received     core.Tokens
	answerLength core.Tokens
	// streamed is set once an attempt has received the start of a stream.
	streamed bool
	attempts history
}

func (r *request) history() string { return strings.Join(r.attempts, "; ") }

// sendRequests sends requests one after another until ctx is done.
func (l *load) sendRequests(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		r := l.newRequest(rng)
		if rng.Float64() < cancelShare {
			r.sendAndCancel()
			continue
		}
		ok := r.sendUntilAnswered(time.Now().Add(requestTimeout))
		l.judge.require(answeredInTime, ok, "%s: %s", r.name, r.history())
		if ok && rng.Float64() < reconnectShare {
			r.reconnectAtEnd()
		}
	}
}

// reconnectAtEnd reconnects at the end of a complete answer and requires that the
// daemon ends the stream or rejects the request instead of leaving the caller
// waiting.
func (r *request) reconnectAtEnd() {
	var p *problem
	var err error
	ended := false
	for try := 0; try < reconnectAttempts && !ended; try++ {
		address, _ := r.load.chooseDaemon(r.rng)
		p, err = r.attempt(context.Background(), address, core.Tokens(-1))
		var idle idleTimeoutError
		ended = !errors.As(err, &idle)
		r.attempts.add("at the end: %s: %v", address, err)
	}
	r.load.judge.require(endedOnReconnect, ended, "%s: %s", r.name, r.history())
	switch {
	case p != nil:
		r.load.judge.count("answers asked for at their end, refused " + p.Reason)
	case errors.Is(err, io.EOF):
		r.load.judge.count("answers asked for at their end, ended")
	default:
		r.load.judge.count("answers asked for at their end, broken off")
	}
}

func (l *load) newRequest(rng *rand.Rand) *request {
	n := l.nextNumber()
	words := make([]string, 1+rng.IntN(maxPromptWords))
	for i := range words {
		words[i] = "word" + strconv.Itoa(i)
	}
	// Prompts begin with the same words and differ at the end.
	prompt := strings.Join(words, " ") + " plot " + strconv.Itoa(n)
	limit := core.Tokens(1 + rng.IntN(maxAnswerTokens))
	return &request{
		load: l, rng: rng, name: fmt.Sprintf("soak-%d", n), prompt: prompt, max: limit,
		answerLength: engine.AnswerLength(prompt, limit),
	}
}

// sendAndCancel sends the request and cancels it after a random time.
func (r *request) sendAndCancel() {
	r.load.judge.count("requests cancelled")
	address, _ := r.load.chooseDaemon(r.rng)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(r.rng.IntN(1500))*time.Millisecond)
	defer cancel()
	r.attempt(ctx, address, core.Tokens(-1))
}

// sendUntilAnswered sends, resumes and retries the request until the whole answer
// has been received. It returns false if the deadline passes before that.
func (r *request) sendUntilAnswered(deadline time.Time) bool {
	for time.Now().Before(deadline) {
		address, _ := r.load.chooseDaemon(r.rng)
		dropAt := core.Tokens(-1)
		if r.rng.Float64() < dropShare {
			dropAt = r.received + core.Tokens(1+r.rng.IntN(20))
		}
		p, err := r.attempt(context.Background(), address, dropAt)
		switch {
		case r.received == r.answerLength:
			r.load.judge.count("answers whole")
			return true
		case p != nil:
			r.attempts.add("%s: refused %s %s at %d of %d", address, p.Reason, p.Outcome, r.received, r.answerLength)
			r.prepareRetry(*p)
		default:
			r.attempts.add("%s: %v at %d of %d", address, err, r.received, r.answerLength)
			r.load.judge.count("answers broken off")
		}
	}
	return false
}

// prepareRetry prepares the next attempt after a rejection and waits as long as
// the rejection asks for.
func (r *request) prepareRetry(p problem) {
	if p.Reason == core.NothingToResume.String() {
		r.restart()
	}
	waitForRetry(p)
}

// restart makes the next attempt begin from the first token under a new request
// ID.
func (r *request) restart() {
	r.load.judge.count("answers restarted, nothing to resume")
	r.name += "r"
	r.received = 0
	r.streamed = false
}

// idleTimeoutError is the cause of an attempt that timed out without receiving
// data.
type idleTimeoutError struct{}

// Error returns the text that the request's history shows.
func (idleTimeoutError) Error() string { return "silent" }

// droppedError is the result of an attempt whose connection the caller dropped.
type droppedError struct{}

// Error returns the text that the request's history shows.
func (droppedError) Error() string { return "dropped by the caller" }

// attempt sends the request once and reads the stream until it ends, breaks off
// or reaches dropAt tokens. It returns the rejection, if there was one.
func (r *request) attempt(ctx context.Context, address string, dropAt core.Tokens) (*problem, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idleTimer := time.AfterFunc(idleTimeout, func() { cancel(idleTimeoutError{}) })
	defer idleTimer.Stop()
	resp, err := r.post(ctx, address)
	if err != nil {
		return nil, errors.Join(err, context.Cause(ctx))
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		p := r.load.readProblem(resp)
		return &p, nil
	}
	r.streamed = true
	events := sse.NewReader(resp.Body)
	for {
		e, err := events.Next()
		if err != nil {
			return nil, errors.Join(err, context.Cause(ctx))
		}
		idleTimer.Reset(idleTimeout)
		if e.Name == "error" {
			var p problem
			err := json.Unmarshal([]byte(e.Data), &p)
			r.load.judge.require(rejectionWellFormed, err == nil && p.Reason != "" && p.RetryAfterMs > 0, "event %s", e.Data)
			r.load.judge.count("refusal in a stream " + p.Reason)
			return &p, nil
		}
		if e.Data == "[DONE]" {
			return nil, io.EOF
		}
		if !r.checkToken(e) {
			return nil, io.EOF
		}
		if r.received == dropAt {
			r.load.judge.count("connections dropped by the caller")
			return nil, droppedError{}
		}
	}
}

// post opens the stream, resuming after the last token received if an earlier
// attempt had begun to stream.
func (r *request) post(ctx context.Context, address string) (*http.Response, error) {
	body, err := json.Marshal(map[string]any{
		"model": "bill-summary", "prompt": r.prompt, "max_tokens": r.max, "stream": true, "user": "plot-7",
	})
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Id", r.name)
	if r.streamed {
		r.load.judge.count("answers resumed")
		req.Header.Set("Last-Event-ID", strconv.Itoa(int(r.received)))
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return client.Do(req)
}

// completionChunk is the part of an event's data that the caller checks.
type completionChunk struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// checkToken checks one event against the next token of the expected answer.
func (r *request) checkToken(e sse.Event) bool {
	var c completionChunk
	err := json.Unmarshal([]byte(e.Data), &c)
	next := r.received + 1
	id, idErr := strconv.Atoi(e.ID)
	ok := err == nil && idErr == nil && len(c.Choices) == 1 && core.Tokens(id) == next && next <= r.answerLength &&
		c.Choices[0].Text == engine.AnswerToken(r.prompt, next) &&
		(c.Choices[0].FinishReason != nil) == (next == r.answerLength)
	if !ok {
		r.load.judge.require(answerComplete, false, "%s: event %q %s in place of token %d of %d; %s",
			r.name, e.ID, e.Data, next, r.answerLength, r.history())
		return false
	}
	r.received = next
	if r.received == r.answerLength {
		r.load.judge.require(answerComplete, true, "")
	}
	return true
}
