package ingress_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/ingress"
	"daisyshed.dev/standin/hostedworker"
	"github.com/matryer/is"
)

// hangingUpstream answers nothing until a request is given up. It counts the requests that
// it has received, and those that still hang.
func hangingUpstream(t *testing.T) (address string, received, hanging *atomic.Int32) {
	received, hanging = &atomic.Int32{}, &atomic.Int32{}
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		received.Add(1)
		hanging.Add(1)
		defer hanging.Add(-1)
		<-r.Context().Done()
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), received, hanging
}

// The core gives up a run before the request's goroutine has begun it, and starts another
// one. Both commands are queued when the goroutine comes to them.
func TestRunThatWasGivenUpDoesNotGoOn(t *testing.T) {
	is := is.New(t)
	for range 50 {
		slow, _, hanging := hangingUpstream(t)
		w, address := startWorker(t, hostedworker.Settings{Slots: 2, Work: 50 * time.Millisecond})
		var left atomic.Int32
		s, _ := startServer(t, func(m core.Message) []core.ForwardCommand {
			switch m := m.(type) {
			case core.Forward:
				return []core.ForwardCommand{
					core.RunForward{ID: m.ID, Send: 1, Engine: "e0", Address: slow, Patience: time.Second},
					core.RunForward{ID: m.ID, Send: 2, Engine: "e1", Address: address, Patience: time.Second},
				}
			case core.ForwardResponseStarted:
				left.Store(hanging.Load())
			}
			return nil
		})
		_ = w
		is.Equal(post(t, s.URL, "a", nil).StatusCode, http.StatusOK)
		is.Equal(left.Load(), int32(0))
	}
}

// A request must not be sent once its end has been decided, although the command to send
// it was queued before. Connections are kept, so that nothing delays the send.
func TestNothingIsSentAfterTheFinalAnswer(t *testing.T) {
	is := is.New(t)
	var received atomic.Int32
	w := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Attempt-Id") == "late" {
			received.Add(1)
		}
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Server-Seal", "s")
	}))
	defer w.Close()
	s, _ := startServerWith(t, func(s *ingress.Server) {
		s.SendToCore = func(m core.Message) {
			f, ok := m.(core.Forward)
			if !ok {
				return
			}
			s.Execute(core.RunForward{ID: f.ID, Send: 1, Engine: "e0", Address: w.Listener.Addr().String(), Patience: time.Second})
			if f.Attempt == "late" {
				s.Execute(core.EndForward{ID: f.ID, Reason: core.DeadlinePassed})
			}
		}
	}, nil)
	for range 100 {
		post(t, s.URL, "first", nil)
		is.Equal(post(t, s.URL, "late", nil).StatusCode, http.StatusGatewayTimeout)
	}
	is.Equal(received.Load(), int32(0))
}

// A late response to a request precedes the response to a call on the same connection.
func TestLateResponseIsNotTakenForCallsResponse(t *testing.T) {
	is := is.New(t)
	w, address := startWorker(t, hostedworker.Settings{Slots: 2, Stage: hostedworker.Decode, Events: 2, Work: time.Millisecond, Memory: 100})
	results := make(chan core.Message, 16)
	s, _ := startServer(t, func(m core.Message) []core.ForwardCommand {
		switch m := m.(type) {
		case core.Forward:
			if m.Attempt == "run" {
				return []core.ForwardCommand{core.RunForward{ID: m.ID, Send: 1, Engine: "e1", Address: address, Patience: time.Second}}
			}
			return []core.ForwardCommand{core.RequestLease{ID: m.ID, Send: 1, Engine: "e1", Address: address, Tokens: 10, TTL: time.Second}}
		case core.LeaseGranted:
			results <- m
			return []core.ForwardCommand{core.EndForward{ID: m.ID, Reason: core.NoCapacity, NotRun: true}}
		case core.StepFailed:
			results <- m
			return []core.ForwardCommand{core.EndForward{ID: m.ID, Reason: core.NoCapacity, NotRun: true}}
		}
		return nil
	})
	a := post(t, s.URL, "run", nil)
	_, err := io.Copy(io.Discard, a.Body)
	is.NoErr(err)
	w.SetFault(hostedworker.RepeatResponse, 1)
	post(t, s.URL, "lease", nil)
	m := <-results
	_, granted := m.(core.LeaseGranted)
	is.True(granted)
}

