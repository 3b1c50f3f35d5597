package vmlist

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"daisyshed.dev/core"
)

// MaxAnswerBytes bounds an answer of the VM list.
const MaxAnswerBytes = 32 << 20

// The values of VM's fields Kind and State.
const (
	KindEntry    = "Entry"
	KindEngine   = "Engine"
	KindService  = "Service"
	StateLive    = "Live"
	StateLeaving = "Leaving"
)

// Client reads the VM list at Base, such as "http://127.0.0.1:7001". HTTP is
// http.DefaultClient where it is nil; timeouts are the caller's, by context.
type Client struct {
	Base string
	HTTP *http.Client
}

// ReadError says that the VM list could not be read.
type ReadError struct {
	// Status is the HTTP status, or zero where there was no answer.
	Status int
	Reason string
}

// Error gives the reason.
func (e *ReadError) Error() string { return "read of the VM list: " + e.Reason }

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
	list, err := decode(resp.Body)
	if err != nil {
		return core.VMList{}, &ReadError{Status: resp.StatusCode, Reason: err.Error()}
	}
	return list.Core(), nil
}

func (c *Client) client() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return http.DefaultClient
}

func decode(r io.Reader) (List, error) {
	var list List
	data, err := io.ReadAll(io.LimitReader(r, MaxAnswerBytes+1))
	if err != nil {
		return list, err
	}
	if len(data) > MaxAnswerBytes {
		return list, &ReadError{Reason: fmt.Sprintf("the answer is longer than %d bytes", MaxAnswerBytes)}
	}
	return list, json.Unmarshal(data, &list)
}

// Core sorts the VMs into nodes and upstreams. It passes over kinds that it
// does not know, which belong to others.
func (l List) Core() core.VMList {
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
