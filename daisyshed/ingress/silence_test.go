package ingress_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

const (
	silentEvents = 6
	// silentAfter is the event after which a silent engine pauses.
	silentAfter = 3
)

// silentEngine is a decode engine that pauses once in each stream.
type silentEngine struct {
	core.Instance
	// pause is how long the engine is silent after silentAfter events.
	pause time.Duration
	// rejects makes the engine reject each run without running it.
	rejects atomic.Bool
	// runs counts streams that began, running those in progress, and maxRunning is the
	// largest number of them.
	runs, running, maxRunning atomic.Int32
}

func startSilentEngine(t *testing.T, id core.EngineID, pause time.Duration) *silentEngine {
	e := &silentEngine{pause: pause}
	s := httptest.NewServer(e)
	t.Cleanup(s.Close)
	e.Instance = core.Instance{ID: id, Service: "model", Address: s.Listener.Addr().String(), Slots: 8, Role: core.Decode, Born: 1}
	return e
}

func (e *silentEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/-/report" {
		e.report(w)
		return
	}
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	if e.rejects.Load() {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.runs.Add(1)
	e.maxRunning.Store(max(e.maxRunning.Load(), e.running.Add(1)))
	defer e.running.Add(-1)
	w.Header().Set("Server-Seal", "s")
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := last + 1; i <= silentEvents; i++ {
		pause := 10 * time.Millisecond
		if last == 0 && i == silentAfter+1 {
			pause = e.pause
		}
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i)
		_ = http.NewResponseController(w).Flush()
	}
}

// report says which incarnation the engine is.
func (e *silentEngine) report(w http.ResponseWriter) {
	_, _ = fmt.Fprintf(w, `{"born":%d}`, e.Born)
}

// wholeStream is the answer of a silentEngine.
func wholeStream() string {
	s := ""
	for i := range silentEvents {
		s += fmt.Sprintf("id: %d\ndata: %d\n\n", i+1, i+1)
	}
	return s
}

// readStream requests a resumable stream and returns what the caller receives.
func readStream(t *testing.T, url string) (string, error) {
	r, err := http.NewRequest(http.MethodPost, url+"/resumable/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("Attempt-Id", "a")
	r.Header.Set("Token-Count", "10,20")
	r.Header.Set("Deadline-Ms", "8000")
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return "", err
	}
	defer a.Body.Close()
	got, err := io.ReadAll(a.Body)
	return string(got), err
}

var someRetries = core.RetryBudget{Ratio: 0.2, Window: 10 * time.Second, Slack: 50}

// A sound engine falls silent in the middle of a stream and goes on. The stream must not
// be cut, whether or not another engine could take it over.
func TestSilenceOfSoundEngineCutsNoStream(t *testing.T) {
	for name, c := range map[string]struct {
		retries core.RetryBudget
		others  func(t *testing.T) []core.Instance
	}{
		"no room in the retry budget": {core.RetryBudget{Window: 10 * time.Second}, func(t *testing.T) []core.Instance {
			return []core.Instance{startSilentEngine(t, "e2", 0).Instance}
		}},
		"no other engine": {someRetries, func(*testing.T) []core.Instance { return nil }},
		"the other engine rejects": {someRetries, func(t *testing.T) []core.Instance {
			e := startSilentEngine(t, "e2", 0)
			e.rejects.Store(true)
			return []core.Instance{e.Instance}
		}},
		"the other engine is gone": {someRetries, func(*testing.T) []core.Instance {
			return []core.Instance{{ID: "e2", Service: "model", Address: "127.0.0.1:1", Slots: 8, Role: core.Decode, Born: 1}}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			e := startSilentEngine(t, "e1", 2300*time.Millisecond)
			others := c.others(t)
			for i := range others {
				others[i].Draining = true
			}
			s, n := startNode(t, nodeOptions{engines: append(others, e.Instance), retries: c.retries})
			// The first engine is the only open one when the stream begins.
			time.AfterFunc(300*time.Millisecond, func() {
				for i := range others {
					others[i].Draining = false
				}
				n.update(core.InstancesRead{After: 1, Offset: 2, Changed: others})
			})
			got, err := readStream(t, s.URL)
			is.NoErr(err)
			is.Equal(got, wholeStream())
		})
	}
}

// An engine that stays silent is replaced before the caller leaves, and never two engines
// work on the stream for long.
func TestStreamOfSilentEngineIsTakenOver(t *testing.T) {
	is := is.New(t)
	e1, e2 := startSilentEngine(t, "e1", time.Minute), startSilentEngine(t, "e2", 0)
	draining := e2.Instance
	draining.Draining = true
	s, n := startNode(t, nodeOptions{engines: []core.Instance{e1.Instance, draining}, retries: someRetries})
	time.AfterFunc(300*time.Millisecond, func() {
		n.update(core.InstancesRead{After: 1, Offset: 2, Changed: []core.Instance{e2.Instance}})
	})
	began := time.Now()
	got, err := readStream(t, s.URL)
	is.NoErr(err)
	is.Equal(got, wholeStream())
	is.True(time.Since(began) < 3600*time.Millisecond)
	is.Equal(e1.runs.Load()+e2.runs.Load(), int32(2))
	time.Sleep(50 * time.Millisecond)
	is.Equal(e1.running.Load(), int32(0))
}
