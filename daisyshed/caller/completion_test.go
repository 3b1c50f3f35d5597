package caller_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/engine"
	"daisyshed.dev/wire/sse"
	"github.com/matryer/is"
)

const (
	completions = "/v1/completions"
	streamed    = `{"model":"p","prompt":"one two three","max_tokens":7,"stream":true,"user":"c"}`
	whole       = `{"model":"p","prompt":["one two three"],"user":"c"}`
	chat        = `{"model":"p","messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}],"stream":true}`
)

type chunk struct {
	ID, Object, Model string
	Choices           []struct {
		Text           string
		Delta, Message struct{ Role, Content string }
		FinishReason   *string `json:"finish_reason"`
	}
	Usage struct {
		CompletionTokens int `json:"completion_tokens"`
	}
}

func parse(t *testing.T, data string) chunk {
	t.Helper()
	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		t.Fatalf("%v in %q", err, data)
	}
	return c
}

func TestStreamedAnswer(t *testing.T) {
	run(t, func(t *testing.T, n *node) {
		is := is.New(t)
		responses := n.start(t.Context(), completions, streamed, "X-Request-Id", "r1")
		m, a := n.request()
		is.Equal(m.Profile, core.ProfileID("p"))
		is.Equal(m.Customer, core.CustomerID("c"))
		is.Equal(m.MaxTokens, core.Tokens(7))
		is.Equal(m.Prompt.Tokens, core.Tokens(3))
		is.Equal(a.Text(), "one two three")
		is.NoErr(a.Token(1, "x ", false))
		resp := <-responses
		is.Equal(resp.Header.Get("X-Request-Id"), "r1")
		is.Equal(resp.Header.Get("Content-Type"), "text/event-stream")
		opened := make(chan *http.Response, 1)
		opened <- resp
		got := events(opened)
		is.NoErr(a.Token(2, "y", true))
		first := <-got
		is.Equal(first.ID, "1")
		is.Equal(parse(t, first.Data).Choices[0].Text, "x ")
		second := <-got
		is.Equal(second.ID, "2")
		is.Equal(*parse(t, second.Data).Choices[0].FinishReason, "stop")
		is.Equal(<-got, sse.Event{Data: "[DONE]"})
		_, more := <-got
		is.True(!more)
		synctest.Wait()
		is.Equal(len(n.messages), 0)
		_, there := n.server.Answer(m.Request)
		is.True(!there)
	})
}

func TestChatStream(t *testing.T) {
	run(t, func(t *testing.T, n *node) {
		is := is.New(t)
		responses := n.start(t.Context(), "/v1/chat/completions", chat)
		_, a := n.request()
		is.Equal(a.Text(), "user: hi\n")
		is.NoErr(a.Token(1, "x", true))
		resp := <-responses
		is.True(resp.Header.Get("X-Request-Id") != "")
		event, err := sse.NewReader(resp.Body).Next()
		is.NoErr(err)
		got := parse(t, event.Data)
		is.Equal(got.Object, "chat.completion.chunk")
		is.Equal(got.Choices[0].Delta.Role, "assistant")
		is.Equal(got.Choices[0].Delta.Content, "x")
		is.NoErr(resp.Body.Close())
	})
}

func TestWholeAnswer(t *testing.T) {
	run(t, func(t *testing.T, n *node) {
		is := is.New(t)
		responses := n.start(t.Context(), completions, whole)
		_, a := n.request()
		is.NoErr(a.Token(1, "x ", false))
		is.NoErr(a.Token(2, "y", true))
		resp := <-responses
		is.Equal(resp.StatusCode, http.StatusOK)
		got := parse(t, read(t, resp))
		is.Equal(got.Choices[0].Text, "x y")
		is.Equal(got.Usage.CompletionTokens, 2)
	})
}

func TestTokensGoOutOnceAndInOrder(t *testing.T) {
	run(t, func(t *testing.T, n *node) {
		is := is.New(t)
		responses := n.start(t.Context(), completions, whole)
		_, a := n.request()
		is.NoErr(a.Token(1, "x", false))
		is.NoErr(a.Token(1, "x", false))
		_, gap := a.Token(3, "z", false).(*engine.GapError)
		is.True(gap)
		is.Equal(a.Sent(), core.Tokens(1))
		is.NoErr(a.Token(2, "y", true))
		is.Equal(a.Token(3, "z", true), engine.CallerGoneError{})
		is.Equal(parse(t, read(t, <-responses)).Choices[0].Text, "xy")
	})
}

func TestResumeGoesOnAfterTheLastEvent(t *testing.T) {
	run(t, func(t *testing.T, n *node) {
		is := is.New(t)
		first := events(n.start(t.Context(), completions, streamed, "X-Request-Id", "r1"))
		m1, a := n.request()
		is.NoErr(a.Token(1, "x", false))
		is.NoErr(a.Token(2, "y", false))
		// The first connection is half open: the node has not noticed its loss.
		second := n.start(t.Context(), completions, streamed, "X-Request-Id", "r1", "Last-Event-ID", "1")
		is.Equal(<-n.messages, core.CallerDisconnected{Request: m1.Request})
		m2, b := n.request()
		is.Equal(m2.Request, m1.Request)
		is.True(m2.Resumed)
		is.Equal(m2.ResumeAfter, core.Tokens(1))
		is.Equal(a.Token(3, "z", false), engine.CallerGoneError{})
		resumed := events(second)
		is.NoErr(b.Token(2, "y", true))
		is.Equal((<-resumed).ID, "2")
		is.Equal((<-resumed).Data, "[DONE]")
		is.Equal((<-first).ID, "1")
		is.Equal((<-first).ID, "2")
		_, more := <-first
		is.True(!more)
	})
}

