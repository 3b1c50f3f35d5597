package engine_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/engine"
	wire "daisyshed.dev/wire/engine"
	"github.com/matryer/is"
)

const stepTimeout = 5 * time.Second

// answer collects the tokens sent to one caller and ignores duplicates.
type answer struct {
	mu   sync.Mutex
	text string
	sent core.Tokens
}

func (a *answer) Prompt() string { return "a prompt" }

func (a *answer) TokensSent() core.Tokens {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sent
}

func (a *answer) SendToken(offset core.Tokens, text string, _ bool) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if offset <= a.sent {
		return nil
	}
	if offset > a.sent+1 {
		return &engine.GapError{Want: a.sent + 1, Got: offset}
	}
	a.sent = offset
	a.text += text
	return nil
}

// fakeEngines is a client whose requests are answered by fake engines, one per
// address. They reject every request while rejection is set.
type fakeEngines struct {
	client    *engine.Client
	answer    *answer
	messages  chan core.Message
	mu        sync.Mutex
	streams   map[string]*io.PipeWriter
	requests  map[string]string
	rejection *wire.ErrorBody
}

func newEngines() *fakeEngines {
	e := &fakeEngines{
		answer:   &answer{},
		messages: make(chan core.Message, 64),
		streams:  map[string]*io.PipeWriter{},
		requests: map[string]string{},
	}
	e.client = &engine.Client{
		HTTP:           &http.Client{Transport: e},
		Answers:        e,
		SendToCore:     func(m core.Message) { e.messages <- m },
		StepTimeout:    stepTimeout,
		ControlTimeout: time.Second,
		OrderTimeout:   time.Second,
	}
	return e
}

func (e *fakeEngines) Answer(id core.RequestID) (engine.AnswerSink, bool) {
	return e.answer, id == "r"
}

// RoundTrip answers a request to an engine. The response to a decode is a stream
// to which the test writes.
func (e *fakeEngines) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests[r.URL.Host+r.URL.Path] = string(body)
	if e.rejection != nil {
		data, err := json.Marshal(e.rejection)
		return response(http.StatusConflict, io.NopCloser(strings.NewReader(string(data)))), err
	}
	if r.URL.Path != wire.DecodePath {
		return response(http.StatusOK, io.NopCloser(strings.NewReader(`{"Cached":5}`))), nil
	}
	reader, writer := io.Pipe()
	e.streams[r.URL.Host] = writer
	go func() {
		<-r.Context().Done()
		writer.CloseWithError(r.Context().Err())
	}()
	return response(http.StatusOK, reader), nil
}

func response(status int, body io.ReadCloser) *http.Response {
	return &http.Response{StatusCode: status, Body: body, Header: http.Header{}}
}

// write writes text to the decode stream of a host, once all goroutines are
// blocked, and waits until the client has read it.
func (e *fakeEngines) write(host, text string) {
	synctest.Wait()
	e.mu.Lock()
	w := e.streams[host]
	e.mu.Unlock()
	// The write fails if the client has cancelled the stream.
	_, _ = io.WriteString(w, text)
	synctest.Wait()
}

// end closes the decode stream of a host.
func (e *fakeEngines) end(host string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streams[host].Close()
}

func token(offset int, text string, last bool) string {
	return fmt.Sprintf("id: %d\ndata: {\"Text\":%q,\"Last\":%t}\n\n", offset, text, last)
}

func allocation(attempt core.Attempt) core.Allocation {
	return core.Allocation{Request: "r", Attempt: attempt, Holder: "n", Incarnation: 1}
}

func decode(id core.EngineID, attempt core.Attempt, emitted core.Tokens) core.StartDecode {
	return core.StartDecode{Engine: id, Allocation: allocation(attempt), Emitted: emitted, MaxTokens: 9}
}

func TestEachTokenReachesTheCallerOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngines()
		e.client.Decode("d1", decode("d1", 1, 0))
		e.write("d1", token(1, "a", false)+token(2, "b", false)+token(2, "b", false)+token(1, "a", false)+token(3, "c", true))
		is.Equal(<-e.messages, core.FirstToken{Allocation: allocation(1)})
		is.Equal(<-e.messages, core.StreamEnded{Allocation: allocation(1), Tokens: 3})
		is.Equal(e.answer.text, "abc")
		is.Equal(len(e.messages), 0)
	})
}

