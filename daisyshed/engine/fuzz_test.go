package engine_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/engine"
)

// scripted answers every request with the same bytes.
type scripted struct{ body string }

// RoundTrip serves http.RoundTripper.
func (s scripted) RoundTrip(r *http.Request) (*http.Response, error) {
	body := io.NopCloser(strings.NewReader(s.body))
	return &http.Response{StatusCode: http.StatusOK, Body: body, Request: r, Header: http.Header{}}, nil
}

// recorded keeps the tokens that it is sent.
type recorded struct{ tokens []core.Tokens }

func (r *recorded) Text() string      { return "prompt" }
func (r *recorded) Sent() core.Tokens { return core.Tokens(len(r.tokens)) }

func (r *recorded) Token(offset core.Tokens, _ string, _ bool) error {
	next := r.Sent() + 1
	if offset > next {
		return &engine.GapError{Want: next, Got: offset}
	}
	if offset == next {
		r.tokens = append(r.tokens, offset)
	}
	return nil
}

// Answer serves engine.Answers.
func (r *recorded) Answer(core.RequestID) (engine.Answer, bool) { return r, true }

// scriptedClient returns a client whose engine answers with body, and the
// messages that it sends.
func scriptedClient(body string) (*engine.Client, *recorded, chan core.Message) {
	messages := make(chan core.Message, 16)
	answer := &recorded{}
	return &engine.Client{
		HTTP:           &http.Client{Transport: scripted{body}},
		Answers:        answer,
		Send:           func(m core.Message) { messages <- m },
		StepTimeout:    time.Minute,
		ControlTimeout: time.Minute,
	}, answer, messages
}

func FuzzStream(f *testing.F) {
	f.Add("id: 1\ndata: {\"Text\":\"a\"}\n\nid: 2\ndata: {\"Text\":\"b\",\"Last\":true}\n\n")
	f.Add("id: 3\ndata: {\"Text\":\"a\"}\n\n")
	f.Add("id: -1\ndata: {\"Last\":true}\n\n")
	f.Add("id: 99999999999999999999\ndata: {}\n\n")
	f.Add("event: error\ndata: {\"Code\":\"Gone\"}\n\n")
	f.Add("data: [\n\n:\n\r\n\x00")
	f.Fuzz(func(t *testing.T, body string) {
		c, answer, messages := scriptedClient(body)
		c.Decode("engine", core.StartDecode{Engine: "e", Allocation: core.Allocation{Request: "r", Attempt: 1}})
		for m := range messages {
			switch m := m.(type) {
			case core.FirstToken:
				continue
			case core.StreamEnded:
				if m.Tokens != answer.Sent() || m.Tokens == 0 {
					t.Errorf("ended at %d after %d tokens", m.Tokens, answer.Sent())
				}
			case core.EngineFailed:
				if m.Emitted != answer.Sent() || m.Reason == "" {
					t.Errorf("failed at %d after %d tokens: %q", m.Emitted, answer.Sent(), m.Reason)
				}
			default:
				t.Errorf("unexpected %T", m)
			}
			return
		}
	})
}

func FuzzReport(f *testing.F) {
	f.Add(`{"State":"Serving","Role":"Decode","Pieces":40,"FreePieces":30,"Held":[{"Tokens":5}]}`)
	f.Add(`{"State":"Serving","Role":"Prefill","Pieces":-1}`)
	f.Add(`{"State":"Serving","Role":"Prefill","Pieces":4,"FreePieces":5}`)
	f.Add(`{"State":"Idle","Role":"Prefill"}`)
	f.Add(`{"State":"Serving","Role":"Decode","Events":[{"Block":18446744073709551615}],"EventsFrom":9}`)
	f.Add(`[]`)
	f.Add(``)
	f.Fuzz(func(t *testing.T, body string) {
		c, _, messages := scriptedClient(body)
		c.Poll("engine", core.PollEngine{Engine: "e"})
		switch m := (<-messages).(type) {
		case core.EngineReport:
			if m.Engine != "e" || m.FreePieces < 0 || m.FreePieces > m.Pieces || m.Queued < 0 || m.Running < 0 {
				t.Errorf("impossible report %+v", m)
			}
		case core.EngineUnreachable:
			if m.Reason == "" {
				t.Error("no reason")
			}
		default:
			t.Errorf("unexpected %T", m)
		}
	})
}

func FuzzPrefillResult(f *testing.F) {
	f.Add(`{"Cached":3}`)
	f.Add(`{"Cached":-3}`)
	f.Add(`{"Cached":"x"}`)
	f.Fuzz(func(t *testing.T, body string) {
		c, _, messages := scriptedClient(body)
		c.Prefill("engine", core.StartPrefill{Engine: "e", Prompt: core.Prompt{Tokens: 10}})
		switch m := (<-messages).(type) {
		case core.PrefillDone:
			if m.Cached < 0 || m.Cached > 10 {
				t.Errorf("%d of 10 tokens cached", m.Cached)
			}
		case core.EngineFailed:
		default:
			t.Errorf("unexpected %T", m)
		}
	})
}
