package peer

import (
	"time"

	"daisyshed.dev/core"
	"google.golang.org/protobuf/proto"
)

// Decode decodes the bytes of an [Envelope] and returns its message. Invalid
// bytes give a *[DecodeError], *[RangeError], *[SnapshotError] or
// [EmptyEnvelopeError].
func Decode(data []byte) (core.PeerMessage, error) {
	if err := checkFields(data); err != nil {
		return core.PeerMessage{}, &DecodeError{Cause: err}
	}
	e := &Envelope{}
	if err := proto.Unmarshal(data, e); err != nil {
		return core.PeerMessage{}, &DecodeError{Cause: err}
	}
	return FromEnvelope(e)
}

// FromEnvelope converts e to the message that it contains.
func FromEnvelope(e *Envelope) (core.PeerMessage, error) {
	body, err := toBody(e)
	if err != nil {
		return core.PeerMessage{}, err
	}
	return core.PeerMessage{
		From:        core.NodeID(e.GetFrom()),
		Incarnation: core.Incarnation(e.GetIncarnation()),
		Protocol:    core.ProtocolVersion(e.GetProtocol()),
		Body:        body,
	}, nil
}

func toBody(e *Envelope) (core.PeerBody, error) {
	switch b := e.GetBody().(type) {
	case *Envelope_Heartbeat:
		return toHeartbeat(b.Heartbeat)
	case *Envelope_HeartbeatAck:
		return toHeartbeatAck(b.HeartbeatAck)
	case *Envelope_HeartbeatRequest:
		return toHeartbeatRequest(b.HeartbeatRequest), nil
	case *Envelope_ConfigQuery:
		return core.ConfigQuery{After: core.Offset(b.ConfigQuery.GetAfter())}, nil
	case *Envelope_ConfigAnswer:
		return toConfigAnswer(b.ConfigAnswer)
	case *Envelope_Place:
		return toPlace(b.Place), nil
	case *Envelope_Placed:
		return toPlaced(b.Placed), nil
	case *Envelope_PlaceQueued:
		return toPlaceQueued(b.PlaceQueued), nil
	case *Envelope_AttemptSuperseded:
		return core.AttemptSuperseded{Allocation: toAllocation(b.AttemptSuperseded.GetAllocation())}, nil
	case *Envelope_PlaceRefused:
		return toPlaceRefused(b.PlaceRefused)
	case *Envelope_AttemptProgress:
		return toAttemptProgress(b.AttemptProgress)
	case *Envelope_AttemptEnded:
		return toAttemptEnded(b.AttemptEnded)
	case *Envelope_AttemptEndedAck:
		return core.AttemptEndedAck{Allocation: toAllocation(b.AttemptEndedAck.GetAllocation())}, nil
	case *Envelope_HolderQuery:
		return core.HolderQuery{Allocations: toAllocations(b.HolderQuery.GetAllocations())}, nil
	case *Envelope_HolderAnswer:
		return core.HolderAnswer{
			Asked: toAllocations(b.HolderAnswer.GetAsked()),
			Ended: toAllocations(b.HolderAnswer.GetEnded()),
		}, nil
	case *Envelope_MoveAway:
		return toMoveAway(b.MoveAway), nil
	case *Envelope_KeyCall:
		return toKeyCall(b.KeyCall), nil
	case *Envelope_KeyAnswer:
		return toKeyAnswer(b.KeyAnswer)
	case *Envelope_PlaceForward:
		return toPlaceForward(b.PlaceForward), nil
	case *Envelope_WindowReported:
		return toWindowReported(b.WindowReported), nil
	case *Envelope_StreamsBegun:
		return toStreamsBegun(b.StreamsBegun), nil
	case *Envelope_VersionQuery:
		return toVersionQuery(b.VersionQuery), nil
	case *Envelope_VersionAnswer:
		return toVersionAnswer(b.VersionAnswer), nil
	case *Envelope_PlacementsQuery:
		return core.PlacementsQuery{IDs: toPlacementIDs(b.PlacementsQuery)}, nil
	case *Envelope_PlacementsEnded:
		return core.PlacementsEnded{IDs: toPlacementIDs(b.PlacementsEnded)}, nil
	case *Envelope_ForwardQueued:
		return core.ForwardQueued{ID: core.ForwardID(b.ForwardQueued.GetID())}, nil
	case *Envelope_ForwardPlaced:
		return toForwardPlaced(b.ForwardPlaced), nil
	case *Envelope_ForwardTurnedAway:
		return core.ForwardTurnedAway{
			ID: core.ForwardID(b.ForwardTurnedAway.GetID()), RetryAfter: time.Duration(b.ForwardTurnedAway.GetRetryAfterNanos()), OverCap: b.ForwardTurnedAway.GetOverCap(),
		}, nil
	case *Envelope_ForwardDenied:
		return core.ForwardDenied{
			ID: core.ForwardID(b.ForwardDenied.GetID()), Engine: core.EngineID(b.ForwardDenied.GetEngine()), Failed: b.ForwardDenied.GetFailed(),
		}, nil
	case *Envelope_ForwardPromptRead:
		return core.ForwardPromptRead{ID: core.ForwardID(b.ForwardPromptRead.GetID()), Failed: b.ForwardPromptRead.GetFailed()}, nil
	case *Envelope_ForwardReleased:
		return toForwardReleased(b.ForwardReleased)
	case *Envelope_ForwardHeld:
		return toForwardHeld(b.ForwardHeld), nil
	case *Envelope_InstancesChanged:
		return toInstancesChanged(b.InstancesChanged)
	case *Envelope_RolesOrdered:
		orders, err := toRoleOrders(b.RolesOrdered)
		return core.RolesOrdered{Orders: orders}, err
	case *Envelope_RolesWanted:
		orders, err := toRoleOrders(b.RolesWanted)
		return core.RolesWanted{Orders: orders}, err
	case *Envelope_LimitsReported:
		return toLimitsReported(b.LimitsReported), nil
	case *Envelope_PlacerAnnounced:
		return toPlacerAnnounced(b.PlacerAnnounced), nil
	case *Envelope_UsageReported:
		return toUsageReported(b.UsageReported), nil
	case *Envelope_UsageGranted:
		return toUsageGranted(b.UsageGranted), nil
	case *Envelope_PromptsReported:
		return toSuspectsReported(b.PromptsReported), nil
	case *Envelope_InstancesQuery:
		return core.InstancesQuery{Era: core.StoreEra(b.InstancesQuery.GetEra()), After: core.Offset(b.InstancesQuery.GetAfter())}, nil
	case *Envelope_StateQuery:
		return core.StateQuery{Upstreams: b.StateQuery.GetUpstreams()}, nil
	case *Envelope_StateAnswer:
		return toStateAnswer(b.StateAnswer)
	case *Envelope_VMListQuery:
		return core.VMListQuery{}, nil
	case *Envelope_VMListAnswer:
		return toVMListAnswer(b.VMListAnswer), nil
	default:
		return nil, EmptyEnvelopeError{}
	}
}
