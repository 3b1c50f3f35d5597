package vmlist

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"daisyshed.dev/core"
)

// MaxResponseBytes is the largest response of the VM list that is read.
const MaxResponseBytes = 32 << 20

// The values of VM's fields Kind and State.
const (
	KindEntry    = "Entry"
	KindEngine   = "Engine"
	KindService  = "Service"
	StateLive    = "Live"
	StateLeaving = "Leaving"
)

// Client reads the VM list at the URL Base, such as "http://127.0.0.1:7001". If
// HTTP is nil, it uses [http.DefaultClient]. Timeouts are set through the context.
type Client struct {
	Base string
	HTTP *http.Client
}

// ReadError reports that the VM list could not be read.
type ReadError struct {
	// Status is the HTTP status, or zero if there was no response.
	Status int
	Reason string
}

// Error returns the reason.
func (e *ReadError) Error() string { return "cannot read the VM list: " + e.Reason }

// Read reads the VM list. Its error is a [*ReadError].
func (c *Client) Read(ctx context.Context) (core.VMList, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.Base+VMsPath, nil)
	if err != nil {
		return core.VMList{}, &ReadError{Reason: err.Error()}
	}
	resp, err := c.client().Do(r)
	if err != nil {
		return core.VMList{}, &ReadError{Reason: err.Error()}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return core.VMList{}, &ReadError{Status: resp.StatusCode, Reason: resp.Status}
	}
	list, err := decodeList(resp.Body)
	if err != nil {
		return core.VMList{}, &ReadError{Status: resp.StatusCode, Reason: err.Error()}
	}
	return list.ToCore(), nil
}

func (c *Client) client() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return http.DefaultClient
}

func decodeList(r io.Reader) (List, error) {
	var list List
	data, err := io.ReadAll(io.LimitReader(r, MaxResponseBytes+1))
	if err != nil {
		return list, err
	}
	if len(data) > MaxResponseBytes {
		return list, &ReadError{Reason: fmt.Sprintf("the response is longer than %d bytes", MaxResponseBytes)}
	}
	return list, json.Unmarshal(data, &list)
}

// ToCore converts the list to the nodes and upstreams that the core handles. It
// skips VMs of unknown kinds, which belong to other systems.
func (l List) ToCore() core.VMList {
	var out core.VMList
	for _, vm := range l.VMs {
		switch vm.Kind {
		case KindEntry:
			out.Nodes = append(out.Nodes, vm.node())
		case KindEngine, KindService:
			out.Upstreams = append(out.Upstreams, vm.upstream())
		}
	}
	return out
}

func (vm VM) node() core.NodeInfo {
	return core.NodeInfo{
		ID:            core.NodeID(vm.ID),
		Domain:        core.DomainID(vm.Domain),
		Region:        core.RegionID(vm.Region),
		PeerAddress:   vm.Address,
		CallerAddress: vm.CallerAddress,
		Leaving:       vm.State == StateLeaving,
	}
}

func (vm VM) upstream() core.Upstream {
	return core.Upstream{
		ID:      core.EngineID(vm.ID),
		Pool:    core.PoolID(vm.Pool),
		Domain:  core.DomainID(vm.Domain),
		Region:  core.RegionID(vm.Region),
		Address: vm.Address,
		Leaving: vm.State == StateLeaving,
	}
}
