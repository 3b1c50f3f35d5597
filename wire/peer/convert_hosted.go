package peer

import (
	"strings"
	"time"

	"daisyshed.dev/core"
)

func fromRoleOrders(list []core.Order) *RolesOrdered {
	return &RolesOrdered{Orders: convertAll(list, func(o core.Order) *RoleOrder {
		return &RoleOrder{Engine: string(o.Engine), Role: uint32(o.Role), Fencing: int64(o.Fencing)}
	})}
}

func toRoleOrders(b *RolesOrdered) ([]core.Order, error) {
	var out []core.Order
	for _, o := range b.GetOrders() {
		role, err := toEnum("RoleOrder.Role", o.GetRole(), core.Plain)
		if err != nil {
			return nil, err
		}
		out = append(out, core.Order{
			Engine: core.EngineID(o.GetEngine()), Kind: core.SetRole, Role: role, Fencing: core.Offset(o.GetFencing()),
		})
	}
	return out, nil
}

func fromInstance(i core.Instance) *Instance {
	return &Instance{
		ID: string(i.ID), Service: string(i.Service), Domain: string(i.Domain), Address: i.Address,
		Born: i.Born, Slots: int64(i.Slots), Draining: i.Draining, Role: uint32(i.Role), Version: string(i.Version),
	}
}

func toInstances(list []*Instance) ([]core.Instance, error) {
	var out []core.Instance
	for _, i := range list {
		role, err := toEnum("Instance.Role", i.GetRole(), core.Plain)
		if err != nil {
			return nil, err
		}
		out = append(out, core.Instance{
			ID: core.EngineID(i.GetID()), Service: core.ServiceID(i.GetService()), Domain: core.DomainID(i.GetDomain()),
			Address: i.GetAddress(), Born: i.GetBorn(), Slots: int(i.GetSlots()), Draining: i.GetDraining(), Role: role, Version: core.SoftwareVersion(i.GetVersion()),
		})
	}
	return out, nil
}

func fromStateAnswer(b core.StateAnswer) *StateAnswer {
	return &StateAnswer{
		Offset: int64(b.Offset), Record: b.Record, InstancesOffset: int64(b.Instances.Offset),
		Instances: convertAll(b.Instances.Instances, fromInstance), InstancesEra: int64(b.Instances.Era),
	}
}

func toStateAnswer(b *StateAnswer) (core.PeerBody, error) {
	list, err := toInstances(b.GetInstances())
	if err != nil {
		return nil, err
	}
	return core.StateAnswer{
		Offset: core.Offset(b.GetOffset()), Record: b.GetRecord(),
		Instances: core.InstanceList{
			Era: core.StoreEra(b.GetInstancesEra()), Offset: core.Offset(b.GetInstancesOffset()), Instances: list,
		},
	}, nil
}

func fromInstancesChanged(b core.InstancesChanged) *InstancesChanged {
	return &InstancesChanged{
		After: int64(b.After), Era: int64(b.Era), Offset: int64(b.Offset),
		Changed: convertAll(b.Changed, fromInstance),
		Removed: convertAll(b.Removed, func(id core.EngineID) string { return string(id) }), ConfigOffset: int64(b.ConfigOffset), Proof: fromStateProof(b.Proof),
		Passed: fromServiceVersions(b.Passed), Settled: fromSettledRemovals(b.Settled),
	}
}

func toInstancesChanged(b *InstancesChanged) (core.PeerBody, error) {
	list, err := toInstances(b.GetChanged())
	if err != nil {
		return nil, err
	}
	return core.InstancesChanged{
		After: core.Offset(b.GetAfter()),
		Era:   core.StoreEra(b.GetEra()), Offset: core.Offset(b.GetOffset()), Changed: list,
		Removed: convertAll(b.GetRemoved(), func(id string) core.EngineID { return core.EngineID(id) }), ConfigOffset: core.Offset(b.GetConfigOffset()),
		Proof: toStateProof(b.GetProof()), Passed: toServiceVersions(b.GetPassed()), Settled: toSettledRemovals(b.GetSettled()),
	}, nil
}

