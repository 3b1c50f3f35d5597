package ingress_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// The caller's key must not reach an upstream with any step of a request, and the tenant must, whatever
// the caller says that it is.
func TestUpstreamsGetTheTenantAndNotTheKey(t *testing.T) {
	is := is.New(t)
	heads := make(chan http.Header, 2)
	u := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		heads <- r.Header.Clone()
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Server-Seal", "s")
		_, _ = w.Write([]byte(`{"KvHandle":"k","Tokens":1}`))
	}))
	t.Cleanup(u.Close)
	address := strings.TrimPrefix(u.URL, "http://")
	s, _ := startServer(t, func(m core.Message) []core.ForwardCommand {
		switch m := m.(type) {
		case core.Forward:
			return []core.ForwardCommand{core.RunPrefill{ID: m.ID, Send: 1, Engine: "p1", Address: address, Timeout: time.Second, Tenant: "acme", HideKey: true}}
		case core.PrefillFinished:
			return []core.ForwardCommand{core.RunForward{ID: m.ID, Send: 2, Engine: "e1", Address: address, Patience: time.Second, Tenant: "acme", HideKey: true}}
		}
		return nil
	})
	r, err := http.NewRequest(http.MethodPost, s.URL+"/x/", strings.NewReader("body"))
	is.NoErr(err)
	r.Header = http.Header{"Attempt-Id": {"a"}, "Credential": {"sk-secret-1"}, "Tenant-Id": {"forged"}}
	a, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	is.NoErr(a.Body.Close())
	is.Equal(a.StatusCode, http.StatusOK)
	for range 2 {
		h := <-heads
		is.Equal(h.Values("Tenant-Id"), []string{"acme"})
		is.True(!strings.Contains(fmt.Sprint(h), "sk-secret"))
	}
}
