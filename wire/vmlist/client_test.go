package vmlist_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"daisyshed.dev/core"
	"daisyshed.dev/wire/vmlist"
	"github.com/matryer/is"
)

func TestRead(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.URL.Path, vmlist.VMsPath)
		_ = json.NewEncoder(w).Encode(vmlist.List{VMs: []vmlist.VM{
			{ID: "n", Kind: vmlist.KindEntry, Domain: "d", Region: "r", Address: "a:1", CallerAddress: "a:2", State: vmlist.StateLive},
			{ID: "e", Kind: vmlist.KindEngine, Pool: "p", Domain: "d", Region: "r", Address: "b:1", State: vmlist.StateLeaving},
			{ID: "s", Kind: vmlist.KindService, Pool: "q", Address: "c:1", State: vmlist.StateLive},
			{ID: "x", Kind: "Other"},
		}})
	}))
	defer s.Close()
	list, err := (&vmlist.Client{Base: s.URL}).Read(context.Background())
	is.NoErr(err)
	is.Equal(list, core.VMList{
		Nodes: []core.NodeInfo{{ID: "n", Domain: "d", Region: "r", PeerAddress: "a:1", CallerAddress: "a:2"}},
		Upstreams: []core.Upstream{
			{ID: "e", Pool: "p", Domain: "d", Region: "r", Address: "b:1", Leaving: true},
			{ID: "s", Pool: "q", Address: "c:1"},
		},
	})
}

func TestReadError(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.NotFoundHandler())
	defer s.Close()
	_, err := (&vmlist.Client{Base: s.URL}).Read(context.Background())
	var e *vmlist.ReadError
	is.True(errors.As(err, &e))
	is.Equal(e.Status, 404)
}
