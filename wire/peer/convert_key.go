package peer

import (
	"time"

	"daisyshed.dev/core"
)

func fromKeyCall(b core.KeyCall) *KeyCall {
	return &KeyCall{
		Call:      string(b.Call),
		Writer:    uint64(b.Writer),
		Profile:   string(b.Profile),
		Customer:  string(b.Customer),
		Key:       string(b.Key),
		KeyMinted: b.KeyMinted,
		First:     b.First,
		Body:      b.Body,
	}
}

func toKeyCall(b *KeyCall) core.PeerBody {
	return core.KeyCall{
		Call:      core.CallID(b.GetCall()),
		Writer:    core.Incarnation(b.GetWriter()),
		Profile:   core.ProfileID(b.GetProfile()),
		Customer:  core.CustomerID(b.GetCustomer()),
		Key:       core.IdempotencyKey(b.GetKey()),
		KeyMinted: b.GetKeyMinted(),
		First:     b.GetFirst(),
		Body:      b.GetBody(),
	}
}

func fromKeyAnswer(b core.KeyAnswer) *KeyAnswer {
	return &KeyAnswer{
		Call:            string(b.Call),
		Outcome:         uint32(b.Outcome),
		Reason:          uint32(b.Reason),
		Status:          int64(b.Status),
		Body:            b.Body,
		RetryAfterNanos: int64(b.RetryAfter),
	}
}

func toKeyAnswer(b *KeyAnswer) (core.PeerBody, error) {
	outcome, err := toEnum("KeyAnswer.Outcome", b.GetOutcome(), core.Unknown)
	if err != nil {
		return nil, err
	}
	reason, err := toEnum("KeyAnswer.Reason", b.GetReason(), core.AlreadyAnswered)
	if err != nil {
		return nil, err
	}
	return core.KeyAnswer{
		Call:       core.CallID(b.GetCall()),
		Outcome:    outcome,
		Reason:     reason,
		Status:     int(b.GetStatus()),
		Body:       b.GetBody(),
		RetryAfter: time.Duration(b.GetRetryAfterNanos()),
	}, nil
}
