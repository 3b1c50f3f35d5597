package peer

import "daisyshed.dev/core"

func fromRolesOrdered(b core.RolesOrdered) *RolesOrdered {
	return &RolesOrdered{Orders: each(b.Orders, func(o core.Order) *RoleOrder {
		return &RoleOrder{Engine: string(o.Engine), Role: uint32(o.Role), Fencing: int64(o.Fencing)}
	})}
}

func toRolesOrdered(b *RolesOrdered) (core.PeerBody, error) {
	var out core.RolesOrdered
	for _, o := range b.GetOrders() {
		role, err := inRange("RoleOrder.Role", o.GetRole(), core.Plain)
		if err != nil {
			return nil, err
		}
		out.Orders = append(out.Orders, core.Order{
			Engine: core.EngineID(o.GetEngine()), Kind: core.SetRole, Role: role, Fencing: core.Offset(o.GetFencing()),
		})
	}
	return out, nil
}

func fromStateAnswer(b core.StateAnswer) *StateAnswer {
	return &StateAnswer{
		Offset: int64(b.Offset), Record: b.Record, InstancesOffset: int64(b.Instances.Offset),
		Instances: each(b.Instances.Instances, func(i core.Instance) *Instance {
			return &Instance{
				ID: string(i.ID), Service: string(i.Service), Domain: string(i.Domain), Address: i.Address,
				Born: i.Born, Slots: int64(i.Slots), Draining: i.Draining, Role: uint32(i.Role),
			}
		}),
	}
}

func toStateAnswer(b *StateAnswer) (core.PeerBody, error) {
	out := core.StateAnswer{
		Offset: core.Offset(b.GetOffset()), Record: b.GetRecord(),
		Instances: core.InstanceList{Offset: core.Offset(b.GetInstancesOffset())},
	}
	for _, i := range b.GetInstances() {
		role, err := inRange("Instance.Role", i.GetRole(), core.Plain)
		if err != nil {
			return nil, err
		}
		out.Instances.Instances = append(out.Instances.Instances, core.Instance{
			ID: core.EngineID(i.GetID()), Service: core.ServiceID(i.GetService()), Domain: core.DomainID(i.GetDomain()),
			Address: i.GetAddress(), Born: i.GetBorn(), Slots: int(i.GetSlots()), Draining: i.GetDraining(), Role: role,
		})
	}
	return out, nil
}
