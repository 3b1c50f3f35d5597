package ingress_test

import (
	"errors"
	"io"
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
