package store_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

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
