package ingress_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/ingress"
	"daisyshed.dev/daisyshed/upstream"
	"github.com/matryer/is"
)

// An engine that answers a call with a body without end has not answered it, and operators
// must see why.
func TestEndlessAnswerToACallIsReported(t *testing.T) {
	is := is.New(t)
	u := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		block := strings.Repeat(" ", 64<<10)
		for err := error(nil); err == nil; {
			_, err = io.WriteString(w, block)
		}
	}))
	defer u.Close()
	limits := make(chan error, 8)
	failures := make(chan core.StepFailed, 8)
	s, _ := startServerWith(t, func(s *ingress.Server) {
		s.Upstreams = &upstream.Client{DialTimeout: time.Second, OnLimit: func(_ string, err error) { limits <- err }}
		s.SendToCore = func(m core.Message) {
			switch m := m.(type) {
			case core.Forward:
				s.Execute(core.RequestLease{ID: m.ID, Send: 1, Engine: "e1", Address: u.Listener.Addr().String()})
			case core.StepFailed:
				failures <- m
				s.Execute(core.EndForward{ID: m.ID, Reason: core.NoCapacity, NotRun: true})
			}
		}
	}, nil)
	is.Equal(post(t, s.URL, "a", nil).StatusCode, http.StatusServiceUnavailable)
	is.Equal(len(limits), 1)
	var tooLong *upstream.TooLongError
	is.True(errors.As(<-limits, &tooLong))
	is.Equal(tooLong.Part, upstream.Body)
	is.Equal((<-failures).Reason, tooLong.Error())
}

// dialCaller sends the head of a request over a connection of its own.
func dialCaller(t *testing.T, s *httptest.Server, head string) net.Conn {
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, "POST /x/ HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\n"+head+"\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	return c
}

// startLimited starts a server that ends each request after the given time, and returns
// the limits that it reports.
func startLimited(t *testing.T, after time.Duration) (*httptest.Server, chan error) {
	limits := make(chan error, 8)
	s, _ := startServerWith(t, func(s *ingress.Server) {
		s.OnLimit = func(attempt string, err error) {
			if attempt != "a" {
				t.Errorf("limit of attempt %q", attempt)
			}
			limits <- err
		}
	}, func(m core.Message) []core.ForwardCommand {
		if f, ok := m.(core.Forward); ok {
			time.Sleep(after)
			return []core.ForwardCommand{core.EndForward{ID: f.ID, Reason: core.NoCapacity, NotRun: true}}
		}
		return nil
	})
	return s, limits
}

// A body that trickles must not hold a request for longer than its caller waits.
func TestTricklingBodyIsRejected(t *testing.T) {
	for name, test := range map[string]struct{ head, piece string }{
		"known length": {"Deadline-Ms: 200\r\nContent-Length: 100000", "x"},
		"chunked":      {"Deadline-Ms: 200\r\nTransfer-Encoding: chunked", "1\r\nx\r\n"},
		"silent":       {"Deadline-Ms: 200\r\nContent-Length: 100000", ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, limits := startLimited(t, 0)
			c := dialCaller(t, s, test.head)
			go func() {
				for err := error(nil); err == nil; time.Sleep(20 * time.Millisecond) {
					_, err = io.WriteString(c, test.piece)
				}
			}()
			r := bufio.NewReader(c)
			a, err := http.ReadResponse(r, nil)
			is.NoErr(err)
			defer a.Body.Close()
			is.Equal(a.StatusCode, http.StatusRequestTimeout)
			is.Equal(a.Header.Get("Attempt-Id"), "a")
			is.True(a.Close)
			is.Equal(len(limits), 1)
			var timeout *ingress.BodyTimeoutError
			is.True(errors.As(<-limits, &timeout))
		})
	}
}

// A body without end must not fill the memory, also while no limit is known.
func TestEndlessBodyIsRejected(t *testing.T) {
	is := is.New(t)
	s, limits := startLimited(t, 0)
	c := dialCaller(t, s, "Transfer-Encoding: chunked")
	sent := make(chan int, 1)
	go func() {
		chunk := "10000\r\n" + strings.Repeat("x", 64<<10) + "\r\n"
		n := 0
		for err := error(nil); err == nil && n < 64<<20; n += len(chunk) {
			_, err = io.WriteString(c, chunk)
		}
		sent <- n
	}()
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	defer a.Body.Close()
	is.Equal(a.StatusCode, http.StatusRequestEntityTooLarge)
	is.True(a.Close)
	is.Equal(len(limits), 1)
	is.True(<-sent < 64<<20)
}

// The time to read the body must not end the request later, while it waits for its answer.
func TestTimeToReadTheBodyDoesNotBoundTheAnswer(t *testing.T) {
	is := is.New(t)
	s, limits := startLimited(t, 400*time.Millisecond)
	c := dialCaller(t, s, "Deadline-Ms: 100\r\nContent-Length: 2")
	_, err := io.WriteString(c, "ok")
	is.NoErr(err)
	r := bufio.NewReader(c)
	for range 2 {
		a, err := http.ReadResponse(r, nil)
		is.NoErr(err)
		is.Equal(a.StatusCode, http.StatusServiceUnavailable)
		_, err = io.Copy(io.Discard, a.Body)
		is.NoErr(err)
		// The connection is kept for the next request.
		_, err = io.WriteString(c, "POST /x/ HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\nDeadline-Ms: 100\r\nContent-Length: 2\r\n\r\nok")
		is.NoErr(err)
	}
	is.Equal(len(limits), 0)
}
