package caller_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/caller"
	"github.com/matryer/is"
)

func readProblem(t *testing.T, resp *http.Response) caller.Problem {
	t.Helper()
	is := is.New(t)
	is.Equal(resp.Header.Get("Content-Type"), "application/problem+json")
	is.True(resp.Header.Get("Retry-After") != "")
	is.True(resp.Header.Get("Retry-After-Ms") != "")
	var p caller.Problem
	is.NoErr(json.Unmarshal([]byte(readBody(t, resp)), &p))
	is.Equal(p.Status, resp.StatusCode)
	is.Equal(p.Outcome, resp.Header.Get("Daisyshed-Outcome"))
	is.True(p.Detail != "")
	return p
}

func TestBadRequestsNeverReachTheCore(t *testing.T) {
	calls := "/v1/calls/pay"
	for name, c := range map[string]struct {
		path, body string
		headers    []string
		status     int
		reason     caller.Reason
	}{
		"too large":             {completionsPath, `{"model":"` + strings.Repeat("x", 2000) + `"}`, nil, 413, caller.BodyTooLarge},
		"not JSON":              {completionsPath, "{", nil, 400, caller.BodyNotJSON},
		"wrong type":            {completionsPath, `{"model":3}`, nil, 400, caller.BadField},
		"no model":              {completionsPath, `{"prompt":"x"}`, nil, 400, caller.BadField},
		"no prompt":             {completionsPath, `{"model":"p"}`, nil, 400, caller.BadField},
		"negative max_tokens":   {completionsPath, `{"model":"p","prompt":"x","max_tokens":-1}`, nil, 400, caller.BadField},
		"no messages":           {"/v1/chat/completions", `{"model":"p"}`, nil, 400, caller.BadField},
		"bad event id":          {completionsPath, streamedBody, []string{"Last-Event-ID", "x"}, 400, caller.BadHeader},
		"resume without stream": {completionsPath, unstreamedBody, []string{"Last-Event-ID", "1"}, 400, caller.BadHeader},
		"long id":               {completionsPath, unstreamedBody, []string{"X-Request-Id", strings.Repeat("x", 201)}, 400, caller.BadHeader},
		"bad first":             {calls, "{}", []string{"Idempotency-First", "x"}, 400, caller.BadHeader},
		"bad epoch":             {calls, "{}", []string{"Idempotency-Epoch", "x"}, 400, caller.BadHeader},
		"bad key":               {calls, "{}", []string{"Idempotency-Key", "a b"}, 400, caller.BadHeader},
		"call not JSON":         {calls, "x", nil, 400, caller.BodyNotJSON},
		"call too large":        {calls, `"` + strings.Repeat("x", 2000) + `"`, nil, 413, caller.BodyTooLarge},
		"unknown path":          {"/v1/nowhere", "{}", nil, 404, caller.NoSuchPath},
		"wrong method":          {"/v1/addresses", "{}", nil, 405, caller.MethodNotAllowed},
	} {
		t.Run(name, func(t *testing.T) {
			runWithNode(t, func(t *testing.T, n *testNode) {
				is := is.New(t)
				p := readProblem(t, n.post(t.Context(), c.path, c.body, c.headers...))
				is.Equal(p.Status, c.status)
				is.Equal(p.Reason, c.reason)
				is.Equal(p.Outcome, core.NotRun.String())
				is.Equal(len(n.messages), 0)
			})
		})
	}
}

func TestEveryReasonHasAStatusAndADetail(t *testing.T) {
	want := map[core.RejectionReason]int{
		core.UnknownProfile: 404,
		core.NoCapacity:     503,
		core.OverShare:      429,
		core.KeyMissing:     400,
		core.Leaving:        503,
	}
	for reason := core.UnknownProfile; reason <= core.AlreadyAnswered; reason++ {
		runWithNode(t, func(t *testing.T, n *testNode) {
			is := is.New(t)
			responses := n.postAsync(t.Context(), completionsPath, streamedBody)
			m, _ := n.nextRequest()
			n.server.RejectRequest(core.RejectRequest{Request: m.Request, Reason: reason, Outcome: core.NotRun, RetryAfter: 1500 * time.Millisecond})
			resp := <-responses
			is.Equal(resp.Header.Get("Retry-After"), "2")
			is.Equal(resp.Header.Get("Retry-After-Ms"), "1500")
			p := readProblem(t, resp)
			is.Equal(p.Reason, caller.Reason(reason.String()))
			is.True(p.Status != http.StatusInternalServerError)
			if status, ok := want[reason]; ok {
				is.Equal(p.Status, status)
			}
		})
	}
}

func TestRequestsInFlightAreLimited(t *testing.T) {
	runWithNode(t, func(t *testing.T, n *testNode) {
		is := is.New(t)
		var responses []<-chan *http.Response
		for range limits.Requests {
			responses = append(responses, n.postAsync(t.Context(), completionsPath, unstreamedBody))
		}
		var ids []core.RequestID
		for range limits.Requests {
			m, _ := n.nextRequest()
			ids = append(ids, m.Request)
		}
		p := readProblem(t, n.post(t.Context(), completionsPath, unstreamedBody))
		is.Equal(p.Reason, caller.TooManyRequests)
		for _, id := range ids {
			n.server.RejectRequest(core.RejectRequest{Request: id, Reason: core.NoCapacity, Outcome: core.NotRun})
		}
		for _, w := range responses {
			is.Equal(readProblem(t, <-w).Status, http.StatusServiceUnavailable)
		}
	})
}
