package store_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/store"
	"github.com/matryer/is"
)

// manyRoutes returns a desired state with routes whose names, hosts and prefixes are random.
func manyRoutes(n int) []byte {
	rng := rand.New(rand.NewPCG(1, 1))
	type route struct{ Name, Host, PathPrefix, Kind, Service string }
	var d struct {
		Version int
		Routes  []route
	}
	for range n {
		d.Routes = append(d.Routes, route{
			fmt.Sprintf("r-%08x", rng.Uint32()), fmt.Sprintf("%06x.example", rng.Uint32()), fmt.Sprintf("/%08x/", rng.Uint32()), "idempotent", "ledger",
		})
	}
	raw, _ := json.Marshal(d)
	return raw
}

// A state of thousands of routes is sent between nodes in a third of its bytes, and one that
// a node of an earlier version sends is still read.
func TestLargeStateIsCompressedForPeers(t *testing.T) {
	is := is.New(t)
	value := manyRoutes(3600)
	packed, err := store.CompressState(value)
	is.NoErr(err)
	t.Logf("%d of %d bytes", len(packed), len(value))
	is.True(len(packed) < len(value)/3)
	got, err := store.DecompressState(packed)
	is.NoErr(err)
	is.True(bytes.Equal(got, value))
	got, err = store.DecompressState(value)
	is.NoErr(err)
	is.True(bytes.Equal(got, value))
}

// A peer sends a small record that decompresses without end.
func TestEndlessStateOfAPeerIsRejected(t *testing.T) {
	is := is.New(t)
	packed, err := store.CompressState(make([]byte, 32<<20))
	is.NoErr(err)
	_, err = store.DecompressState(packed)
	var tooLong *store.StateTooLongError
	is.True(errors.As(err, &tooLong))
	_, err = store.DecompressState(packed[:len(packed)/2])
	is.True(err != nil)
}

// keyedState is a desired state with the keys of a tenant.
const keyedState = `{"Version":3,"Routes":[{"Name":"a","Kind":"idempotent"}],"Tenants":[{"Name":"acme","ApiKeys":["sk-secret-1","sk-secret-2"]}]}`

// A node sends other nodes what it has read of the store, and no key may be in it.
func TestStateThatIsReadIsSentToPeersWithoutKeys(t *testing.T) {
	is := is.New(t)
	s, w, messages := newWatcher(t)
	s.Put("keyed.op", "config", []byte(keyedState))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go w.Run(ctx)
	d := nextMessage[core.DesiredState](t, messages)
	is.Equal(len(d.Tenants[0].Keys), 2)
	sent, err := store.DecompressState(d.Encoded)
	is.NoErr(err)
	is.True(!strings.Contains(string(sent), "sk-secret"))
	got, err := store.DecodePeerState(d.Encoded, d.Offset)
	is.NoErr(err)
	is.Equal(got.Source, core.StateFromPeer)
	is.Equal(got.Tenants, d.Tenants)
	is.Equal(got.Encoded, d.Encoded)
}

// A node of an earlier build sends what the store holds, with keys. They go no further, nor into the log
// if the record is damaged.
func TestKeysFromAPeerOfAnEarlierBuildAreNotPassedOn(t *testing.T) {
	is := is.New(t)
	packed, err := store.CompressState([]byte(keyedState))
	is.NoErr(err)
	for _, record := range [][]byte{[]byte(keyedState), packed} {
		d, err := store.DecodePeerState(record, 5)
		is.NoErr(err)
		is.Equal(len(d.Tenants[0].Keys), 2)
		sent, err := store.DecompressState(d.Encoded)
		is.NoErr(err)
		is.True(!strings.Contains(string(sent), "sk-secret"))
	}
	_, err = store.DecodePeerState([]byte(keyedState[:len(keyedState)-8]), 5)
	is.True(err != nil)
	is.True(!strings.Contains(err.Error(), "sk-secret"))
}