func TestBrokenStreamReportsTheTokensSent(t *testing.T) {
	for name, fault := range map[string]string{
		"ends":    token(1, "a", false),
		"skips":   token(1, "a", false) + token(3, "c", false),
		"no id":   token(1, "a", false) + "data: {}\n\n",
		"no JSON": token(1, "a", false) + "id: 2\ndata: x\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				e := newEngines()
				e.client.Decode("d1", decode("d1", 1, 0))
				e.write("d1", fault)
				e.end("d1")
				is.Equal(<-e.messages, core.FirstToken{Allocation: allocation(1)})
				failed := (<-e.messages).(core.EngineFailed)
				is.Equal(failed.Step, core.DecodeStep)
				is.Equal(failed.Allocation, allocation(1))
				is.Equal(failed.Emitted, core.Tokens(1))
				is.Equal(e.answer.text, "a")
			})
		})
	}
}

func TestStalledStreamFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngines()
		start := time.Now()
		e.client.Decode("d1", decode("d1", 1, 0))
		failed := (<-e.messages).(core.EngineFailed)
		is.Equal(failed.Reason, engine.StalledStreamError{}.Error())
		is.Equal(time.Since(start), stepTimeout)
	})
}

// An engine sends tokens again that its caller has, and no new one.
func TestStreamThatRepeatsItselfFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngines()
		e.client.Decode("d1", decode("d1", 1, 0))
		e.write("d1", token(1, "a", false))
		is.Equal(<-e.messages, core.FirstToken{Allocation: allocation(1)})
		for range 3 {
			time.Sleep(stepTimeout / 2)
			e.write("d1", ": x\n\n"+token(1, "a", false))
		}
		is.Equal(len(e.messages), 1)
		is.Equal((<-e.messages).(core.EngineFailed).Reason, engine.StalledStreamError{}.Error())
	})
}

func TestNewerAttemptSupersedesOlderStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngines()
		e.client.Decode("d1", decode("d1", 1, 0))
		e.write("d1", token(1, "a", false)+token(2, "b", false))
		e.client.Decode("d2", decode("d2", 2, 0))
		e.write("d1", token(3, "x", false))
		e.write("d2", token(2, "b", false)+token(3, "c", false)+token(4, "d", true))
		is.Equal(<-e.messages, core.FirstToken{Allocation: allocation(1)})
		is.Equal(<-e.messages, core.FirstToken{Allocation: allocation(2)})
		is.Equal(<-e.messages, core.StreamEnded{Allocation: allocation(2), Tokens: 4})
		is.Equal(e.answer.text, "abcd")
		var sent wire.DecodeRequest
		is.NoErr(json.Unmarshal([]byte(e.requests["d2"+wire.DecodePath]), &sent))
		is.Equal(sent.After, core.Tokens(2))
		is.Equal(len(e.messages), 0)
	})
}

func TestOlderAttemptIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngines()
		e.client.Decode("d2", decode("d2", 2, 0))
		synctest.Wait()
		e.client.Decode("d1", decode("d1", 1, 0))
		e.write("d2", token(1, "a", true))
		is.Equal(<-e.messages, core.FirstToken{Allocation: allocation(2)})
		is.Equal(<-e.messages, core.StreamEnded{Allocation: allocation(2), Tokens: 1})
		_, requested := e.requests["d1"+wire.DecodePath]
		is.True(!requested)
	})
}

func TestReleaseEndsOnlyItsOwnStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngines()
		e.client.Decode("d1", decode("d1", 2, 0))
		e.write("d1", token(1, "a", false))
		is.Equal(<-e.messages, core.FirstToken{Allocation: allocation(2)})
		e.client.Release("d0", core.ReleaseMemory{Engine: "d0", Allocation: allocation(1)})
		is.Equal(<-e.messages, core.ReleaseDone{Engine: "d0", Allocation: allocation(1)})
		e.write("d1", token(2, "b", false))
		is.Equal(e.answer.text, "ab")
		e.client.Release("d1", core.ReleaseMemory{Engine: "d1", Allocation: allocation(2)})
		is.Equal(<-e.messages, core.ReleaseDone{Engine: "d1", Allocation: allocation(2)})
		synctest.Wait()
		is.Equal(len(e.messages), 0)
	})
}
