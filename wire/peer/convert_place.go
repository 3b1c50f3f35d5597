package peer

import (
	"time"

	"daisyshed.dev/core"
)

func fromPlace(b core.Place) *Place {
	return &Place{
		Allocation:  fromAllocation(b.Allocation),
		Profile:     string(b.Profile),
		Customer:    string(b.Customer),
		Prompt:      fromPrompt(b.Prompt),
		MaxTokens:   int64(b.MaxTokens),
		Emitted:     int64(b.Emitted),
		Adopt:       b.Adopt,
		WaitedNanos: int64(b.Waited),
		Avoid:       convertAll(b.Avoid, func(id core.EngineID) string { return string(id) }),
		Group:       string(b.Group),
		Source:      string(b.Source),
		Retry:       b.Retry,
	}
}

func toPlace(b *Place) core.PeerBody {
	return core.Place{
		Allocation: toAllocation(b.GetAllocation()),
		Profile:    core.ProfileID(b.GetProfile()),
		Customer:   core.CustomerID(b.GetCustomer()),
		Prompt:     toPrompt(b.GetPrompt()),
		MaxTokens:  core.Tokens(b.GetMaxTokens()),
		Emitted:    core.Tokens(b.GetEmitted()),
		Adopt:      b.GetAdopt(),
		Waited:     time.Duration(b.GetWaitedNanos()),
		Avoid:      convertAll(b.GetAvoid(), func(id string) core.EngineID { return core.EngineID(id) }),
		Group:      core.GroupID(b.GetGroup()),
		Source:     core.EngineID(b.GetSource()),
		Retry:      b.GetRetry(),
	}
}

func fromPlaced(b core.Placed) *Placed {
	return &Placed{
		Allocation:      fromAllocation(b.Allocation),
		Prefill:         string(b.Prefill),
		Decode:          string(b.Decode),
		Source:          string(b.Source),
		Memory:          int64(b.Memory),
		FirstTokenNanos: int64(b.FirstToken),
	}
}

func toPlaced(b *Placed) core.PeerBody {
	return core.Placed{
		Allocation: toAllocation(b.GetAllocation()),
		Prefill:    core.EngineID(b.GetPrefill()),
		Decode:     core.EngineID(b.GetDecode()),
		Source:     core.EngineID(b.GetSource()),
		Memory:     core.Tokens(b.GetMemory()),
		FirstToken: time.Duration(b.GetFirstTokenNanos()),
	}
}

func toPlaceQueued(b *PlaceQueued) core.PeerBody {
	return core.PlaceQueued{
		Allocation: toAllocation(b.GetAllocation()),
		Expected:   time.Duration(b.GetExpectedNanos()),
	}
}

func fromPlaceRefused(b core.PlaceRefused) *PlaceRefused {
	return &PlaceRefused{
		Allocation:      fromAllocation(b.Allocation),
		Reason:          uint32(b.Reason),
		RetryAfterNanos: int64(b.RetryAfter),
	}
}

func toPlaceRefused(b *PlaceRefused) (core.PeerBody, error) {
	reason, err := toEnum("PlaceRefused.Reason", b.GetReason(), core.AlreadyAnswered)
	if err != nil {
		return nil, err
	}
	return core.PlaceRefused{
		Allocation: toAllocation(b.GetAllocation()),
		Reason:     reason,
		RetryAfter: time.Duration(b.GetRetryAfterNanos()),
	}, nil
}
