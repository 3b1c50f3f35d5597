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
	completionsPath = "/v1/completions"
	streamedBody    = `{"model":"p","prompt":"one two three","max_tokens":7,"stream":true,"user":"c"}`
	unstreamedBody  = `{"model":"p","prompt":["one two three"],"user":"c"}`
	chatBody        = `{"model":"p","messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}],"stream":true}`
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

func parseChunk(t *testing.T, data string) chunk {
	t.Helper()
	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		t.Fatalf("%v in %q", err, data)
	}
	return c
}

func TestStreamedAnswer(t *testing.T) {
	runWithNode(t, func(t *testing.T, n *testNode) {
		is := is.New(t)
		responses := n.postAsync(t.Context(), completionsPath, streamedBody, "X-Request-Id", "r1")
		m, a := n.nextRequest()
		is.Equal(m.Profile, core.ProfileID("p"))
		is.Equal(m.Customer, core.CustomerID("c"))
		is.Equal(m.MaxTokens, core.Tokens(7))
		is.Equal(m.Prompt.Tokens, core.Tokens(3))
		is.Equal(a.Prompt(), "one two three")
		is.NoErr(a.SendToken(1, "x ", false))
		resp := <-responses
		is.Equal(resp.Header.Get("X-Request-Id"), "r1")
		is.Equal(resp.Header.Get("Content-Type"), "text/event-stream")
		opened := make(chan *http.Response, 1)
		opened <- resp
		got := readEvents(opened)
		is.NoErr(a.SendToken(2, "y", true))
		first := <-got
		is.Equal(first.ID, "1")
		is.Equal(parseChunk(t, first.Data).Choices[0].Text, "x ")
		second := <-got
		is.Equal(second.ID, "2")
		is.Equal(*parseChunk(t, second.Data).Choices[0].FinishReason, "stop")
		is.Equal(<-got, sse.Event{Data: "[DONE]"})
		_, more := <-got
		is.True(!more)
		synctest.Wait()
		is.Equal(len(n.messages), 0)
		_, found := n.server.Answer(m.Request)
		is.True(!found)
	})
}

func TestChatStream(t *testing.T) {
	runWithNode(t, func(t *testing.T, n *testNode) {
		is := is.New(t)
		responses := n.postAsync(t.Context(), "/v1/chat/completions", chatBody)
		_, a := n.nextRequest()
		is.Equal(a.Prompt(), "user: hi\n")
		is.NoErr(a.SendToken(1, "x", true))
		resp := <-responses
		is.True(resp.Header.Get("X-Request-Id") != "")
		event, err := sse.NewReader(resp.Body).Next()
		is.NoErr(err)
		got := parseChunk(t, event.Data)
		is.Equal(got.Object, "chat.completion.chunk")
		is.Equal(got.Choices[0].Delta.Role, "assistant")
		is.Equal(got.Choices[0].Delta.Content, "x")
		is.NoErr(resp.Body.Close())
	})
}

func TestAnswerWithoutStreaming(t *testing.T) {
	runWithNode(t, func(t *testing.T, n *testNode) {
		is := is.New(t)
		responses := n.postAsync(t.Context(), completionsPath, unstreamedBody)
		_, a := n.nextRequest()
		is.NoErr(a.SendToken(1, "x ", false))
		is.NoErr(a.SendToken(2, "y", true))
		resp := <-responses
		is.Equal(resp.StatusCode, http.StatusOK)
		got := parseChunk(t, readBody(t, resp))
		is.Equal(got.Choices[0].Text, "x y")
		is.Equal(got.Usage.CompletionTokens, 2)
	})
}

func TestTokensAreSentOnceAndInOrder(t *testing.T) {
	runWithNode(t, func(t *testing.T, n *testNode) {
		is := is.New(t)
		responses := n.postAsync(t.Context(), completionsPath, unstreamedBody)
		_, a := n.nextRequest()
		is.NoErr(a.SendToken(1, "x", false))
		is.NoErr(a.SendToken(1, "x", false))
		_, gap := a.SendToken(3, "z", false).(*engine.GapError)
		is.True(gap)
		is.Equal(a.TokensSent(), core.Tokens(1))
		is.NoErr(a.SendToken(2, "y", true))
		is.Equal(a.SendToken(3, "z", true), engine.CallerDisconnectedError{})
		is.Equal(parseChunk(t, readBody(t, <-responses)).Choices[0].Text, "xy")
	})
}

func TestResumeContinuesAfterTheLastEvent(t *testing.T) {
	runWithNode(t, func(t *testing.T, n *testNode) {
		is := is.New(t)
		first := readEvents(n.postAsync(t.Context(), completionsPath, streamedBody, "X-Request-Id", "r1"))
		m1, a := n.nextRequest()
		is.NoErr(a.SendToken(1, "x", false))
		is.NoErr(a.SendToken(2, "y", false))
		// The first connection is half-open: the node has not yet detected that
		// the caller lost it.
		second := n.postAsync(t.Context(), completionsPath, streamedBody, "X-Request-Id", "r1", "Last-Event-ID", "1")
		is.Equal(<-n.messages, core.CallerDisconnected{Request: m1.Request})
		m2, b := n.nextRequest()
		is.Equal(m2.Request, m1.Request)
		is.True(m2.Resumed)
		is.Equal(m2.ResumeAfter, core.Tokens(1))
		is.Equal(a.SendToken(3, "z", false), engine.CallerDisconnectedError{})
		resumed := readEvents(second)
		is.NoErr(b.SendToken(2, "y", true))
		is.Equal((<-resumed).ID, "2")
		is.Equal((<-resumed).Data, "[DONE]")
		is.Equal((<-first).ID, "1")
		is.Equal((<-first).ID, "2")
		_, more := <-first
		is.True(!more)
	})
}