func toForwardReleased(b *ForwardReleased) (core.PeerBody, error) {
	outcome, err := toEnum("ForwardReleased.Outcome", b.GetOutcome(), core.RunFailed)
	if err != nil {
		return nil, err
	}
	return core.ForwardReleased{ID: core.ForwardID(b.GetID()), Outcome: outcome, Output: core.Tokens(b.GetOutput()), NotRun: b.GetNotRun()}, nil
}

func fromPlaceForward(b core.PlaceForward) *PlaceForward {
	return &PlaceForward{
		ID: uint64(b.ID), Service: string(b.Group.Service), Index: uint32(b.Group.Index),
		Prompt: int64(b.Prompt), Expected: int64(b.Expected), MaxOutput: int64(b.MaxOutput), Rank: int64(b.Rank),
		OnTimeNanos: int64(b.OnTime), PatienceNanos: int64(b.Patience), ObjectiveNanos: int64(b.Objective), MaxPauseNanos: int64(b.MaxPause),
		Prompted: uint64(b.PromptKey), Attempt: strings.ToValidUTF8(b.Attempt, "?"), WaitedNanos: int64(b.Waited), Again: b.Again, Avoid: convertAll(b.Avoid, func(id core.EngineID) string { return string(id) }),
		Version: fromVersion(b.Version), Tenant: string(b.Tenant), Usage: int64(b.Usage), Charged: b.Charged, BodyBytes: b.BodyBytes,
	}
}

func toPlaceForward(b *PlaceForward) core.PeerBody {
	return core.PlaceForward{
		ID:     core.ForwardID(b.GetID()),
		Group:  core.DispatchGroup{Service: core.ServiceID(b.GetService()), Index: int(b.GetIndex())},
		Prompt: core.Tokens(b.GetPrompt()), Expected: core.Tokens(b.GetExpected()), MaxOutput: core.Tokens(b.GetMaxOutput()), Rank: int(b.GetRank()),
		OnTime: time.Duration(b.GetOnTimeNanos()), Patience: time.Duration(b.GetPatienceNanos()),
		Objective: time.Duration(b.GetObjectiveNanos()), MaxPause: time.Duration(b.GetMaxPauseNanos()), PromptKey: core.PromptKey(b.GetPrompted()), Attempt: b.GetAttempt(), Waited: time.Duration(b.GetWaitedNanos()), Again: b.GetAgain(),
		Avoid: convertAll(b.GetAvoid(), func(id string) core.EngineID { return core.EngineID(id) }), Version: toVersion(b.Version),
		Tenant: core.TenantID(b.GetTenant()), Usage: core.Tokens(b.GetUsage()), Charged: b.GetCharged(), BodyBytes: b.GetBodyBytes(),
	}
}

func fromPlacementIDs(ids []core.ForwardID) *PlacementIDs {
	return &PlacementIDs{IDs: convertAll(ids, func(id core.ForwardID) uint64 { return uint64(id) })}
}

func toPlacementIDs(b *PlacementIDs) []core.ForwardID {
	return convertAll(b.GetIDs(), func(id uint64) core.ForwardID { return core.ForwardID(id) })
}

func toForwardPlaced(b *ForwardPlaced) core.PeerBody {
	return core.ForwardPlaced{
		ID: core.ForwardID(b.GetID()), Decode: core.EngineID(b.GetDecode()), Prefill: core.EngineID(b.GetPrefill()),
		PrefillAtDecode: b.GetPrefillAtDecode(), Memory: core.Tokens(b.GetMemory()),
	}
}

func fromForwardHeld(b core.ForwardHeld) *ForwardHeld {
	return &ForwardHeld{
		ID: uint64(b.ID), Service: string(b.Group.Service), Index: uint32(b.Group.Index),
		Decode: string(b.Decode), Memory: int64(b.Memory),
	}
}

func toForwardHeld(b *ForwardHeld) core.PeerBody {
	return core.ForwardHeld{
		ID:     core.ForwardID(b.GetID()),
		Group:  core.DispatchGroup{Service: core.ServiceID(b.GetService()), Index: int(b.GetIndex())},
		Decode: core.EngineID(b.GetDecode()), Memory: core.Tokens(b.GetMemory()),
	}
}