func TestRepetitionInProgressIsRefused(t *testing.T) {
	run(t, func(t *testing.T, n *node) {
		is := is.New(t)
		first := n.start(t.Context(), completions, whole, "X-Request-Id", "r1")
		_, a := n.request()
		resp := n.post(t.Context(), completions, whole, "X-Request-Id", "r1")
		is.Equal(resp.StatusCode, http.StatusConflict)
		is.True(strings.Contains(read(t, resp), `"InProgress"`))
		is.Equal(len(n.messages), 0)
		is.NoErr(a.Token(1, "x", true))
		is.Equal((<-first).StatusCode, http.StatusOK)
	})
}

func TestSameNameForAnotherRequestIsAnotherRequest(t *testing.T) {
	run(t, func(t *testing.T, n *node) {
		is := is.New(t)
		first := n.start(t.Context(), completions, whole, "X-Request-Id", "r1")
		m1, a := n.request()
		other := n.start(t.Context(), completions, strings.Replace(whole, `"c"`, `"d"`, 1), "X-Request-Id", "r1")
		m2, b := n.request()
		is.True(m1.Request != m2.Request)
		is.NoErr(a.Token(1, "x", true))
		is.NoErr(b.Token(1, "y", true))
		is.Equal(parse(t, read(t, <-first)).Choices[0].Text, "x")
		is.Equal(parse(t, read(t, <-other)).Choices[0].Text, "y")
	})
}

func TestCallerThatLeavesIsReportedOnce(t *testing.T) {
	run(t, func(t *testing.T, n *node) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		responses := n.start(ctx, completions, streamed)
		m, a := n.request()
		is.NoErr(a.Token(1, "x", false))
		<-responses
		cancel()
		is.Equal(<-n.messages, core.CallerDisconnected{Request: m.Request})
		is.Equal(a.Token(2, "y", false), engine.CallerGoneError{})
		synctest.Wait()
		is.Equal(len(n.messages), 0)
	})
}

func TestCallerThatDoesNotReadIsGivenUp(t *testing.T) {
	run(t, func(t *testing.T, n *node) {
		is := is.New(t)
		responses := n.start(t.Context(), completions, streamed)
		m, a := n.request()
		var err error
		start := time.Now()
		for i := core.Tokens(1); err == nil; i++ {
			err = a.Token(i, strings.Repeat("x", 1<<16), false)
		}
		is.Equal(err, engine.CallerGoneError{})
		is.Equal(time.Since(start), limits.WriteTimeout)
		is.Equal(<-n.messages, core.CallerDisconnected{Request: m.Request})
		is.NoErr((<-responses).Body.Close())
	})
}

func TestRefusalAfterTheStreamBegan(t *testing.T) {
	run(t, func(t *testing.T, n *node) {
		is := is.New(t)
		responses := n.start(t.Context(), completions, streamed)
		m, a := n.request()
		is.NoErr(a.Token(1, "x", false))
		n.server.RejectRequest(core.RejectRequest{Request: m.Request, Reason: core.UpstreamFailed, Outcome: core.Unknown})
		events := sse.NewReader((<-responses).Body)
		_, err := events.Next()
		is.NoErr(err)
		last, err := events.Next()
		is.NoErr(err)
		is.Equal(last.Name, "error")
		is.True(strings.Contains(last.Data, `"Reason":"UpstreamFailed"`))
		is.True(strings.Contains(last.Data, `"Outcome":"Unknown"`))
		_, err = events.Next()
		is.Equal(err, io.EOF)
	})
}

func TestACallerAtTheEndIsToldSo(t *testing.T) {
	run(t, func(t *testing.T, n *node) {
		is := is.New(t)
		responses := n.start(t.Context(), completions, streamed, "X-Request-Id", "r1", "Last-Event-ID", "7")
		m, a := n.request()
		is.True(m.Resumed)
		is.NoErr(a.Token(7, "", true))
		resp := <-responses
		is.Equal(resp.StatusCode, http.StatusOK)
		is.Equal(read(t, resp), "data: [DONE]\n\n")
		synctest.Wait()
		is.Equal(len(n.messages), 0)
	})
}

func TestACallerBeyondTheEndIsRefused(t *testing.T) {
	run(t, func(t *testing.T, n *node) {
		is := is.New(t)
		responses := n.start(t.Context(), completions, streamed, "X-Request-Id", "r1", "Last-Event-ID", "9")
		m, a := n.request()
		is.True(a.Token(7, "", true) != nil)
		resp := <-responses
		is.Equal(resp.StatusCode, http.StatusBadRequest)
		is.True(strings.Contains(read(t, resp), `"Reason":"BadHeader"`))
		synctest.Wait()
		// The core frees what the request holds.
		is.Equal(<-n.messages, core.CallerDisconnected{Request: m.Request})
	})
}
