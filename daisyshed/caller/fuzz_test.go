package caller_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/caller"
)

// newRejectingServer returns a server whose core immediately rejects every
// request and call.
func newRejectingServer() *caller.Server {
	s := &caller.Server{Node: "n", Limits: limits}
	s.SendToCore = func(m core.Message) {
		switch m := m.(type) {
		case core.CallerRequest:
			s.RejectRequest(core.RejectRequest{Request: m.Request, Reason: core.NoCapacity, Outcome: core.NotRun})
		case core.ServiceCall:
			s.AnswerCall(core.AnswerCall{Call: m.Call, Reason: core.NoCapacity, Outcome: core.NotRun})
		}
	}
	return s
}

// FuzzRequest sends arbitrary bodies and headers to every endpoint that takes a
// body. Each response must be a problem with a reason.
func FuzzRequest(f *testing.F) {
	f.Add(streamedBody, "r1", "3", "key", "17")
	f.Add(unstreamedBody, "", "", "", "")
	f.Add(chatBody, "r1", "-1", "k\x00", "x")
	f.Add(`{"model":"p","messages":[{"content":[{"type":"image"}]}]}`, "r 1", "99999999999", "", "-5")
	f.Add(`{"model":"p","prompt":[1],"max_tokens":-1}`, strings.Repeat("x", 300), "", "", "")
	f.Add(`{"model":{}}`, "", "", "", "")
	f.Add(`[[[[`, "", "", "", "")
	f.Fuzz(func(t *testing.T, body, name, last, key, epoch string) {
		handler := newRejectingServer().Handler()
		for _, path := range []string{completionsPath, "/v1/chat/completions", "/v1/calls/p"} {
			r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
			r.Header.Set("X-Request-Id", name)
			r.Header.Set("Last-Event-ID", last)
			r.Header.Set("Idempotency-Key", key)
			r.Header.Set("Idempotency-Epoch", epoch)
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, r)
			var p caller.Problem
			if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil || p.Status != w.Code || p.Outcome != "NotRun" {
				t.Fatalf("%s: status %d, body %q: %v", path, w.Code, w.Body, err)
			}
			if w.Code < 400 || w.Header().Get("Retry-After") == "" || p.Reason == "" {
				t.Fatalf("%s: status %d, headers %v", path, w.Code, w.Header())
			}
		}
	})
}