// An engine sends its response to a call again when the next call has arrived on the connection.
// Two streams with one lease would share memory that was reserved for one of them.
func TestLateCopyOfALeaseIsNotTakenForTheNextLease(t *testing.T) {
	is := is.New(t)
	w, address := startWorker(t, hostedworker.Settings{Slots: 2, Stage: hostedworker.Decode, Memory: 100})
	w.SetFault(hostedworker.RepeatResponse, 1)
	results := make(chan core.Message, 16)
	s, _ := startServer(t, func(m core.Message) []core.ForwardCommand {
		switch m := m.(type) {
		case core.Forward:
			return []core.ForwardCommand{core.RequestLease{ID: m.ID, Send: 1, Engine: "e1", Address: address, Tokens: 10, TTL: time.Second}}
		case core.LeaseGranted:
			results <- m
			return []core.ForwardCommand{core.EndForward{ID: m.ID, Reason: core.NoCapacity, NotRun: true}}
		}
		return nil
	})
	granted := core.Set[core.LeaseID]{}
	for range 3 {
		post(t, s.URL, "a", nil)
		granted.Add((<-results).(core.LeaseGranted).Lease)
	}
	is.Equal(len(granted), 3)
}

// A caller sends a rejected attempt again to the same node, and the upstream sends its rejection
// again before the second answer. Taken for that, it would say that a request which runs has not.
func TestLateCopyOfARejectionIsNotTakenForTheNextTry(t *testing.T) {
	is := is.New(t)
	const rejection = "HTTP/1.1 503 Busy\r\nAttempt-Id: a\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	const answer = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nServer-Seal: s\r\nContent-Length: 2\r\n\r\nok"
	var tries atomic.Int32
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, r, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		next := answer
		if tries.Add(1) == 1 {
			next = rejection
		}
		for _, err = io.WriteString(c, next); err == nil; _, err = io.WriteString(c, rejection+answer) {
			if _, err := http.ReadRequest(r.Reader); err != nil {
				return
			}
		}
	}))
	t.Cleanup(upstream.Close)
	s, _ := startServer(t, func(m core.Message) []core.ForwardCommand {
		switch m := m.(type) {
		case core.Forward:
			return []core.ForwardCommand{core.RunForward{
				ID: m.ID, Send: 1, Engine: "e1", Address: upstream.Listener.Addr().String(), Patience: time.Second, Once: true,
			}}
		case core.StepRefused:
			return []core.ForwardCommand{core.EndForward{ID: m.ID, Reason: core.NoCapacity, NotRun: true}}
		}
		return nil
	})
	is.Equal(post(t, s.URL, "a", nil).StatusCode, http.StatusServiceUnavailable)
	is.Equal(post(t, s.URL, "a", nil).StatusCode, http.StatusOK)
}

// A process that has to exit answers the requests that are still in progress. A connection
// that is closed without an answer would look as if the request had not been read.
func TestExitAnswersRequestsInProgress(t *testing.T) {
	silent, _, _ := hangingUpstream(t)
	headOnly := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Server-Seal", "s")
		w.Header().Set("Content-Type", "text/event-stream")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(headOnly.Close)
	for name, c := range map[string]struct {
		upstream string
		want     int
	}{
		"not sent":                {"", http.StatusServiceUnavailable},
		"sent":                    {silent, http.StatusBadGateway},
		"stream without an event": {headOnly.Listener.Addr().String(), http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, _ := startServerWith(t, func(s *ingress.Server) {
				s.SendToCore = func(m core.Message) {
					f, ok := m.(core.Forward)
					if !ok {
						return
					}
					if c.upstream != "" {
						s.Execute(core.RunForward{ID: f.ID, Send: 1, Engine: "e1", Address: c.upstream, Patience: time.Minute, Once: true})
					}
					time.AfterFunc(50*time.Millisecond, s.EndAll)
				}
			}, nil)
			is.Equal(post(t, s.URL, "a", nil).StatusCode, c.want)
		})
	}
}
