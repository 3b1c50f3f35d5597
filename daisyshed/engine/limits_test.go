package engine_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/engine"
	"github.com/matryer/is"
)

// endlessTransport answers every request with a body that repeats text without end.
type endlessTransport struct{ text string }

// Read implements io.Reader.
func (e endlessTransport) Read(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		n += copy(p[n:], e.text)
	}
	return n, nil
}

// RoundTrip implements http.RoundTripper.
func (e endlessTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(e), Request: r, Header: http.Header{}}, nil
}

// A response without end is not a response, and operators must see what it was.
func TestEndlessResponseOfAnEngineIsTooLong(t *testing.T) {
	allocation := core.Allocation{Request: "r", Attempt: 1}
	for name, test := range map[string]struct {
		send   func(c *engine.Client)
		reason func(m core.Message) string
	}{
		"report": {
			func(c *engine.Client) { c.Poll("e", core.PollEngine{Engine: "e"}) },
			func(m core.Message) string { return m.(core.EngineUnreachable).Reason },
		},
		"release": {
			func(c *engine.Client) { c.Release("e", core.ReleaseMemory{Engine: "e", Allocation: allocation}) },
			func(m core.Message) string {
				failed, _ := m.(core.ReleaseFailed)
				return failed.Reason
			},
		},
		"stream": {
			func(c *engine.Client) { c.Decode("e", core.StartDecode{Engine: "e", Allocation: allocation}) },
			func(m core.Message) string { return m.(core.EngineFailed).Reason },
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			messages := make(chan core.Message, 8)
			test.send(&engine.Client{
				HTTP: &http.Client{Transport: endlessTransport{" "}}, Answers: &recordedAnswer{},
				SendToCore: func(m core.Message) { messages <- m }, StepTimeout: time.Minute, ControlTimeout: time.Minute,
			})
			reason := test.reason(<-messages)
			if !strings.Contains(reason, "exceeds") {
				t.Errorf("reason %q", reason)
			}
			is.Equal(len(messages), 0)
		})
	}
}
