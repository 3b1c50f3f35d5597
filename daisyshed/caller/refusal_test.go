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

func problem(t *testing.T, resp *http.Response) caller.Problem {
	t.Helper()
	is := is.New(t)
	is.Equal(resp.Header.Get("Content-Type"), "application/problem+json")
	is.True(resp.Header.Get("Retry-After") != "")
	is.True(resp.Header.Get("Retry-After-Ms") != "")
	var p caller.Problem
	is.NoErr(json.Unmarshal([]byte(read(t, resp)), &p))
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
		"too large":      {completions, `{"model":"` + strings.Repeat("x", 2000) + `"}`, nil, 413, caller.BodyTooLarge},
		"not JSON":       {completions, "{", nil, 400, caller.BodyNotJSON},
		"wrong type":     {completions, `{"model":3}`, nil, 400, caller.BadField},
		"no model":       {completions, `{"prompt":"x"}`, nil, 400, caller.BadField},
		"no prompt":      {completions, `{"model":"p"}`, nil, 400, caller.BadField},
		"negative":       {completions, `{"model":"p","prompt":"x","max_tokens":-1}`, nil, 400, caller.BadField},
		"no messages":    {"/v1/chat/completions", `{"model":"p"}`, nil, 400, caller.BadField},
		"bad event id":   {completions, streamed, []string{"Last-Event-ID", "x"}, 400, caller.BadHeader},
		"resumes whole":  {completions, whole, []string{"Last-Event-ID", "1"}, 400, caller.BadHeader},
		"long id":        {completions, whole, []string{"X-Request-Id", strings.Repeat("x", 201)}, 400, caller.BadHeader},
		"bad first":      {calls, "{}", []string{"Idempotency-First", "x"}, 400, caller.BadHeader},
		"bad epoch":      {calls, "{}", []string{"Idempotency-Epoch", "x"}, 400, caller.BadHeader},
		"bad key":        {calls, "{}", []string{"Idempotency-Key", "a b"}, 400, caller.BadHeader},
		"call not JSON":  {calls, "x", nil, 400, caller.BodyNotJSON},
		"call too large": {calls, `"` + strings.Repeat("x", 2000) + `"`, nil, 413, caller.BodyTooLarge},
		"nowhere":        {"/v1/nowhere", "{}", nil, 404, caller.NoSuchPath},
		"wrong method":   {"/v1/addresses", "{}", nil, 405, caller.MethodNotAllowed},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(t *testing.T, n *node) {
				is := is.New(t)
				p := problem(t, n.post(t.Context(), c.path, c.body, c.headers...))
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
		run(t, func(t *testing.T, n *node) {
			is := is.New(t)
			responses := n.start(t.Context(), completions, streamed)
			m, _ := n.request()
			n.server.RejectRequest(core.RejectRequest{Request: m.Request, Reason: reason, Outcome: core.NotRun, RetryAfter: 1500 * time.Millisecond})
			resp := <-responses
			is.Equal(resp.Header.Get("Retry-After"), "2")
			is.Equal(resp.Header.Get("Retry-After-Ms"), "1500")
			p := problem(t, resp)
			is.Equal(p.Reason, caller.Reason(reason.String()))
			is.True(p.Status != http.StatusInternalServerError)
			if status, ok := want[reason]; ok {
				is.Equal(p.Status, status)
			}
		})
	}
}

func TestRequestsAreBounded(t *testing.T) {
	run(t, func(t *testing.T, n *node) {
		is := is.New(t)
		var waiting []<-chan *http.Response
		for range limits.Requests {
			waiting = append(waiting, n.start(t.Context(), completions, whole))
		}
		var ids []core.RequestID
		for range limits.Requests {
			m, _ := n.request()
			ids = append(ids, m.Request)
		}
		p := problem(t, n.post(t.Context(), completions, whole))
		is.Equal(p.Reason, caller.TooManyRequests)
		for _, id := range ids {
			n.server.RejectRequest(core.RejectRequest{Request: id, Reason: core.NoCapacity, Outcome: core.NotRun})
		}
		for _, w := range waiting {
			is.Equal(problem(t, <-w).Status, http.StatusServiceUnavailable)
		}
	})
}
