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
	// cancelShare is the share of requests whose caller leaves for good.
	cancelShare = 0.1
	// dropShare is the share of connections that the caller drops to resume.
	dropShare = 0.1
	// againShare is the share of whole answers whose caller comes back at the
	// end, as one does that lost the last event.
	againShare = 0.1
	// againTries bounds the tries to come back at the end, since a daemon may
	// be frozen.
	againTries = 3
	// longestAnswer and longestPrompt bound a request, in tokens.
	longestAnswer = 90
	longestPrompt = 1500
)

// request is one caller's request with all its repetitions.
type request struct {
	load   *load
	rng    *rand.Rand
	name   string
	prompt string
	max    core.Tokens
	got    core.Tokens
	want   core.Tokens
	begun  bool
	events history
}

func (r *request) history() string { return strings.Join(r.events, "; ") }

// ask sends requests one after the other until ctx ends.
func (l *load) ask(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		r := l.newRequest(rng)
		if rng.Float64() < cancelShare {
			r.cancel()
			continue
		}
		ok := r.follow(time.Now().Add(giveUpAfter))
		l.judge.require(answeredInTime, ok, "%s: %s", r.name, r.history())
		if ok && rng.Float64() < againShare {
			r.again()
		}
	}
}

// again comes back at the end of the answer, and requires an end or a refusal.
func (r *request) again() {
	var p *problem
	var err error
	ended := false
	for try := 0; try < againTries && !ended; try++ {
		address, _ := r.load.address(r.rng)
		p, err = r.attempt(context.Background(), address, core.Tokens(-1))
		var silent silentError
		ended = !errors.As(err, &silent)
		r.events.add("at the end: %s: %v", address, err)
	}
	r.load.judge.require(endedAgain, ended, "%s: %s", r.name, r.history())
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
	n := l.number()
	words := make([]string, 1+rng.IntN(longestPrompt))
	for i := range words {
		words[i] = "word" + strconv.Itoa(i)
	}
	// Requests share prefixes of the words and differ at the end.
	prompt := strings.Join(words, " ") + " plot " + strconv.Itoa(n)
	limit := core.Tokens(1 + rng.IntN(longestAnswer))
	return &request{
		load: l, rng: rng, name: fmt.Sprintf("soak-%d", n), prompt: prompt, max: limit,
		want: engine.AnswerLength(prompt, limit),
	}
}

// cancel sends the request and leaves after a while.
func (r *request) cancel() {
	r.load.judge.count("requests cancelled")
	address, _ := r.load.address(r.rng)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(r.rng.IntN(1500))*time.Millisecond)
	defer cancel()
	r.attempt(ctx, address, core.Tokens(-1))
}

// follow repeats the request until it is answered and reports whether it was.
func (r *request) follow(deadline time.Time) bool {
	for time.Now().Before(deadline) {
		address, _ := r.load.address(r.rng)
		dropAt := core.Tokens(-1)
		if r.rng.Float64() < dropShare {
			dropAt = r.got + core.Tokens(1+r.rng.IntN(20))
		}
		p, err := r.attempt(context.Background(), address, dropAt)
		switch {
		case r.got == r.want:
			r.load.judge.count("answers whole")
			return true
		case p != nil:
			r.events.add("%s: refused %s %s at %d of %d", address, p.Reason, p.Outcome, r.got, r.want)
			r.refused(*p)
		default:
			r.events.add("%s: %v at %d of %d", address, err, r.got, r.want)
			r.load.judge.count("answers broken off")
		}
	}
	return false
}

// refused waits and chooses how to come back.
func (r *request) refused(p problem) {
	if p.Reason == core.NothingToResume.String() {
		r.restart()
	}
	pause(p)
}

// restart asks again from the start, under a new name.
func (r *request) restart() {
	r.load.judge.count("answers restarted, nothing to resume")
	r.name += "r"
	r.got = 0
	r.begun = false
}

// silentError says that a connection gave nothing for too long.
type silentError struct{}

// Error describes the fault.
func (silentError) Error() string { return "silent" }

// droppedError says that the caller itself dropped the connection.
type droppedError struct{}

// Error describes the fault.
func (droppedError) Error() string { return "dropped by the caller" }

// attempt sends the request once and reads the stream as far as it goes. It
// returns the refusal, if there is one.
func (r *request) attempt(ctx context.Context, address string, dropAt core.Tokens) (*problem, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	quiet := time.AfterFunc(silence, func() { cancel(silentError{}) })
	defer quiet.Stop()
	resp, err := r.post(ctx, address)
	if err != nil {
		return nil, errors.Join(err, context.Cause(ctx))
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		p := r.load.readProblem(resp)
		return &p, nil
	}
	r.begun = true
	events := sse.NewReader(resp.Body)
	for {
		e, err := events.Next()
		if err != nil {
			return nil, errors.Join(err, context.Cause(ctx))
		}
		quiet.Reset(silence)
		if e.Name == "error" {
			var p problem
			err := json.Unmarshal([]byte(e.Data), &p)
			r.load.judge.require(refusedProperly, err == nil && p.Reason != "" && p.RetryAfterMs > 0, "event %s", e.Data)
			r.load.judge.count("refusal in a stream " + p.Reason)
			return &p, nil
		}
		if e.Data == "[DONE]" {
			return nil, io.EOF
		}
		if !r.token(e) {
			return nil, io.EOF
		}
		if r.got == dropAt {
			r.load.judge.count("connections dropped by the caller")
			return nil, droppedError{}
		}
	}
}

// post opens the stream, from where the caller has got to.
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
	if r.begun {
		r.load.judge.count("answers resumed")
		req.Header.Set("Last-Event-ID", strconv.Itoa(int(r.got)))
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return client.Do(req)
}

// completionChunk is what a caller reads of one event.
type completionChunk struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// token checks one event against the answer that the engine must give.
func (r *request) token(e sse.Event) bool {
	var c completionChunk
	err := json.Unmarshal([]byte(e.Data), &c)
	next := r.got + 1
	id, idErr := strconv.Atoi(e.ID)
	ok := err == nil && idErr == nil && len(c.Choices) == 1 && core.Tokens(id) == next && next <= r.want &&
		c.Choices[0].Text == engine.AnswerToken(r.prompt, next) &&
		(c.Choices[0].FinishReason != nil) == (next == r.want)
	if !ok {
		r.load.judge.require(answerWhole, false, "%s: event %q %s in place of token %d of %d; %s",
			r.name, e.ID, e.Data, next, r.want, r.history())
		return false
	}
	r.got = next
	if r.got == r.want {
		r.load.judge.require(answerWhole, true, "")
	}
	return true
}
