package ingress_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/ingress"
	"github.com/matryer/is"
)

const (
	// takeoverStall is the StallAfter of the tests' runs.
	takeoverStall = 60 * time.Millisecond
	// takeoverEvents is the number of events of a whole stream.
	takeoverEvents = 5
)

// stagedEngine is an engine whose first run is silent after its first event until goOn is
// closed. Later runs, and those that resume, wait for goOn before their first event if
// waits is set.
type stagedEngine struct {
	address string
	goOn    chan struct{}
	waits   bool
	// received has a value for each run that has begun.
	received                   chan struct{}
	runs, running, connections atomic.Int32
}

func startStagedEngine(t *testing.T) *stagedEngine {
	e := &stagedEngine{goOn: make(chan struct{}), received: make(chan struct{}, 100)}
	s := httptest.NewUnstartedServer(e)
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			e.connections.Add(1)
		}
	}
	s.Start()
	t.Cleanup(s.Close)
	e.address = s.Listener.Addr().String()
	return e
}

func (e *stagedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.runs.Add(1)
	e.running.Add(1)
	defer e.running.Add(-1)
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Server-Seal", "s")
	w.Header().Set("Content-Type", "text/event-stream")
	last := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &last)
	_ = http.NewResponseController(w).Flush()
	e.received <- struct{}{}
	for i := last + 1; i <= takeoverEvents; i++ {
		if i == 2 || i == last+1 && e.waits {
			select {
			case <-e.goOn:
			case <-r.Context().Done():
				return
			}
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

func wholeTakeoverStream() string {
	var s strings.Builder
	for i := range takeoverEvents {
		fmt.Fprintf(&s, "id: %d\ndata: %d\n\n", i+1, i+1)
	}
	return s.String()
}

// orderedCore passes the messages of a server to decide in order, as the core gets them,
// and carries out the commands that it returns. It keeps the messages.
type orderedCore struct {
	server   *ingress.Server
	mu       sync.Mutex
	messages []core.Message
}

func startOrdered(t *testing.T, decide func(m core.Message) []core.ForwardCommand) (*httptest.Server, *orderedCore) {
	c := &orderedCore{}
	inbox := make(chan core.Message, 1000)
	done := make(chan struct{})
	s, _ := startServerWith(t, func(s *ingress.Server) {
		c.server = s
		s.SendToCore = func(m core.Message) { inbox <- m }
	}, nil)
	go func() {
		for {
			select {
			case m := <-inbox:
				c.mu.Lock()
				c.messages = append(c.messages, m)
				c.mu.Unlock()
				for _, command := range decide(m) {
					c.server.Execute(command)
				}
			case <-done:
				return
			}
		}
	}()
	t.Cleanup(func() { close(done) })
	return s, c
}

// messagesOf returns the messages of one type so far.
func messagesOf[M core.Message](c *orderedCore) []M {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []M
	for _, m := range c.messages {
		if m, ok := m.(M); ok {
			out = append(out, m)
		}
	}
	return out
}

// firstRun and secondRun are a stream's run and the one that is to take over from it.
func firstRun(id core.ForwardID, e *stagedEngine) core.RunForward {
	return core.RunForward{ID: id, Send: 1, Engine: "e1", Address: e.address, Patience: time.Minute, StallAfter: takeoverStall}
}

func secondRun(id core.ForwardID, e *stagedEngine) core.RunForward {
	return core.RunForward{ID: id, Send: 2, Engine: "e2", Address: e.address, Patience: time.Minute, TakesOver: true, GoneOn: 1}
}

// read posts a request and returns the whole body.
func read(t *testing.T, url string) (string, error) {
	a := post(t, url, "a", nil)
	got, err := io.ReadAll(a.Body)
	return string(got), err
}

func waitFor(t *testing.T, ok func() bool) {
	t.Helper()
	for until := time.Now().Add(5 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("it did not happen within 5 s")
		}
	}
}

// The silent run goes on at the moment at which its replacement has its first event. The
// caller must receive each event once, and only one of the runs may go on.
func TestOnlyOneOfTwoRunsWithAnEventGoesOn(t *testing.T) {
	is := is.New(t)
	silent, other := startStagedEngine(t), startStagedEngine(t)
	other.goOn, other.waits = silent.goOn, true
	var once sync.Once
	s, c := startOrdered(t, func(m core.Message) []core.ForwardCommand {
		switch m := m.(type) {
		case core.Forward:
			return []core.ForwardCommand{firstRun(m.ID, silent)}
		case core.ForwardStalled:
			var out []core.ForwardCommand
			once.Do(func() {
				out = append(out, secondRun(m.ID, other))
				go func() {
					<-other.received
					close(silent.goOn)
				}()
			})
			return out
		}
		return nil
	})
	got, err := read(t, s.URL)
	is.NoErr(err)
	is.Equal(got, wholeTakeoverStream())
	waitFor(t, func() bool { return silent.running.Load()+other.running.Load() == 0 })
	waitFor(t, func() bool { return len(messagesOf[core.ForwardResponseCompleted](c)) == 1 })
	won := len(messagesOf[core.ForwardContinued](c)) + len(messagesOf[core.ForwardResponseStarted](c))
	is.Equal(won, 2)
}

// The silent run goes on while the command for its replacement is being delivered.
func TestSilentRunGoesOnWhileItsReplacementBegins(t *testing.T) {
	for _, delay := range []time.Duration{0, 100 * time.Microsecond, time.Millisecond} {
		is := is.New(t)
		silent, other := startStagedEngine(t), startStagedEngine(t)
		var once sync.Once
		s, c := startOrdered(t, func(m core.Message) []core.ForwardCommand {
			switch m := m.(type) {
			case core.Forward:
				return []core.ForwardCommand{firstRun(m.ID, silent)}
			case core.ForwardStalled:
				var out []core.ForwardCommand
				once.Do(func() {
					close(silent.goOn)
					time.Sleep(delay)
					out = append(out, secondRun(m.ID, other))
				})
				return out
			}
			return nil
		})
		close(other.goOn)
		got, err := read(t, s.URL)
		is.NoErr(err)
		is.Equal(got, wholeTakeoverStream())
		waitFor(t, func() bool { return silent.running.Load()+other.running.Load() == 0 })
		waitFor(t, func() bool { return len(messagesOf[core.ForwardResponseCompleted](c)) == 1 })
	}
}

// overlapping starts a server with a stream of which two runs go on.
func overlapping(t *testing.T, then func(c *orderedCore, id core.ForwardID)) (*httptest.Server, *stagedEngine, *stagedEngine) {
	silent, other := startStagedEngine(t), startStagedEngine(t)
	other.waits = true
	var c *orderedCore
	var once sync.Once
	s, c := startOrdered(t, func(m core.Message) []core.ForwardCommand {
		switch m := m.(type) {
		case core.Forward:
			return []core.ForwardCommand{firstRun(m.ID, silent)}
		case core.ForwardStalled:
			var out []core.ForwardCommand
			once.Do(func() {
				out = append(out, secondRun(m.ID, other))
				go func() {
					<-other.received
					then(c, m.ID)
				}()
			})
			return out
		}
		return nil
	})
	return s, silent, other
}

// A stream ends while two of its runs go on. Neither may go on after that, and the caller
// must not take what it has for the whole answer.
func TestEndWhileTwoRunsOverlapEndsBoth(t *testing.T) {
	for name, end := range map[string]func(c *orderedCore, id core.ForwardID){
		"end of the request": func(c *orderedCore, id core.ForwardID) {
			c.server.Execute(core.EndForward{ID: id, Reason: core.DeadlinePassed})
		},
		"exit of the process": func(c *orderedCore, _ core.ForwardID) { c.server.EndAll() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, silent, other := overlapping(t, end)
			got, err := read(t, s.URL)
			is.True(err != nil)
			is.Equal(got, "id: 1\ndata: 1\n\n")
			waitFor(t, func() bool { return silent.running.Load()+other.running.Load() == 0 })
		})
	}
}