func TestRepeatedRequestInProgressIsRejected(t *testing.T) {
	runWithNode(t, func(t *testing.T, n *testNode) {
		is := is.New(t)
		first := n.postAsync(t.Context(), completionsPath, unstreamedBody, "X-Request-Id", "r1")
		_, a := n.nextRequest()
		resp := n.post(t.Context(), completionsPath, unstreamedBody, "X-Request-Id", "r1")
		is.Equal(resp.StatusCode, http.StatusConflict)
		is.True(strings.Contains(readBody(t, resp), `"InProgress"`))
		is.Equal(len(n.messages), 0)
		is.NoErr(a.SendToken(1, "x", true))
		is.Equal((<-first).StatusCode, http.StatusOK)
	})
}

func TestSameRequestIDFromAnotherCustomerIsAnotherRequest(t *testing.T) {
	runWithNode(t, func(t *testing.T, n *testNode) {
		is := is.New(t)
		first := n.postAsync(t.Context(), completionsPath, unstreamedBody, "X-Request-Id", "r1")
		m1, a := n.nextRequest()
		other := n.postAsync(t.Context(), completionsPath, strings.Replace(unstreamedBody, `"c"`, `"d"`, 1), "X-Request-Id", "r1")
		m2, b := n.nextRequest()
		is.True(m1.Request != m2.Request)
		is.NoErr(a.SendToken(1, "x", true))
		is.NoErr(b.SendToken(1, "y", true))
		is.Equal(parseChunk(t, readBody(t, <-first)).Choices[0].Text, "x")
		is.Equal(parseChunk(t, readBody(t, <-other)).Choices[0].Text, "y")
	})
}

func TestDisconnectIsReportedOnce(t *testing.T) {
	runWithNode(t, func(t *testing.T, n *testNode) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		responses := n.postAsync(ctx, completionsPath, streamedBody)
		m, a := n.nextRequest()
		is.NoErr(a.SendToken(1, "x", false))
		<-responses
		cancel()
		is.Equal(<-n.messages, core.CallerDisconnected{Request: m.Request})
		is.Equal(a.SendToken(2, "y", false), engine.CallerDisconnectedError{})
		synctest.Wait()
		is.Equal(len(n.messages), 0)
	})
}

func TestCallerThatDoesNotReadTimesOut(t *testing.T) {
	runWithNode(t, func(t *testing.T, n *testNode) {
		is := is.New(t)
		responses := n.postAsync(t.Context(), completionsPath, streamedBody)
		m, a := n.nextRequest()
		var err error
		start := time.Now()
		for i := core.Tokens(1); err == nil; i++ {
			err = a.SendToken(i, strings.Repeat("x", 1<<16), false)
		}
		is.Equal(err, engine.CallerDisconnectedError{})
		is.Equal(time.Since(start), limits.WriteTimeout)
		is.Equal(<-n.messages, core.CallerDisconnected{Request: m.Request})
		is.NoErr((<-responses).Body.Close())
	})
}

func TestRejectionAfterTheStreamStarted(t *testing.T) {
	runWithNode(t, func(t *testing.T, n *testNode) {
		is := is.New(t)
		responses := n.postAsync(t.Context(), completionsPath, streamedBody)
		m, a := n.nextRequest()
		is.NoErr(a.SendToken(1, "x", false))
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

func TestResumeAtTheEndSendsOnlyDone(t *testing.T) {
	runWithNode(t, func(t *testing.T, n *testNode) {
		is := is.New(t)
		responses := n.postAsync(t.Context(), completionsPath, streamedBody, "X-Request-Id", "r1", "Last-Event-ID", "7")
		m, a := n.nextRequest()
		is.True(m.Resumed)
		is.NoErr(a.SendToken(7, "", true))
		resp := <-responses
		is.Equal(resp.StatusCode, http.StatusOK)
		is.Equal(readBody(t, resp), "data: [DONE]\n\n")
		synctest.Wait()
		is.Equal(len(n.messages), 0)
	})
}

func TestResumeBeyondTheEndIsRejected(t *testing.T) {
	runWithNode(t, func(t *testing.T, n *testNode) {
		is := is.New(t)
		responses := n.postAsync(t.Context(), completionsPath, streamedBody, "X-Request-Id", "r1", "Last-Event-ID", "9")
		m, a := n.nextRequest()
		is.True(a.SendToken(7, "", true) != nil)
		resp := <-responses
		is.Equal(resp.StatusCode, http.StatusBadRequest)
		is.True(strings.Contains(readBody(t, resp), `"Reason":"BadHeader"`))
		synctest.Wait()
		// CallerDisconnected makes the core release the request's memory and slots.
		is.Equal(<-n.messages, core.CallerDisconnected{Request: m.Request})
	})
}
