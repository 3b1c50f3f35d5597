package peer

import (
	"fmt"

	"daisyshed.dev/core"
	"google.golang.org/protobuf/proto"
)

// UnknownBodyError reports that a message's body has a type for which [Envelope]
// has no field.
type UnknownBodyError struct{ Body core.PeerBody }

// Error names the body's type.
func (e *UnknownBodyError) Error() string { return fmt.Sprintf("peer: unknown body type %T", e.Body) }

// Encode encodes m as the bytes of an [Envelope].
func Encode(m core.PeerMessage) ([]byte, error) {
	envelope, err := ToEnvelope(m)
	if err != nil {
		return nil, err
	}
	data, err := proto.Marshal(envelope)
	if err != nil {
		return nil, &EncodeError{Cause: err}
	}
	return data, nil
}

// ToEnvelope converts m to an [Envelope].
func ToEnvelope(m core.PeerMessage) (*Envelope, error) {
	e := &Envelope{From: string(m.From), Incarnation: uint64(m.Incarnation), Protocol: uint32(m.Protocol)}
	switch b := m.Body.(type) {
	case core.Heartbeat:
		e.Body = &Envelope_Heartbeat{fromHeartbeat(b)}
	case core.HeartbeatAck:
		e.Body = &Envelope_HeartbeatAck{fromHeartbeatAck(b)}
	case core.HeartbeatRequest:
		e.Body = &Envelope_HeartbeatRequest{fromHeartbeatRequest(b)}
	case core.ConfigQuery:
		e.Body = &Envelope_ConfigQuery{&ConfigQuery{After: int64(b.After)}}
	case core.ConfigAnswer:
		answer, err := fromConfigAnswer(b)
		if err != nil {
			return nil, err
		}
		e.Body = &Envelope_ConfigAnswer{answer}
	case core.Place:
		e.Body = &Envelope_Place{fromPlace(b)}
	case core.Placed:
		e.Body = &Envelope_Placed{fromPlaced(b)}
	case core.PlaceQueued:
		e.Body = &Envelope_PlaceQueued{&PlaceQueued{
			Allocation: fromAllocation(b.Allocation), ExpectedNanos: int64(b.Expected),
		}}
	case core.AttemptSuperseded:
		e.Body = &Envelope_AttemptSuperseded{&AttemptSuperseded{Allocation: fromAllocation(b.Allocation)}}
	case core.PlaceRefused:
		e.Body = &Envelope_PlaceRefused{fromPlaceRefused(b)}
	case core.AttemptProgress:
		e.Body = &Envelope_AttemptProgress{fromAttemptProgress(b)}
	case core.AttemptEnded:
		e.Body = &Envelope_AttemptEnded{fromAttemptEnded(b)}
	case core.AttemptEndedAck:
		e.Body = &Envelope_AttemptEndedAck{&AttemptEndedAck{Allocation: fromAllocation(b.Allocation)}}
	case core.HolderQuery:
		e.Body = &Envelope_HolderQuery{&HolderQuery{Allocations: fromAllocations(b.Allocations)}}
	case core.HolderAnswer:
		e.Body = &Envelope_HolderAnswer{&HolderAnswer{
			Asked: fromAllocations(b.Asked), Ended: fromAllocations(b.Ended),
		}}
	case core.MoveAway:
		e.Body = &Envelope_MoveAway{&MoveAway{Allocation: fromAllocation(b.Allocation), ByNanos: int64(b.By)}}
	case core.KeyCall:
		e.Body = &Envelope_KeyCall{fromKeyCall(b)}
	case core.KeyAnswer:
		e.Body = &Envelope_KeyAnswer{fromKeyAnswer(b)}
	case core.PlaceForward:
		e.Body = &Envelope_PlaceForward{fromPlaceForward(b)}
	case core.StreamsBegun:
		e.Body = &Envelope_StreamsBegun{fromStreamsBegun(b)}
	case core.WindowReported:
		e.Body = &Envelope_WindowReported{fromWindowReported(b)}
	case core.VersionQuery:
		e.Body = &Envelope_VersionQuery{&VersionQuery{Service: string(b.Service), Stream: uint64(b.Stream), Search: b.Search}}
	case core.VersionAnswer:
		e.Body = &Envelope_VersionAnswer{&VersionAnswer{
			Stream: uint64(b.Stream), Known: b.Known, Service: string(b.Service), Version: string(b.Version),
		}}
	case core.PlacementsQuery:
		e.Body = &Envelope_PlacementsQuery{fromPlacementIDs(b.IDs)}
	case core.PlacementsEnded:
		e.Body = &Envelope_PlacementsEnded{fromPlacementIDs(b.IDs)}
	case core.ForwardQueued:
		e.Body = &Envelope_ForwardQueued{&ForwardQueued{ID: uint64(b.ID)}}
	case core.ForwardPlaced:
		e.Body = &Envelope_ForwardPlaced{&ForwardPlaced{ID: uint64(b.ID), Decode: string(b.Decode), Prefill: string(b.Prefill), PrefillAtDecode: b.PrefillAtDecode, Memory: int64(b.Memory)}}
	case core.ForwardTurnedAway:
		e.Body = &Envelope_ForwardTurnedAway{&ForwardTurnedAway{ID: uint64(b.ID), RetryAfterNanos: int64(b.RetryAfter), OverCap: b.OverCap}}
	case core.ForwardDenied:
		e.Body = &Envelope_ForwardDenied{&ForwardDenied{ID: uint64(b.ID), Engine: string(b.Engine), Failed: b.Failed}}
	case core.ForwardPromptRead:
		e.Body = &Envelope_ForwardPromptRead{&ForwardPromptRead{ID: uint64(b.ID), Failed: b.Failed}}
	case core.ForwardReleased:
		e.Body = &Envelope_ForwardReleased{&ForwardReleased{ID: uint64(b.ID), Outcome: uint32(b.Outcome), Output: int64(b.Output), NotRun: b.NotRun}}
	case core.ForwardHeld:
		e.Body = &Envelope_ForwardHeld{fromForwardHeld(b)}
	case core.InstancesChanged:
		e.Body = &Envelope_InstancesChanged{fromInstancesChanged(b)}
	case core.RolesWanted:
		e.Body = &Envelope_RolesWanted{fromRoleOrders(b.Orders)}
	case core.RolesOrdered:
		e.Body = &Envelope_RolesOrdered{fromRoleOrders(b.Orders)}
	case core.LimitsReported:
		e.Body = &Envelope_LimitsReported{fromLimitsReported(b)}
	case core.PlacerAnnounced:
		e.Body = &Envelope_PlacerAnnounced{fromPlacerAnnounced(b)}
	case core.UsageReported:
		e.Body = &Envelope_UsageReported{fromUsageReported(b)}
	case core.UsageGranted:
		e.Body = &Envelope_UsageGranted{fromUsageGranted(b)}
	case core.SuspectsReported:
		e.Body = &Envelope_PromptsReported{fromSuspectsReported(b)}
	case core.InstancesQuery:
		e.Body = &Envelope_InstancesQuery{&InstancesQuery{Era: int64(b.Era), After: int64(b.After)}}
	case core.StateQuery:
		e.Body = &Envelope_StateQuery{&StateQuery{Upstreams: b.Upstreams}}
	case core.StateAnswer:
		e.Body = &Envelope_StateAnswer{fromStateAnswer(b)}
	case core.VMListQuery:
		e.Body = &Envelope_VMListQuery{&VMListQuery{}}
	case core.VMListAnswer:
		e.Body = &Envelope_VMListAnswer{fromVMListAnswer(b)}
	default:
		return nil, &UnknownBodyError{Body: m.Body}
	}
	return e, nil
}