// A replacement that fails or is rejected during the overlap leaves the silent run alone.
func TestFailedReplacementLeavesTheSilentRunAlone(t *testing.T) {
	for name, answer := range map[string]http.HandlerFunc{
		"rejected": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		"failed": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
			w.WriteHeader(http.StatusInternalServerError)
		},
		"broken off": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			silent := startStagedEngine(t)
			other := httptest.NewServer(answer)
			t.Cleanup(other.Close)
			var once sync.Once
			s, c := startOrdered(t, func(m core.Message) []core.ForwardCommand {
				switch m := m.(type) {
				case core.Forward:
					return []core.ForwardCommand{firstRun(m.ID, silent)}
				case core.ForwardStalled:
					var out []core.ForwardCommand
					once.Do(func() {
						c := secondRun(m.ID, silent)
						c.Address = other.Listener.Addr().String()
						out = append(out, c)
						time.AfterFunc(500*time.Millisecond, func() { close(silent.goOn) })
					})
					return out
				}
				return nil
			})
			got, err := read(t, s.URL)
			is.NoErr(err)
			is.Equal(got, wholeTakeoverStream())
			is.Equal(len(messagesOf[core.StepFailed](c))+len(messagesOf[core.StepRefused](c)), 1)
		})
	}
}

// A caller that does not read for a while is not a silent engine.
func TestSlowCallerIsNotTakenForASilentEngine(t *testing.T) {
	is := is.New(t)
	u, _ := endlessUpstream(t, 200, "text/event-stream", []byte("data: "+strings.Repeat("x", 60<<10)+"\n\n"), time.Millisecond)
	s, c := startOrdered(t, func(m core.Message) []core.ForwardCommand {
		if f, ok := m.(core.Forward); ok {
			return []core.ForwardCommand{core.RunForward{ID: f.ID, Send: 1, Engine: "e1", Address: u.Address, Patience: time.Minute, StallAfter: 300 * time.Millisecond}}
		}
		return nil
	})
	conn := sendStream(t, s.URL, time.Minute)
	time.Sleep(2 * time.Second)
	a, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	for until := time.Now().Add(500 * time.Millisecond); time.Now().Before(until); {
		_, err := io.CopyN(io.Discard, a.Body, 1<<20)
		is.NoErr(err)
	}
	is.Equal(len(messagesOf[core.ForwardStalled](c)), 0)
}

