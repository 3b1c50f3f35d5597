package ingress_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// startUpstream starts an upstream of the given service.
func startUpstream(t *testing.T, id core.EngineID, service core.ServiceID, role core.Role, h http.HandlerFunc) core.Instance {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		h(w, r)
	}))
	t.Cleanup(s.Close)
	return core.Instance{ID: id, Service: service, Address: s.Listener.Addr().String(), Slots: 8, Role: role, Born: 1}
}

// startPlainNode starts a node that also has a plain service with repeatable requests at
// /plain/.
func startPlainNode(t *testing.T, objective time.Duration, instances ...core.Instance) (*httptest.Server, *liveCore) {
	s, n := startNode(t, nodeOptions{retries: someRetries})
	n.update(core.DesiredState{
		Version: 2,
		Routes: []core.Route{{
			ID: "plain", Host: "h", Prefix: "/plain/", RetryPolicy: core.Repeatable, Timeout: nodeTimeout,
			Objective: objective, MaxRuns: 2, Split: []core.Share{{Service: "ledger", Weight: 1}},
		}},
		Services: map[core.ServiceID]core.ServiceSpec{"ledger": {ID: "ledger"}},
	})
	n.update(core.InstancesRead{After: 1, Offset: 2, Changed: instances})
	return s, n
}

func get(t *testing.T, url, path, deadline string) (int, string, error) {
	r, err := http.NewRequest(http.MethodGet, url+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("Attempt-Id", "a")
	r.Header.Set("Deadline-Ms", deadline)
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	return a.StatusCode, string(body), err
}

// A sound plain upstream is slow. The one that is asked beside it rejects the request late.
// The first one must still answer.
func TestSlowPlainUpstreamSurvivesALateRejection(t *testing.T) {
	for name, late := range map[string]time.Duration{"soon": 100 * time.Millisecond, "late": 600 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var arrivals atomic.Int32
			h := func(w http.ResponseWriter, r *http.Request) {
				if arrivals.Add(1) == 1 {
					select {
					case <-time.After(1200 * time.Millisecond):
						w.Header().Set("Server-Seal", "s")
						_, _ = io.WriteString(w, "answer")
					case <-r.Context().Done():
					}
					return
				}
				time.Sleep(late)
				w.Header().Set("Not-Executed", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			s, _ := startPlainNode(t, 200*time.Millisecond, startUpstream(t, "e1", "ledger", core.Plain, h), startUpstream(t, "e2", "ledger", core.Plain, h))
			status, body, err := get(t, s.URL, "/plain/x", "8000")
			is.NoErr(err)
			is.Equal(status, 200)
			is.Equal(body, "answer")
		})
	}
}

// A sound engine is silent and goes on. The one that is to take over rejects the run late.
// The stream must not be cut.
func TestSilentStreamSurvivesALateRejection(t *testing.T) {
	is := is.New(t)
	e := startSilentEngine(t, "e1", 2300*time.Millisecond)
	other := startUpstream(t, "e2", "model", core.Decode, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(450 * time.Millisecond)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	other.Draining = true
	s, n := startNode(t, nodeOptions{engines: []core.Instance{e.Instance, other}, retries: someRetries})
	time.AfterFunc(300*time.Millisecond, func() {
		other.Draining = false
		n.update(core.InstancesRead{After: 1, Offset: 2, Changed: []core.Instance{other}})
	})
	got, err := readStream(t, s.URL)
	is.NoErr(err)
	is.Equal(got, wholeStream())
}
