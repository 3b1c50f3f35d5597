package peer

import (
	"time"

	"daisyshed.dev/core"
)

func fromMemberUpdate(u core.MemberUpdate) *MemberUpdate {
	return &MemberUpdate{
		Node:        fromNode(u.Node),
		Incarnation: uint64(u.Incarnation),
		Status:      uint32(u.Status),
		Sequence:    u.Sequence,
	}
}

func toMemberUpdates(list []*MemberUpdate) ([]core.MemberUpdate, error) {
	if len(list) == 0 {
		return nil, nil
	}
	out := make([]core.MemberUpdate, len(list))
	for i, u := range list {
		status, err := toEnum("MemberUpdate.Status", u.GetStatus(), core.Left)
		if err != nil {
			return nil, err
		}
		out[i] = core.MemberUpdate{
			Node:        toNode(u.GetNode()),
			Incarnation: core.Incarnation(u.GetIncarnation()),
			Status:      status,
			Sequence:    u.GetSequence(),
		}
	}
	return out, nil
}

// fromStateProof returns nil for no proof.
func fromStateProof(p core.StateProof) *StateProof {
	if p == (core.StateProof{}) {
		return nil
	}
	return &StateProof{Number: p.Number, AgeNanos: int64(p.Age)}
}

func toStateProof(p *StateProof) core.StateProof {
	return core.StateProof{Number: p.GetNumber(), Age: time.Duration(p.GetAgeNanos())}
}

// fromSettledRemovals returns nil if nothing is said.
func fromSettledRemovals(r core.SettledRemovals) *SettledRemovals {
	if r == (core.SettledRemovals{}) {
		return nil
	}
	return &SettledRemovals{Era: int64(r.Era), Through: int64(r.Through)}
}

func toSettledRemovals(r *SettledRemovals) core.SettledRemovals {
	return core.SettledRemovals{Era: core.StoreEra(r.GetEra()), Through: core.Offset(r.GetThrough())}
}

func fromHeartbeat(b core.Heartbeat) *Heartbeat {
	return &Heartbeat{
		Sequence:     b.Sequence,
		OnBehalfOf:   string(b.OnBehalfOf),
		Updates:      convertAll(b.Updates, fromMemberUpdate),
		ConfigOffset: int64(b.ConfigOffset),
		KnownOffset:  int64(b.KnownOffset),
		Proof:        fromStateProof(b.Proof),
		Settled:      fromSettledRemovals(b.Settled),
	}
}

func toHeartbeat(b *Heartbeat) (core.PeerBody, error) {
	updates, err := toMemberUpdates(b.GetUpdates())
	if err != nil {
		return nil, err
	}
	return core.Heartbeat{
		Sequence:     b.GetSequence(),
		OnBehalfOf:   core.NodeID(b.GetOnBehalfOf()),
		Updates:      updates,
		ConfigOffset: core.Offset(b.GetConfigOffset()),
		KnownOffset:  core.Offset(b.GetKnownOffset()),
		Proof:        toStateProof(b.GetProof()),
		Settled:      toSettledRemovals(b.GetSettled()),
	}, nil
}

func fromHeartbeatAck(b core.HeartbeatAck) *HeartbeatAck {
	return &HeartbeatAck{
		Sequence:     b.Sequence,
		OnBehalfOf:   string(b.OnBehalfOf),
		Updates:      convertAll(b.Updates, fromMemberUpdate),
		ConfigOffset: int64(b.ConfigOffset),
		KnownOffset:  int64(b.KnownOffset),
		Proof:        fromStateProof(b.Proof),
		Settled:      fromSettledRemovals(b.Settled),
		Spare:        b.Spare,
	}
}

func toHeartbeatAck(b *HeartbeatAck) (core.PeerBody, error) {
	updates, err := toMemberUpdates(b.GetUpdates())
	if err != nil {
		return nil, err
	}
	return core.HeartbeatAck{
		Sequence:     b.GetSequence(),
		OnBehalfOf:   core.NodeID(b.GetOnBehalfOf()),
		Updates:      updates,
		ConfigOffset: core.Offset(b.GetConfigOffset()),
		KnownOffset:  core.Offset(b.GetKnownOffset()),
		Proof:        toStateProof(b.GetProof()),
		Settled:      toSettledRemovals(b.GetSettled()),
		Spare:        b.GetSpare(),
	}, nil
}

func fromHeartbeatRequest(b core.HeartbeatRequest) *HeartbeatRequest {
	return &HeartbeatRequest{Target: string(b.Target), Sequence: b.Sequence}
}

func toHeartbeatRequest(b *HeartbeatRequest) core.PeerBody {
	return core.HeartbeatRequest{Target: core.NodeID(b.GetTarget()), Sequence: b.GetSequence()}
}