// Connections on which an answer was read to its end are used again: of streams that ended
// well, of rejections and failures with a short body, and of long answers.
func TestConnectionsOfWholeAnswersAreUsedAgain(t *testing.T) {
	for name, answer := range map[string]http.HandlerFunc{
		"stream": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Server-Seal", "s")
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, wholeTakeoverStream())
		},
		"rejection": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, strings.Repeat("x", 1000))
		},
		"failure": func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusInternalServerError)
			_, _ = io.WriteString(w, "x")
		},
		"long answer": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Server-Seal", "s")
			_, _ = io.WriteString(w, strings.Repeat("x", 2<<20))
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var connections atomic.Int32
			u := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
				answer(w, r)
			}))
			u.Config.ConnState = func(_ net.Conn, state http.ConnState) {
				if state == http.StateNew {
					connections.Add(1)
				}
			}
			u.Start()
			t.Cleanup(u.Close)
			s, _ := startOrdered(t, func(m core.Message) []core.ForwardCommand {
				switch m := m.(type) {
				case core.Forward:
					return []core.ForwardCommand{core.RunForward{ID: m.ID, Send: 1, Engine: "e1", Address: u.Listener.Addr().String(), Patience: time.Second, StallAfter: time.Second}}
				case core.StepRefused:
					return []core.ForwardCommand{core.EndForward{ID: m.ID, Reason: core.NoCapacity, NotRun: true}}
				case core.StepFailed:
					return []core.ForwardCommand{core.RelayFailure{ID: m.ID}}
				}
				return nil
			})
			for i := range 10 {
				_, err := io.Copy(io.Discard, post(t, s.URL, fmt.Sprint(i), nil).Body)
				is.NoErr(err)
			}
			is.Equal(connections.Load(), int32(1))
		})
	}
}

