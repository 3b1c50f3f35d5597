package ingress_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/ingress"
	"github.com/matryer/is"
)

// The bodies of many requests, each within its limit, exceeded the memory of a node. It was killed
// with all its requests.
func TestSumOfBodiesIsBounded(t *testing.T) {
	is := is.New(t)
	const size, limit = 1 << 20, 4 << 20
	held := make(chan core.ForwardID, 16)
	var server *ingress.Server
	s, _ := startServerWith(t, func(s *ingress.Server) {
		server = s
		s.LimitMemory(limit)
	}, func(m core.Message) []core.ForwardCommand {
		if m, ok := m.(core.Forward); ok {
			held <- m.ID
		}
		return nil
	})
	statuses := make(chan *http.Response, 16)
	send := func(body string) { go func() { statuses <- post(t, s.URL, "a", []byte(body)) }() }
	for range 3 {
		send(strings.Repeat("x", size))
	}
	first := []core.ForwardID{<-held, <-held, <-held}
	send(strings.Repeat("x", size))
	rejected := <-statuses
	is.Equal(rejected.StatusCode, http.StatusServiceUnavailable)
	is.True(rejected.Header.Get("Retry-After") != "")
	// A small request is served beside them.
	send("x")
	small := <-held
	for _, id := range append(first, small) {
		server.Execute(core.EndForward{ID: id, Reason: core.NoCapacity, NotRun: true})
		<-statuses
	}
	for deadline := time.Now().Add(2 * time.Second); server.InProgress() > 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	// The memory is free again.
	for range 3 {
		send(strings.Repeat("x", size))
	}
	for range 3 {
		server.Execute(core.EndForward{ID: <-held, Reason: core.NoCapacity, NotRun: true})
	}
}
