package store_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/store"
	"daisyshed.dev/platform"
	"daisyshed.dev/standin/metastore"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// newWatcher returns a fake of the metadata store, a watcher of it, and the messages
// that the watcher sends.
func newWatcher(t *testing.T) (*metastore.Store, *store.Watcher, chan core.Message) {
	s := &metastore.Store{}
	server := httptest.NewServer(s)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	messages := make(chan core.Message, 64)
	w := &store.Watcher{
		Store:      &platform.Store{Address: server.Listener.Addr().String(), HTTP: &http.Client{}, Timeout: 300 * time.Millisecond},
		SendToCore: func(m core.Message) { messages <- m },
		Log:        zerolog.New(io.Discard),
		Self:       core.NodeInfo{ID: "n1", PeerAddress: "127.0.0.1:1", CallerAddress: "127.0.0.1:2"},
	}
	w.Prepare()
	return s, w, messages
}

// nextMessage returns the next message of type M and drops those of other types.
func nextMessage[M core.Message](t *testing.T, messages chan core.Message) M {
	timeout := time.After(5 * time.Second)
	for {
		select {
		case m := <-messages:
			if m, ok := m.(M); ok {
				return m
			}
		case <-timeout:
			var none M
			t.Fatalf("no %T within 5 s", none)
		}
	}
}

// entry returns an upstream's entry in the given state.
func entry(state string) []byte {
	raw, _ := json.Marshal(map[string]any{"Service": "s", "Address": "127.0.0.1:9", "Slots": 2, "State": state, "born": 1})
	return raw
}

func TestDesiredStateIsWatched(t *testing.T) {
	is := is.New(t)
	s, w, messages := newWatcher(t)
	s.Put("keyed.op", "config", []byte(`{"Version":3}`))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go w.Run(ctx)
	is.Equal(nextMessage[core.DesiredState](t, messages).Version, int64(3))
	s.Put("keyed.op", "config", []byte(`{"Version":`))
	s.Put("keyed.op", "config", []byte(`{"Version":8}`))
	is.Equal(nextMessage[core.DesiredState](t, messages).Version, int64(8))
}

// A node whose store is unavailable at its start must still write its entry once
// the store has recovered, and read the nodes' entries.
func TestNodeIsAnnouncedAfterAnOutage(t *testing.T) {
	is := is.New(t)
	s, w, messages := newWatcher(t)
	s.SetMode(metastore.Unavailable)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go w.Run(ctx)
	nextMessage[core.VMListReadFailed](t, messages)
	s.SetMode(metastore.Serving)
	list := nextMessage[core.VMList](t, messages)
	is.Equal(list.Nodes, []core.NodeInfo{w.Self})
}

func TestInstancesAreRead(t *testing.T) {
	is := is.New(t)
	s, w, messages := newWatcher(t)
	s.Put("keyed.servers", "e1", entry("ready"))
	s.Put("keyed.servers", "e2", []byte("junk"))
	w.ReadInstances(core.ReadInstances{Whole: true})
	m := nextMessage[core.InstancesRead](t, messages)
	is.Equal(len(m.Changed), 1)
	is.Equal(m.Removed, []core.EngineID{"e2"})
	is.Equal(m.Offset, core.Offset(2))
	s.Put("keyed.servers", "e1", entry("draining"))
	s.Put("keyed.servers", "e1", nil)
	s.Put("keyed.servers", "e3", []byte(strings.Replace(string(entry("ready")), "{", `{"Version":"v2",`, 1)))
	s.Put("keyed.servers", "e3", entry("draining"))
	w.ReadInstances(core.ReadInstances{After: m.Offset, Started: 7})
	m = nextMessage[core.InstancesRead](t, messages)
	// A later record replaces that of v2, whose upstream may have run streams.
	is.True(slices.Contains(m.Versions, core.ServiceVersion{Service: "s", Version: "v2"}))
	is.Equal(m.Started, core.Instant(7))
	is.Equal(len(m.Changed), 1)
	is.True(m.Changed[0].Draining)
	is.Equal(m.Removed, []core.EngineID{"e1"})
}

// A read of compacted history must be reported as such, not as a failed call.
// The core asks for the list of upstreams as soon as it runs, while the watcher starts.
// The race detector has to find nothing.
func TestReadWhileTheWatcherStarts(t *testing.T) {
	for range 30 {
		_, w, messages := newWatcher(t)
		ctx, cancel := context.WithCancel(t.Context())
		go w.Run(ctx)
		w.ReadInstances(core.ReadInstances{Whole: true})
		nextMessage[core.InstancesRead](t, messages)
		cancel()
	}
}

func TestCompactedHistoryIsReported(t *testing.T) {
	is := is.New(t)
	s, w, messages := newWatcher(t)
	s.Put("keyed.servers", "e1", entry("ready"))
	s.Put("keyed.servers", "e1", entry("ready"))
	s.Compact("keyed.servers")
	w.ReadInstances(core.ReadInstances{After: 1})
	is.True(nextMessage[core.InstancesReadFailed](t, messages).Compacted)
	s.SetMode(metastore.Resetting)
	w.ReadInstances(core.ReadInstances{After: 2})
	is.True(!nextMessage[core.InstancesReadFailed](t, messages).Compacted)
}

// Of two claims at the same offset only the first succeeds. The second must learn
// the offset at which the claims end.
func TestOnlyOneOfTwoClaimsSucceeds(t *testing.T) {
	is := is.New(t)
	_, w, messages := newWatcher(t)
	w.Claim(core.ClaimOrders{Ticket: 1})
	is.Equal(nextMessage[core.OrdersClaimed](t, messages).Offset, core.Offset(0))
	w.Claim(core.ClaimOrders{Ticket: 2})
	lost := nextMessage[core.OrdersNotClaimed](t, messages)
	is.True(lost.Known)
	is.Equal(lost.End, core.Offset(1))
}

// A claim whose response is lost may have succeeded or not, so that its outcome
// must be reported as unknown.
func TestClaimWithoutResponseIsUnknown(t *testing.T) {
	is := is.New(t)
	s, w, messages := newWatcher(t)
	s.SetLostReplyShare(1)
	w.Claim(core.ClaimOrders{Ticket: 1})
	is.True(!nextMessage[core.OrdersNotClaimed](t, messages).Known)
}

// The nodes' entries are first read before the store has accepted this node's own, as
// when its write is slow. They must be read again soon after it is written, and not only
// after the pause between two reads.
func TestNodesAreReadAgainOnceThisNodeIsAnnounced(t *testing.T) {
	is := is.New(t)
	s, w, messages := newWatcher(t)
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			time.Sleep(200 * time.Millisecond)
		}
		s.ServeHTTP(rw, r)
	}))
	defer server.Close()
	w.Store.Address = server.Listener.Addr().String()
	s.Put("keyed.status", "n0", []byte(`{"PeerAddress":"127.0.0.1:3"}`))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	started := time.Now()
	go w.Run(ctx)
	is.Equal(len(nextMessage[core.VMList](t, messages).Nodes), 1)
	is.Equal(len(nextMessage[core.VMList](t, messages).Nodes), 2)
	is.True(time.Since(started) < time.Second)
}