// The command for a replacement reaches the request when the silent run has gone on
// meanwhile, and is silent again or has failed. The core has given the replacement up by
// then: nobody would notice how it ends.
func TestReplacementIsNotBegunOnceTheSilentRunHasGoneOn(t *testing.T) {
	for name, fails := range map[string]bool{"silent again": false, "failed": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			goOn := make(chan struct{})
			silent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
				w.Header().Set("Server-Seal", "s")
				w.Header().Set("Content-Type", "text/event-stream")
				for i := 1; i <= 2; i++ {
					_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i)
					_ = http.NewResponseController(w).Flush()
					if i == 1 {
						<-goOn
					}
				}
				if !fails {
					<-r.Context().Done()
				}
				panic(http.ErrAbortHandler)
			}))
			t.Cleanup(silent.Close)
			other := startStagedEngine(t)
			stalls := 0
			s, c := startOrdered(t, func(m core.Message) []core.ForwardCommand {
				switch m := m.(type) {
				case core.Forward:
					run := firstRun(m.ID, other)
					run.Address = silent.Listener.Addr().String()
					return []core.ForwardCommand{run}
				case core.ForwardStalled:
					stalls++
					if stalls == 1 {
						close(goOn)
						return nil
					}
					return []core.ForwardCommand{secondRun(m.ID, other)}
				case core.StepFailed:
					return []core.ForwardCommand{secondRun(m.ID, other)}
				case core.StepRefused:
					return []core.ForwardCommand{core.EndForward{ID: m.ID, Reason: core.UpstreamFailed}}
				}
				return nil
			})
			time.AfterFunc(time.Second, func() { c.server.Execute(core.EndForward{ID: 1, Reason: core.DeadlinePassed}) })
			_, err := read(t, s.URL)
			is.True(err != nil)
			is.Equal(other.runs.Load(), int32(0))
			refused := messagesOf[core.StepRefused](c)
			is.Equal(len(refused), 1)
			is.Equal(refused[0].Send, core.SendNumber(2))
			is.Equal(refused[0].Proof, core.NothingSent)
		})
	}
}

// The goroutine of a request gets no processor time for a while. The core takes a run that
// has not begun for a silent one, and looks for another upstream. That run must begin all the
// same: the core may wait for its result.
func TestRunBeginsBeforeTheSearchThatFollowsIt(t *testing.T) {
	const closed = "127.0.0.1:1"
	for name, next := range map[string]core.ForwardCommand{
		"lease":   core.RequestLease{ID: 1, Send: 2, Engine: "e2", Address: closed, Tokens: 1, TTL: time.Second},
		"prefill": core.RunPrefill{ID: 1, Send: 2, Engine: "e2", Address: closed, Timeout: time.Second},
		"run":     core.RunForward{ID: 1, Send: 2, Engine: "e2", Address: closed, Patience: time.Second, TakesOver: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := startStagedEngine(t)
			close(e.goOn)
			s, _ := startServerWith(t, func(s *ingress.Server) {
				s.SendToCore = func(m core.Message) {
					if f, ok := m.(core.Forward); ok {
						s.Execute(core.RunForward{ID: f.ID, Send: 1, Engine: "e1", Address: e.address, Patience: time.Second})
						s.Execute(next)
						time.AfterFunc(time.Second, func() { s.Execute(core.EndForward{ID: f.ID, Reason: core.DeadlinePassed}) })
					}
				}
			}, nil)
			got, err := read(t, s.URL)
			is.NoErr(err)
			is.Equal(got, wholeTakeoverStream())
		})
	}
}
