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

// answer is one caller's answer, which takes in each token once.
type answer struct {
	mu   sync.Mutex
	text string
	sent core.Tokens
}

func (a *answer) Text() string { return "a prompt" }

func (a *answer) Sent() core.Tokens {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sent
}

func (a *answer) Token(offset core.Tokens, text string, _ bool) error {
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

// engines is a client with scripted engines behind it, one per address.
type engines struct {
	client   *engine.Client
	answer   *answer
	messages chan core.Message
	mu       sync.Mutex
	streams  map[string]*io.PipeWriter
	requests map[string]string
	refuse   *wire.ErrorBody
}

func newEngines() *engines {
	e := &engines{
		answer:   &answer{},
		messages: make(chan core.Message, 64),
		streams:  map[string]*io.PipeWriter{},
		requests: map[string]string{},
	}
	e.client = &engine.Client{
		HTTP:           &http.Client{Transport: e},
		Answers:        e,
		Send:           func(m core.Message) { e.messages <- m },
		StepTimeout:    stepTimeout,
		ControlTimeout: time.Second,
		OrderTimeout:   time.Second,
	}
	return e
}

func (e *engines) Answer(id core.RequestID) (engine.Answer, bool) {
	return e.answer, id == "r"
}

// RoundTrip answers an engine's operation; a decode gets a stream that the
// test writes.
func (e *engines) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests[r.URL.Host+r.URL.Path] = string(body)
	if e.refuse != nil {
		data, err := json.Marshal(e.refuse)
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

func (e *engines) write(host, text string) {
	synctest.Wait()
	e.mu.Lock()
	w := e.streams[host]
	e.mu.Unlock()
	// A stream that was given up takes no more.
	_, _ = io.WriteString(w, text)
	synctest.Wait()
}

func (e *engines) end(host string) {
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

func TestStreamReachesTheCallerOnce(t *testing.T) {
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

func TestBrokenStreamReportsWhatWasSent(t *testing.T) {
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

func TestNewerAttemptSupersedes(t *testing.T) {
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
		var asked wire.DecodeRequest
		is.NoErr(json.Unmarshal([]byte(e.requests["d2"+wire.DecodePath]), &asked))
		is.Equal(asked.After, core.Tokens(2))
		is.Equal(len(e.messages), 0)
	})
}

func TestOlderAttemptIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngines()
		e.client.Decode("d2", decode("d2", 2, 0))
		synctest.Wait()
		e.client.Decode("d1", decode("d1", 1, 0))
		e.write("d2", token(1, "a", true))
		is.Equal(<-e.messages, core.FirstToken{Allocation: allocation(2)})
		is.Equal(<-e.messages, core.StreamEnded{Allocation: allocation(2), Tokens: 1})
		_, asked := e.requests["d1"+wire.DecodePath]
		is.True(!asked)
	})
}

func TestReleaseEndsItsOwnStreamOnly(t *testing.T) {
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
