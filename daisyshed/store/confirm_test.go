package store_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// The waiting read of the desired state hangs, and nothing has changed. Unless the
// renewed read is answered at once, a store without news looks like a silent connection.
func TestRenewedReadIsAnsweredWithoutNews(t *testing.T) {
	is := is.New(t)
	s, w, messages := newWatcher(t)
	var hung atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		if strings.Contains(r.URL.Path, "log-read") && q.Get("Topic") == "keyed.op" && q.Get("WaitMs") != "0" {
			hung.Add(1)
			<-r.Context().Done()
			return
		}
		s.ServeHTTP(rw, r)
	}))
	defer server.Close()
	w.Store.Address = server.Listener.Addr().String()
	s.Put("keyed.op", "config", []byte(`{"Version":3}`))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go w.Run(ctx)
	is.Equal(nextMessage[core.DesiredState](t, messages).Version, int64(3))
	nextMessage[core.StateConfirmed](t, messages)
	for range 3 {
		before := hung.Load()
		for hung.Load() == before {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(w.Store.Timeout)
		w.RenewDesired(false)
		is.True(nextMessage[core.StateConfirmed](t, messages).Age < time.Second)
	}
}
