package ingress_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/ingress"
	"github.com/matryer/is"
)

// The process stands still between the core's order and the moment at which it is written. Another
// node may have claimed meanwhile, so that both would give orders.
func TestOrderIsNotSentAfterItsClaim(t *testing.T) {
	for name, c := range map[string]struct {
		late time.Duration
		sent bool
	}{
		"in time": {0, true},
		"late":    {time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			arrived := make(chan string, 4)
			engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				arrived <- r.URL.Path
				w.WriteHeader(http.StatusAccepted)
			}))
			t.Cleanup(engine.Close)
			const expires = core.Instant(time.Hour)
			startServerWith(t, func(s *ingress.Server) {
				s.Clock = func() core.Instant { return expires.Add(c.late) }
				s.SendOrder(engine.Listener.Addr().String(), core.SendOrder{Order: core.Order{Engine: "e1", Role: core.Prefill}, Expires: expires})
			}, nil)
			wait := 300 * time.Millisecond
			if c.sent {
				wait = 10 * time.Second
			}
			select {
			case <-arrived:
				is.True(c.sent)
			case <-time.After(wait):
				is.True(!c.sent)
			}
		})
	}
}
