package store_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/store"
	"daisyshed.dev/platform"
	"daisyshed.dev/standin/metastore"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// watch follows a stand-in of the store.
func watch(t *testing.T) (*metastore.Store, *store.Watcher, chan core.Message) {
	s := &metastore.Store{}
	server := httptest.NewServer(s)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	messages := make(chan core.Message, 64)
	w := &store.Watcher{
		Store:      &platform.Store{Address: server.Listener.Addr().String(), HTTP: &http.Client{}, Timeout: 300 * time.Millisecond},
		Send:       func(m core.Message) { messages <- m },
		Log:        zerolog.New(io.Discard),
		Self:       core.NodeInfo{ID: "n1", PeerAddress: "127.0.0.1:1", CallerAddress: "127.0.0.1:2"},
		StateDelay: time.Second,
	}
	return s, w, messages
}

// next returns the next message of a type.
func next[M core.Message](t *testing.T, messages chan core.Message) M {
	timeout := time.After(5 * time.Second)
	for {
		select {
		case m := <-messages:
			if m, ok := m.(M); ok {
				return m
			}
		case <-timeout:
			var none M
			t.Fatalf("no %T", none)
		}
	}
}

func entry(state string) []byte {
	raw, _ := json.Marshal(map[string]any{"Service": "s", "Address": "127.0.0.1:9", "Slots": 2, "State": state, "born": 1})
	return raw
}

func TestDesiredStateIsFollowed(t *testing.T) {
	is := is.New(t)
	s, w, messages := watch(t)
	s.Put("keyed.op", "config", []byte(`{"Version":3}`))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go w.Run(ctx)
	is.Equal(next[core.DesiredState](t, messages).Version, int64(3))
	s.Put("keyed.op", "config", []byte(`{"Version":`))
	s.Put("keyed.op", "config", []byte(`{"Version":8}`))
	is.Equal(next[core.DesiredState](t, messages).Version, int64(8))
}

// A node writes its own entry, also if the store was away at its start, and
// learns of other nodes.
func TestNodesFindEachOther(t *testing.T) {
	is := is.New(t)
	s, w, messages := watch(t)
	s.SetMode(metastore.Unavailable)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go w.Run(ctx)
	next[core.PlatformFailed](t, messages)
	s.SetMode(metastore.Serving)
	list := next[core.VMList](t, messages)
	is.Equal(list.Nodes, []core.NodeInfo{w.Self})
}

func TestInstancesAreRead(t *testing.T) {
	is := is.New(t)
	s, w, messages := watch(t)
	s.Put("keyed.servers", "e1", entry("ready"))
	s.Put("keyed.servers", "e2", []byte("junk"))
	w.ReadInstances(core.ReadInstances{Whole: true})
	m := next[core.InstancesRead](t, messages)
	is.Equal(len(m.Changed), 1)
	is.Equal(m.Removed, []core.EngineID{"e2"})
	is.Equal(m.Offset, core.Offset(2))
	s.Put("keyed.servers", "e1", entry("draining"))
	s.Put("keyed.servers", "e1", nil)
	s.Put("keyed.servers", "e3", entry("draining"))
	w.ReadInstances(core.ReadInstances{After: m.Offset})
	m = next[core.InstancesRead](t, messages)
	is.Equal(len(m.Changed), 1)
	is.True(m.Changed[0].Draining)
	is.Equal(m.Removed, []core.EngineID{"e1"})
}

// History that the store dropped is told apart from a failure.
func TestDroppedHistoryIsTold(t *testing.T) {
	is := is.New(t)
	s, w, messages := watch(t)
	s.Put("keyed.servers", "e1", entry("ready"))
	s.Put("keyed.servers", "e1", entry("ready"))
	s.Compact("keyed.servers")
	w.ReadInstances(core.ReadInstances{After: 1})
	is.True(next[core.InstancesUnread](t, messages).Compacted)
	s.SetMode(metastore.Resetting)
	w.ReadInstances(core.ReadInstances{After: 2})
	is.True(!next[core.InstancesUnread](t, messages).Compacted)
}

// Of two claims at one offset, one holds; the other learns where the claims end.
func TestOneOfTwoClaimsHolds(t *testing.T) {
	is := is.New(t)
	_, w, messages := watch(t)
	w.Claim(core.ClaimOrders{Ticket: 1})
	is.Equal(next[core.OrdersClaimed](t, messages).Offset, core.Offset(0))
	w.Claim(core.ClaimOrders{Ticket: 2})
	lost := next[core.OrdersNotClaimed](t, messages)
	is.True(lost.Known)
	is.Equal(lost.End, core.Offset(1))
}

// A claim whose answer got lost may hold or not: that is said.
func TestLostClaimIsUnknown(t *testing.T) {
	is := is.New(t)
	s, w, messages := watch(t)
	s.SetLoses(1)
	w.Claim(core.ClaimOrders{Ticket: 1})
	is.True(!next[core.OrdersNotClaimed](t, messages).Known)
}
