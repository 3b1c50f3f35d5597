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

// A waiting read of the desired state hangs: its connection carries nothing more, while new
// ones work. A node noticed it after 28.7 s.
func TestHungReadIsReplacedOnceItIsRenewed(t *testing.T) {
	is := is.New(t)
	s, w, messages := newWatcher(t)
	var hung atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.URL.Path, "log-read") && r.URL.Query().Get("Topic") == "keyed.op" && hung.CompareAndSwap(false, true) {
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
	for !hung.Load() {
		time.Sleep(time.Millisecond)
	}
	s.Put("keyed.op", "config", []byte(`{"Version":4}`))
	began := time.Now()
	// A read that has just begun is not renewed.
	w.RenewDesired(true)
	time.Sleep(w.Store.Timeout)
	w.RenewDesired(true)
	is.Equal(nextMessage[core.DesiredState](t, messages).Version, int64(4))
	is.True(time.Since(began) < time.Second)
}
