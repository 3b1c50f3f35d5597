package peer

import (
	"time"

	"daisyshed.dev/core"
)

func fromAttemptProgress(b core.AttemptProgress) *AttemptProgress {
	return &AttemptProgress{
		Allocation:    fromAllocation(b.Allocation),
		Prefilled:     b.Prefilled,
		Cached:        int64(b.Cached),
		PrefillNanos:  int64(b.PrefillTime),
		Imported:      b.Imported,
		ImportNanos:   int64(b.ImportTime),
		FirstTokenHit: b.FirstTokenHit,
	}
}

func toAttemptProgress(b *AttemptProgress) core.PeerBody {
	return core.AttemptProgress{
		Allocation:    toAllocation(b.GetAllocation()),
		Prefilled:     b.GetPrefilled(),
		Cached:        core.Tokens(b.GetCached()),
		PrefillTime:   time.Duration(b.GetPrefillNanos()),
		Imported:      b.GetImported(),
		ImportTime:    time.Duration(b.GetImportNanos()),
		FirstTokenHit: b.GetFirstTokenHit(),
	}
}

func fromAttemptEnded(b core.AttemptEnded) *AttemptEnded {
	return &AttemptEnded{
		Allocation:   fromAllocation(b.Allocation),
		Reason:       uint32(b.Reason),
		Tokens:       int64(b.Tokens),
		DecodedNanos: int64(b.Decoded),
		FailedEngine: string(b.FailedEngine),
		Released:     b.Released,
	}
}

func toAttemptEnded(b *AttemptEnded) (core.PeerBody, error) {
	reason, err := inRange("AttemptEnded.Reason", b.GetReason(), core.Expired)
	if err != nil {
		return nil, err
	}
	return core.AttemptEnded{
		Allocation:   toAllocation(b.GetAllocation()),
		Reason:       reason,
		Tokens:       core.Tokens(b.GetTokens()),
		Decoded:      time.Duration(b.GetDecodedNanos()),
		FailedEngine: core.EngineID(b.GetFailedEngine()),
		Released:     b.GetReleased(),
	}, nil
}

func toMoveAway(b *MoveAway) core.PeerBody {
	return core.MoveAway{
		Allocation: toAllocation(b.GetAllocation()),
		By:         time.Duration(b.GetByNanos()),
	}
}
