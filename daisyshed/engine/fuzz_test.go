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

// scriptedTransport is a transport that answers every request with the same body.
type scriptedTransport struct{ body string }

// RoundTrip implements http.RoundTripper.
func (s scriptedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	body := io.NopCloser(strings.NewReader(s.body))
	return &http.Response{StatusCode: http.StatusOK, Body: body, Request: r, Header: http.Header{}}, nil
}

// recordedAnswer is an answer that records the offsets of the tokens sent to it.
type recordedAnswer struct{ tokens []core.Tokens }

func (r *recordedAnswer) Prompt() string          { return "prompt" }
func (r *recordedAnswer) TokensSent() core.Tokens { return core.Tokens(len(r.tokens)) }

func (r *recordedAnswer) SendToken(offset core.Tokens, _ string, _ bool) error {
	next := r.TokensSent() + 1
	if offset > next {
		return &engine.GapError{Want: next, Got: offset}
	}
	if offset == next {
		r.tokens = append(r.tokens, offset)
	}
	return nil
}

// Answer implements engine.AnswerLookup.
func (r *recordedAnswer) Answer(core.RequestID) (engine.AnswerSink, bool) { return r, true }

// scriptedClient returns a client whose engine answers every request with body,
// the answer that it writes to, and the messages that it sends.
func scriptedClient(body string) (*engine.Client, *recordedAnswer, chan core.Message) {
	messages := make(chan core.Message, 16)
	answer := &recordedAnswer{}
	return &engine.Client{
		HTTP:           &http.Client{Transport: scriptedTransport{body}},
		Answers:        answer,
		SendToCore:     func(m core.Message) { messages <- m },
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
				if m.Tokens != answer.TokensSent() || m.Tokens == 0 {
					t.Errorf("StreamEnded reports %d tokens, want the %d sent to the caller, at least one", m.Tokens, answer.TokensSent())
				}
			case core.EngineFailed:
				if m.Emitted != answer.TokensSent() || m.Reason == "" {
					t.Errorf("EngineFailed reports %d tokens, want the %d sent to the caller, and a reason: %q", m.Emitted, answer.TokensSent(), m.Reason)
				}
			default:
				t.Errorf("unexpected message %T", m)
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
				t.Errorf("report with inconsistent counts: %+v", m)
			}
		case core.EngineUnreachable:
			if m.Reason == "" {
				t.Error("EngineUnreachable without a reason")
			}
		default:
			t.Errorf("unexpected message %T", m)
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
				t.Errorf("PrefillDone reports %d of 10 tokens as cached", m.Cached)
			}
		case core.EngineFailed:
		default:
			t.Errorf("unexpected message %T", m)
		}
	})
}
