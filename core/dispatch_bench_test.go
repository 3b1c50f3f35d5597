package core_test

import (
	"fmt"
	"testing"
	"time"

	"daisyshed.dev/core"
)

// BenchmarkOwnerAtACrest measures the processor time of an owner for one request, from
// its arrival to its release, while a queue of others waits for the memory of 128
// engines.
func BenchmarkOwnerAtACrest(b *testing.B) {
	benchmarkCrest(b, worldState(), func(core.ForwardID) (int, core.TenantID) { return 0, "" })
}

// BenchmarkDividingOwnerAtACrest measures the same for a service whose room is divided between
// 16 tenants and 3 ranks.
func BenchmarkDividingOwnerAtACrest(b *testing.B) {
	d := worldState()
	d.HasTenants = true
	for i := range peakTenants {
		d.Tenants = append(d.Tenants, core.Tenant{ID: tenantNamed(i)})
	}
	benchmarkCrest(b, d, func(id core.ForwardID) (int, core.TenantID) {
		return int(id % 3), tenantNamed(int(id) * 7 % peakTenants)
	})
}

func benchmarkCrest(b *testing.B, state core.DesiredState, who func(core.ForwardID) (int, core.TenantID)) {
	h := newHosted("n1", core.Settings{})
	list := core.InstancesRead{Whole: true, Offset: 1}
	for i := range 128 {
		role := core.Decode
		if i%6 == 0 {
			role = core.Prefill
		}
		id := core.EngineID(fmt.Sprintf("e%03d", i))
		list.Changed = append(list.Changed, core.Instance{ID: id, Service: "model", Domain: "d1", Address: string(id) + ":1", Slots: 16, Role: role, Born: 1})
	}
	h.deliver(core.Tick{}, state, list)
	tell := func(body core.PeerBody) {
		h.node.Update(h.now, core.PeerMessage{From: "n2", Incarnation: 1, Body: body})
	}
	place := func(id core.ForwardID) {
		rank, tenant := who(id)
		tell(core.PlaceForward{
			ID: id, Group: core.DispatchGroup{Service: "model"}, Prompt: worldPrompt, Expected: worldOutput,
			OnTime: time.Hour, Patience: time.Hour, Objective: worldObjective, Again: true, Rank: rank, Tenant: tenant,
		})
		tell(core.ForwardPromptRead{ID: id})
	}
	const running, waiting = 106 * 6, 100
	for id := range core.ForwardID(running + waiting) {
		place(id)
	}
	b.ResetTimer()
	for i := range b.N {
		id := core.ForwardID(i)
		tell(core.ForwardReleased{ID: id, Outcome: core.RunSucceeded, Output: worldOutput})
		place(id + running + waiting)
	}
}
