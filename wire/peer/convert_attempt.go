package peer

import (
	"time"

	"daisyshed.dev/core"
)

func fromAttemptProgress(b core.AttemptProgress) *AttemptProgress {
	return &AttemptProgress{
		Allocation: fromAllocation(b.Allocation),
		Done:       uint32(b.Done),
		Cached:     int64(b.Cached),
		TookNanos:  int64(b.Took),
	}
}

func toAttemptProgress(b *AttemptProgress) (core.PeerBody, error) {
	done, err := toEnum("AttemptProgress.Done", b.GetDone(), core.DecodeStep)
	if err != nil {
		return nil, err
	}
	return core.AttemptProgress{
		Allocation: toAllocation(b.GetAllocation()),
		Done:       done,
		Cached:     core.Tokens(b.GetCached()),
		Took:       time.Duration(b.GetTookNanos()),
	}, nil
}

func fromAttemptEnded(b core.AttemptEnded) *AttemptEnded {
	return &AttemptEnded{
		Allocation:   fromAllocation(b.Allocation),
		Reason:       uint32(b.Reason),
		Tokens:       int64(b.Tokens),
		DecodedNanos: int64(b.Decoded),
		FailedEngine: string(b.FailedEngine),
	}
}

func toAttemptEnded(b *AttemptEnded) (core.PeerBody, error) {
	reason, err := toEnum("AttemptEnded.Reason", b.GetReason(), core.Expired)
	if err != nil {
		return nil, err
	}
	return core.AttemptEnded{
		Allocation:   toAllocation(b.GetAllocation()),
		Reason:       reason,
		Tokens:       core.Tokens(b.GetTokens()),
		Decoded:      time.Duration(b.GetDecodedNanos()),
		FailedEngine: core.EngineID(b.GetFailedEngine()),
	}, nil
}

func toMoveAway(b *MoveAway) core.PeerBody {
	return core.MoveAway{
		Allocation: toAllocation(b.GetAllocation()),
		By:         time.Duration(b.GetByNanos()),
	}
}
