package ingress_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// versionedEngine is a decode engine whose events name its version.
type versionedEngine struct {
	core.Instance
	// breaks is called before the engine breaks off a stream after its second event; it does not
	// if it is nil. reports makes the engine say which incarnation it is, and closes makes it
	// close the connection after that.
	breaks          func()
	reports, closes bool

	mu sync.Mutex
	// requests are the remote addresses of the requests by path.
	requests map[string][]string
}

func startVersionedEngine(t *testing.T, id core.EngineID, version core.SoftwareVersion, born int64) *versionedEngine {
	e := &versionedEngine{requests: map[string][]string{}}
	s := httptest.NewServer(e)
	t.Cleanup(s.Close)
	e.Instance = core.Instance{ID: id, Service: "model", Address: s.Listener.Addr().String(), Slots: 8, Role: core.Decode, Born: born, Version: version}
	return e
}

func (e *versionedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	e.requests[r.URL.Path] = append(e.requests[r.URL.Path], r.RemoteAddr)
	e.mu.Unlock()
	if r.URL.Path == "/-/report" {
		if e.closes {
			w.Header().Set("Connection", "close")
		}
		if e.reports {
			_, _ = fmt.Fprintf(w, `{"born":%d}`, e.Born)
		} else {
			w.WriteHeader(http.StatusNotFound)
		}
		return
	}
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Server-Seal", "s")
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := last + 1; i <= silentEvents; i++ {
		if e.breaks != nil && i == 3 {
			e.breaks()
			panic(http.ErrAbortHandler)
		}
		time.Sleep(10 * time.Millisecond)
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, e.Version)
		_ = http.NewResponseController(w).Flush()
	}
}

// seen returns the remote addresses of the runs and of the reports.
func (e *versionedEngine) seen() (runs, reports []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requests["/resumable/x"], e.requests["/-/report"]
}

func eventsOf(versions ...core.SoftwareVersion) string {
	s := ""
	for i, v := range versions {
		s += fmt.Sprintf("id: %d\ndata: %s\n\n", i+1, v)
	}
	return s
}

// An engine breaks a stream off while another one has started again under its id at another
// version, which the list does not show yet. The stream was continued there.
func TestStreamIsNotContinuedAtAnEngineThatStartedAgain(t *testing.T) {
	for name, reports := range map[string]bool{"it reports that": true, "the store shows it": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			first := startVersionedEngine(t, "e1", "v1", 1)
			again := startVersionedEngine(t, "e2", "v2", 2)
			again.reports = reports
			listed := again.Instance
			listed.Born, listed.Version, listed.Draining = 1, "v1", true
			s, n := startNode(t, nodeOptions{engines: []core.Instance{first.Instance, listed}, retries: someRetries})
			first.breaks = func() {
				listed.Draining = false
				n.update(core.InstancesRead{After: 1, Offset: 2, Changed: []core.Instance{listed}})
				// The entry is written, but this node has not read it.
				n.register(again.Instance)
			}
			got, err := readStream(t, s.URL)
			is.True(err != nil)
			is.Equal(got, eventsOf("v1", "v1"))
			runs, _ := again.seen()
			is.Equal(len(runs), 0)
		})
	}
}

// The stream continues at a verified engine, on the connection on which that was verified.
func TestStreamGoesOnOnTheVerifiedConnection(t *testing.T) {
	for name, set := range map[string]func(*versionedEngine){
		"the engine reports":             func(e *versionedEngine) { e.reports = true },
		"the engine reports and closes":  func(e *versionedEngine) { e.reports, e.closes = true, true },
		"the list shows it, no report":   func(*versionedEngine) {},
		"the list shows it, it is older": func(e *versionedEngine) { e.closes = true },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			first := startVersionedEngine(t, "e1", "v1", 1)
			second := startVersionedEngine(t, "e2", "v1", 1)
			set(second)
			listed := second.Instance
			listed.Draining = true
			s, n := startNode(t, nodeOptions{engines: []core.Instance{first.Instance, listed}, retries: someRetries})
			first.breaks = func() {
				n.update(core.InstancesRead{After: 1, Offset: 2, Changed: []core.Instance{second.Instance}})
			}
			got, err := readStream(t, s.URL)
			is.NoErr(err)
			is.Equal(got, eventsOf("v1", "v1", "v1", "v1", "v1", "v1"))
			runs, reports := second.seen()
			is.Equal(len(runs), 1)
			is.Equal(len(reports), 1)
			is.Equal(runs[0] == reports[0], !second.closes)
		})
	}
}
