package enginehttp_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"daisyshed.dev/core"
	"daisyshed.dev/standin/engine"
	"daisyshed.dev/standin/enginehttp"
	"daisyshed.dev/standin/fault"
	"daisyshed.dev/standin/weights"
	wire "daisyshed.dev/wire/engine"
	"daisyshed.dev/wire/weightstore"
)

type runner interface {
	Run(ctx context.Context) error
}

// run runs a stand-in on a listener until the test ends.
func run(t *testing.T, program runner) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- program.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-stopped; err != nil {
			t.Error(err)
		}
	})
}

// listen returns a listener on a free loopback port and its address.
func listen(t *testing.T) (net.Listener, string) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return lis, lis.Addr().String()
}

// settings returns the settings of a fast engine that keeps prefill results for
// longer than a test runs.
func settings(role core.Role) engine.Settings {
	s := engine.DefaultSettings()
	s.Role, s.Model = role, "m"
	s.StepBase, s.LoadFor = time.Millisecond, time.Millisecond
	s.PrefillRate, s.HoldFor = 1e6, time.Hour
	return s
}

// startEngine runs an engine and returns its address.
func startEngine(t *testing.T, settings engine.Settings, weightStore string) string {
	t.Helper()
	lis, address := listen(t)
	run(t, &enginehttp.Server{Listener: lis, Settings: settings, WeightStore: weightStore})
	return address
}

// post sends a POST request with a JSON body. It returns the response's status and
// body; the status is zero if the connection broke.
func post(t *testing.T, address, path string, body any) (int, string) {
	t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	r, err := http.Post("http://"+address+path, "application/json", bytes.NewReader(data))
	if err != nil {
		return 0, ""
	}
	defer func() { _ = r.Body.Close() }()
	answer, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, ""
	}
	return r.StatusCode, string(answer)
}

// events returns the ids of the server-sent events in stream and the
// concatenated text of their tokens.
func events(t *testing.T, stream string) (ids []string, text string) {
	t.Helper()
	lines := bufio.NewScanner(strings.NewReader(stream))
	for lines.Scan() {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			ids = append(ids, id)
		}
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			var event wire.TokenEvent
			if err := json.Unmarshal([]byte(data), &event); err != nil {
				t.Fatal(err)
			}
			text += event.Text
		}
	}
	return ids, text
}

// TestRequestRunsOnPrefillAndDecodeEngines runs a request from prefill to release,
// resumes its stream in between, and checks that a release is idempotent.
func TestRequestRunsOnPrefillAndDecodeEngines(t *testing.T) {
	is := is.New(t)
	p, d := startEngine(t, settings(core.Prefill), ""), startEngine(t, settings(core.Decode), "")
	allocation := wire.Allocation{Request: "r", Attempt: 1, Holder: "n", Incarnation: 1}
	status, _ := post(t, p, wire.PrefillPath, wire.PrefillRequest{Allocation: allocation, Model: "m", Tokens: 100, Text: "prompt"})
	is.Equal(status, http.StatusOK)
	status, _ = post(t, d, wire.ImportPath, wire.ImportRequest{Allocation: allocation, FromAddress: p, Tokens: 200})
	is.Equal(status, http.StatusOK)
	status, stream := post(t, d, wire.DecodePath, wire.DecodeRequest{Allocation: allocation, MaxTokens: 3})
	is.Equal(status, http.StatusOK)
	ids, text := events(t, stream)
	is.Equal(ids, []string{"1", "2", "3"})
	is.Equal(text, engine.AnswerToken("prompt", 1)+engine.AnswerToken("prompt", 2)+engine.AnswerToken("prompt", 3))
	_, stream = post(t, d, wire.DecodePath, wire.DecodeRequest{Allocation: allocation, After: 2})
	ids, _ = events(t, stream)
	is.Equal(ids, []string{"3"})
	for range 2 {
		status, _ = post(t, d, wire.ReleasePath, wire.ReleaseRequest{Allocation: allocation})
		is.Equal(status, http.StatusOK)
	}
	status, body := post(t, d, wire.DecodePath, wire.DecodeRequest{Allocation: allocation})
	is.Equal(status, http.StatusGone)
	is.True(strings.Contains(body, wire.CodeNotFound))
}

func TestCrashBreaksStreamConnection(t *testing.T) {
	is := is.New(t)
	slow := settings(core.Decode)
	slow.StepBase = time.Hour
	p, d := startEngine(t, settings(core.Prefill), ""), startEngine(t, slow, "")
	allocation := wire.Allocation{Request: "r", Attempt: 1}
	post(t, p, wire.PrefillPath, wire.PrefillRequest{Allocation: allocation, Model: "m", Tokens: 100, Text: "prompt"})
	post(t, d, wire.ImportPath, wire.ImportRequest{Allocation: allocation, FromAddress: p, Tokens: 200})
	body, err := json.Marshal(wire.DecodeRequest{Allocation: allocation})
	is.NoErr(err)
	r, err := http.Post("http://"+d+wire.DecodePath, "application/json", bytes.NewReader(body))
	is.NoErr(err)
	defer func() { _ = r.Body.Close() }()
	status, _ := post(t, d, fault.Path, fault.Fault{Kind: fault.Crash})
	is.Equal(status, http.StatusNoContent)
	_, err = io.ReadAll(r.Body)
	is.True(err != nil)
}

func TestModelIsFetchedFromTheWeightStore(t *testing.T) {
	is := is.New(t)
	lis, store := listen(t)
	run(t, &weights.Store{Listener: lis, Models: []string{"new"}, Interval: time.Hour})
	p := startEngine(t, settings(core.Prefill), store)
	status, _ := post(t, p, wire.OrderPath, wire.OrderRequest{Kind: "LoadModel", Model: "missing", Fencing: 1})
	is.Equal(status, 0)
	status, _ = post(t, p, wire.OrderPath, wire.OrderRequest{Kind: "LoadModel", Model: "new", Fencing: 2})
	is.Equal(status, http.StatusOK)
	status, _ = post(t, p, wire.PrefillPath, wire.PrefillRequest{Model: "new", Tokens: 1})
	is.Equal(status, http.StatusOK)
	r, err := http.Get("http://" + store + weightstore.WeightsPath + "new")
	is.NoErr(err)
	_ = r.Body.Close()
	is.Equal(r.StatusCode, http.StatusTooManyRequests)
}

func TestInvalidBodyIsRejected(t *testing.T) {
	is := is.New(t)
	status, body := post(t, startEngine(t, settings(core.Decode), ""), wire.ImportPath, "not a request")
	is.Equal(status, http.StatusBadRequest)
	is.True(strings.Contains(body, wire.CodeBadRequest))
	status, _ = post(t, startEngine(t, settings(core.Decode), ""), fault.Path, fault.Fault{Kind: "Unheard of"})
	is.Equal(status, http.StatusBadRequest)
}
