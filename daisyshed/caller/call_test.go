package caller_test

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/caller"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestCallIsForwardedAndAnswered(t *testing.T) {
	runWithNode(t, func(t *testing.T, n *testNode) {
		is := is.New(t)
		responses := n.postAsync(t.Context(), "/v1/calls/pay-post", `{"Cents":5}`,
			"Idempotency-Key", "k1", "Idempotency-Epoch", "77", "Daisyshed-Customer", "c")
		m := (<-n.messages).(core.ServiceCall)
		is.Equal(m, core.ServiceCall{Call: m.Call, Profile: "pay-post", Customer: "c", Key: "k1", KeyMinted: 77, Body: []byte(`{"Cents":5}`)})
		n.server.AnswerCall(core.AnswerCall{Call: m.Call, Outcome: core.Ran, Status: 201, Body: []byte(`{"OK":true}`)})
		n.server.AnswerCall(core.AnswerCall{Call: m.Call, Outcome: core.Unknown})
		resp := <-responses
		is.Equal(resp.StatusCode, http.StatusCreated)
		is.Equal(resp.Header.Get("Daisyshed-Outcome"), "Ran")
		is.Equal(readBody(t, resp), `{"OK":true}`)
	})
}

func TestCallOutcomesAreReported(t *testing.T) {
	for _, c := range []struct {
		answer core.AnswerCall
		status int
	}{
		{core.AnswerCall{Outcome: core.NotRun, Reason: core.KeyMissing}, 400},
		{core.AnswerCall{Outcome: core.NotRun, Reason: core.UnknownProfile}, 404},
		{core.AnswerCall{Outcome: core.NotRun, Reason: core.LogUnavailable}, 503},
		{core.AnswerCall{Outcome: core.Unknown, Reason: core.InProgress}, 409},
		{core.AnswerCall{Outcome: core.Unknown}, 504},
	} {
		runWithNode(t, func(t *testing.T, n *testNode) {
			is := is.New(t)
			responses := n.postAsync(t.Context(), "/v1/calls/pay-post", `{}`)
			c.answer.Call = (<-n.messages).(core.ServiceCall).Call
			n.server.AnswerCall(c.answer)
			p := readProblem(t, <-responses)
			is.Equal(p.Status, c.status)
			is.Equal(p.Outcome, c.answer.Outcome.String())
		})
	}
}

func TestCallThatTimesOutIsUnknown(t *testing.T) {
	runWithNode(t, func(t *testing.T, n *testNode) {
		is := is.New(t)
		start := time.Now()
		p := readProblem(t, n.post(t.Context(), "/v1/calls/pay-post", `{}`))
		is.Equal(time.Since(start), limits.CallTimeout)
		is.Equal(p.Outcome, core.Unknown.String())
		is.Equal(p.Status, http.StatusGatewayTimeout)
	})
}

func TestAddresses(t *testing.T) {
	runWithNode(t, func(t *testing.T, n *testNode) {
		is := is.New(t)
		responses := make(chan *http.Response, 1)
		go func() {
			resp, err := n.client.Get("http://n/v1/addresses?domain=d1")
			is.NoErr(err)
			responses <- resp
		}()
		m := (<-n.messages).(core.AddressQuery)
		is.Equal(m.Domain, core.DomainID("d1"))
		list := []core.NodeAddress{{Node: "n", Domain: "d1", Address: "127.0.0.1:1", Weight: 0.5}}
		n.server.AnswerAddresses(core.AnswerAddresses{Query: m.Query, Addresses: list, Lifetime: 2500 * time.Millisecond, Epoch: 1 << 60})
		resp := <-responses
		is.Equal(resp.Header.Get("Cache-Control"), "max-age=2")
		var got caller.AddressList
		is.NoErr(json.Unmarshal([]byte(readBody(t, resp)), &got))
		is.Equal(got, caller.AddressList{Addresses: list, LifetimeMs: 2500, Epoch: "1152921504606846976"})
	})
}

func TestEqualBlocksMeanEqualPrefixes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		words := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "ab"}), 600, 900)
		a, b := words.Draw(t, "a"), words.Draw(t, "b")
		shared := rapid.IntRange(0, 600).Draw(t, "shared")
		copy(b[:shared], a[:shared])
		pa, pb := caller.Tokenise(joinWords(a)), caller.Tokenise(joinWords(b))
		is.Equal(pa.Tokens, core.Tokens(len(a)))
		is.Equal(len(pa.Blocks), len(a)/int(core.BlockTokens))
		for i := range min(len(pa.Blocks), len(pb.Blocks)) {
			end := (i + 1) * int(core.BlockTokens)
			is.Equal(pa.Blocks[i] == pb.Blocks[i], joinWords(a[:end]) == joinWords(b[:end]))
		}
	})
}

func joinWords(words []string) string {
	text := ""
	for _, w := range words {
		text += w + " \n"
	}
	return text
}
