package ingress_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/ingress"
	"daisyshed.dev/daisyshed/upstream"
	"daisyshed.dev/standin/hostedworker"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// recordingMeter keeps the statuses that the server recorded.
type recordingMeter struct {
	mu       sync.Mutex
	statuses []int
}

func (m *recordingMeter) RecordCut(core.RejectionReason) {}
func (m *recordingMeter) RecordUnanswered(bool)          {}

func (m *recordingMeter) RecordForward(status int, _, _ time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.statuses = append(m.statuses, status)
}

// startServer returns a server with decide in place of the core: decide
// receives each message and returns the commands that follow from it.
func startServer(t *testing.T, decide func(m core.Message) []core.ForwardCommand) (*httptest.Server, *recordingMeter) {
	return startServerWith(t, func(*ingress.Server) {}, decide)
}

// startServerWith is startServer, and passes the server to configure before it starts.
func startServerWith(t *testing.T, configure func(*ingress.Server), decide func(m core.Message) []core.ForwardCommand) (*httptest.Server, *recordingMeter) {
	m := &recordingMeter{}
	s := &ingress.Server{
		Upstreams: &upstream.Client{DialTimeout: time.Second}, Log: zerolog.New(io.Discard), Meter: m,
		ReportViolation: func(v core.Violation) { t.Error(v) },
	}
	s.SendToCore = func(m core.Message) {
		go func() {
			for _, c := range decide(m) {
				s.Execute(c)
			}
		}()
	}
	configure(s)
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return server, m
}

func post(t *testing.T, url, attempt string, body []byte) *http.Response {
	r, err := http.NewRequest(http.MethodPost, url+"/x/", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Attempt-Id", attempt)
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = a.Body.Close() })
	return a
}

func startWorker(t *testing.T, s hostedworker.Settings) (*hostedworker.Worker, string) {
	s.ID = "e1"
	w, stop, err := hostedworker.Start(s, "127.0.0.1:0", func(hostedworker.Run) {})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	entry := string(w.Entry())
	_, after, _ := strings.Cut(entry, `"Address":"`)
	address, _, _ := strings.Cut(after, `"`)
	return w, address
}

func TestRejectionCarriesRetryAfter(t *testing.T) {
	is := is.New(t)
	s, m := startServer(t, func(m core.Message) []core.ForwardCommand {
		if f, ok := m.(core.Forward); ok {
			return []core.ForwardCommand{core.EndForward{ID: f.ID, Reason: core.NoCapacity, NotRun: true, RetryAfter: 2 * time.Second}}
		}
		return nil
	})
	a := post(t, s.URL, "a", nil)
	is.Equal(a.StatusCode, http.StatusServiceUnavailable)
	is.Equal(a.Header.Get("Retry-After"), "2.00")
	is.Equal(m.statuses, []int{http.StatusServiceUnavailable})
}

func TestResponseIsRelayedUnchanged(t *testing.T) {
	is := is.New(t)
	_, address := startWorker(t, hostedworker.Settings{Slots: 2})
	s, _ := startServer(t, func(m core.Message) []core.ForwardCommand {
		if f, ok := m.(core.Forward); ok {
			return []core.ForwardCommand{core.RunForward{ID: f.ID, Send: 1, Engine: "e1", Address: address, Patience: time.Second}}
		}
		return nil
	})
	body := bytes.Repeat([]byte("b"), 50000)
	a := post(t, s.URL, "a", body)
	got, err := io.ReadAll(a.Body)
	is.NoErr(err)
	is.Equal(got, hostedworker.Answer("a", body))
	is.Equal(a.Header.Get("Server-Seal"), hostedworker.Signature("a", body))
}

// A stream that breaks off in the middle of an event resumes after the last
// whole event, within the same response.
func TestBrokenStreamResumesInSameResponse(t *testing.T) {
	is := is.New(t)
	w, address := startWorker(t, hostedworker.Settings{Slots: 2, Stage: "decode", Events: 6, Work: time.Millisecond})
	w.SetFault(hostedworker.CutShort, 1)
	s, _ := startServer(t, func(m core.Message) []core.ForwardCommand {
		switch m := m.(type) {
		case core.Forward:
			return []core.ForwardCommand{core.RunForward{ID: m.ID, Send: 1, Engine: "e1", Address: address, Patience: time.Second}}
		case core.StepFailed:
			w.SetFault(hostedworker.NoFault, 0)
			return []core.ForwardCommand{core.RunForward{ID: m.ID, Send: 2, Engine: "e1", Address: address, Patience: time.Second}}
		}
		return nil
	})
	a := post(t, s.URL, "a", nil)
	got, err := io.ReadAll(a.Body)
	is.NoErr(err)
	want := ""
	for i := range 6 {
		want += string(hostedworker.Event("a", hostedworker.DefaultVersion, i+1))
	}
	is.Equal(string(got), want)
}

// The connection of a stream that cannot be resumed is aborted: the response
// must not look complete.
func TestUnfinishedStreamIsAborted(t *testing.T) {
	is := is.New(t)
	w, address := startWorker(t, hostedworker.Settings{Slots: 2, Stage: "decode", Events: 6, Work: 20 * time.Millisecond})
	s, _ := startServer(t, func(m core.Message) []core.ForwardCommand {
		switch m := m.(type) {
		case core.Forward:
			return []core.ForwardCommand{core.RunForward{ID: m.ID, Engine: "e1", Address: address, Patience: time.Second}}
		case core.ForwardResponseStarted:
			return []core.ForwardCommand{core.EndForward{ID: m.ID, Reason: core.UpstreamFailed}}
		}
		return nil
	})
	_ = w
	a := post(t, s.URL, "a", nil)
	is.Equal(a.StatusCode, http.StatusOK)
	_, err := io.ReadAll(a.Body)
	is.True(err != nil)
}

// An upstream that has run a request may answer with a status that promises callers that
// it has not run. Without the upstream's statement that status must not reach the caller
// of a request that must run once: it would send the request again.
func TestUnprovenRejectionIsNotRelayed(t *testing.T) {
	is := is.New(t)
	w, address := startWorker(t, hostedworker.Settings{Slots: 2})
	w.SetFault(hostedworker.RejectAfterRun, 1)
	s, _ := startServer(t, func(m core.Message) []core.ForwardCommand {
		switch m := m.(type) {
		case core.Forward:
			return []core.ForwardCommand{core.RunForward{ID: m.ID, Send: 1, Engine: "e1", Address: address, Patience: time.Second, Once: true}}
		case core.StepRefused:
			return []core.ForwardCommand{core.EndForward{ID: m.ID, Reason: core.NoCapacity, NotRun: true}}
		case core.StepFailed:
			return []core.ForwardCommand{core.RelayFailure{ID: m.ID}}
		}
		return nil
	})
	for i := range 20 {
		a := post(t, s.URL, fmt.Sprint(i), nil)
		is.Equal(a.StatusCode, http.StatusBadGateway)
		is.Equal(a.Header.Get("Server-Seal"), "")
	}
}

// The core must never say "not run" while a run is in progress. If it does, the caller
// still gets no such promise, and the violation is reported.
func TestPromiseAgainstOwnRecordIsNotMade(t *testing.T) {
	is := is.New(t)
	w, address := startWorker(t, hostedworker.Settings{Slots: 2})
	w.SetFault(hostedworker.Hang, 1)
	violations := make(chan core.Violation, 1)
	s, _ := startServerWith(t, func(s *ingress.Server) {
		s.ReportViolation = func(v core.Violation) { violations <- v }
		s.SendToCore = func(m core.Message) {
			f, ok := m.(core.Forward)
			if !ok {
				return
			}
			s.Execute(core.RunForward{ID: f.ID, Send: 1, Engine: "e1", Address: address, Patience: time.Second, Once: true})
			time.AfterFunc(50*time.Millisecond, func() { s.Execute(core.EndForward{ID: f.ID, Reason: core.NoCapacity, NotRun: true}) })
		}
	}, nil)
	is.Equal(post(t, s.URL, "a", nil).StatusCode, http.StatusBadGateway)
	is.Equal((<-violations).Promise, core.NotRunTrue)
}

// A second run of a request that must run once is not begun while the first one may have
// run.
func TestSecondRunAgainstOwnRecordIsNotBegun(t *testing.T) {
	is := is.New(t)
	first, received, _ := hangingUpstream(t)
	second, receivedSecond, _ := hangingUpstream(t)
	violations := make(chan core.Violation, 1)
	s, _ := startServerWith(t, func(s *ingress.Server) {
		s.ReportViolation = func(v core.Violation) { violations <- v }
		s.SendToCore = func(m core.Message) {
			switch m := m.(type) {
			case core.Forward:
				s.Execute(core.RunForward{ID: m.ID, Send: 1, Engine: "e1", Address: first, Patience: time.Second, Once: true})
				time.AfterFunc(50*time.Millisecond, func() {
					s.Execute(core.RunForward{ID: m.ID, Send: 2, Engine: "e2", Address: second, Patience: time.Second, Once: true})
				})
			case core.StepFailed:
				s.Execute(core.EndForward{ID: m.ID, Reason: core.UpstreamFailed})
			}
		}
	}, nil)
	is.Equal(post(t, s.URL, "a", nil).StatusCode, http.StatusBadGateway)
	is.Equal((<-violations).Promise, core.AtMostOnce)
	is.Equal(received.Load(), int32(1))
	is.Equal(receivedSecond.Load(), int32(0))
}

// A stream breaks off, and the upstream that is to resume it answers with a failure. Its
// body must not go into the caller's stream, which would end as if it were complete.
func TestFailureIsNotWrittenIntoAStream(t *testing.T) {
	is := is.New(t)
	runs := 0
	u := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Attempt-Id", "a")
		w.Header().Set("Server-Seal", "s")
		if runs++; runs > 1 {
			w.WriteHeader(http.StatusTooManyRequests)
			_, _ = io.WriteString(w, "busy")
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	defer u.Close()
	failures := 0
	s, _ := startServerWith(t, func(s *ingress.Server) {
		s.SendToCore = func(m core.Message) {
			go func() {
				switch m := m.(type) {
				case core.Forward:
					s.Execute(core.RunForward{ID: m.ID, Send: 1, Engine: "e1", Address: u.Listener.Addr().String(), Patience: time.Second})
				case core.StepFailed:
					if failures++; failures > 1 {
						s.Execute(core.EndForward{ID: m.ID, Reason: core.UpstreamFailed})
						return
					}
					s.Execute(core.RunForward{ID: m.ID, Send: 2, Engine: "e1", Address: u.Listener.Addr().String(), Patience: time.Second})
				}
			}()
		}
	}, nil)
	a := post(t, s.URL, "a", nil)
	got, err := io.ReadAll(a.Body)
	is.True(err != nil)
	is.Equal(string(got), "id: 1\ndata: x\n\n")
}
