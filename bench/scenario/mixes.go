package scenario

import (
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/standin/engine"
)

// Both mixes have the mean lengths of the users' target load: 5,700 GB/s of KV
// cache over 36,000 requests per second are 1,208 prompt tokens of 128 KiB per
// request, and 9.9 million tokens per second are 275 output tokens per request.
const (
	nominalFactor    = 0.9
	enginePieces     = 20
	firstTokenTarget = 540 * time.Millisecond
	perTokenTarget   = 55 * time.Millisecond
	returnBy         = 20 * time.Second
)

// prairiePeak returns the peak load of Prairie Lots: four prefill and eight
// decode engines of plot-scribe, a third of them in pools lent by a second
// team.
func prairiePeak() Scenario {
	customers := Customers{Prefix: "plot", Count: 60, Flooder: 10, FloodShare: 0.2}
	prefill := []core.PoolID{"scribe-prefill", "meter-prefill"}
	decode := []core.PoolID{"scribe-decode", "meter-decode"}
	profile := func(id core.ProfileID, first time.Duration, maxTokens core.Tokens) core.Profile {
		return core.Profile{
			ID: id, Model: "plot-scribe", PrefillPools: prefill, DecodePools: decode,
			FirstTokenTarget: first, PerTokenTarget: perTokenTarget, BorrowedShare: 1,
			Shares: customers.Shares(), DefaultShare: 0.01, MaxTokens: maxTokens,
		}
	}
	return Scenario{
		Name:    "prairie-peak",
		Region:  "prairie-west",
		Domains: []core.DomainID{"prairie-west-1", "prairie-west-2", "prairie-west-3"},
		Nodes:   8,
		Engines: []EngineSet{
			engines("scribe-prefill", "scribe", core.Prefill, "plot-scribe", 3, false),
			engines("meter-prefill", "meter", core.Prefill, "plot-scribe", 1, false),
			engines("scribe-decode", "scribe", core.Decode, "plot-scribe", 5, false),
			engines("meter-decode", "meter", core.Decode, "plot-scribe", 3, false),
		},
		Profiles: []core.Profile{
			profile("bill-summary", firstTokenTarget, 512),
			profile("dispute-note", 2*time.Second, 1024),
			profile("rebate-check", time.Second, 512),
		},
		Classes: []Class{
			{"bill-summary", 0.6, Lengths{1000, 0.6, 30, 20000}, Lengths{220, 0.5, 8, 512}},
			{"dispute-note", 0.2, Lengths{2200, 0.8, 100, 20000}, Lengths{500, 0.5, 16, 1024}},
			{"rebate-check", 0.2, Lengths{840, 0.6, 50, 20000}, Lengths{215, 0.5, 8, 512}},
		},
		Customers:   customers,
		Factor:      nominalFactor,
		LinkDelay:   500 * time.Microsecond,
		CallerDelay: 3 * time.Millisecond,
		LogDelay:    5 * time.Millisecond,
	}
}

// sarhadBorrowed returns the load of Sarhad's platform: eighteen drafter
// engines, a third of them borrowed. The profile finding-draft may wait for a
// placement, status-read may not.
func sarhadBorrowed() Scenario {
	customers := Customers{Prefix: "owner", Count: 40, Flooder: 8, FloodShare: 0.2}
	prefill := []core.PoolID{"drafter-prefill", "lent-prefill"}
	decode := []core.PoolID{"drafter-decode", "lent-decode"}
	return Scenario{
		Name:    "sarhad-borrowed",
		Region:  "pk-north",
		Domains: []core.DomainID{"pk-north-1", "pk-north-2", "pk-north-3"},
		Nodes:   7,
		Engines: []EngineSet{
			engines("drafter-prefill", "drafter", core.Prefill, "drafter", 4, false),
			engines("lent-prefill", "faculty", core.Prefill, "drafter", 2, true),
			engines("drafter-decode", "drafter", core.Decode, "drafter", 8, false),
			engines("lent-decode", "faculty", core.Decode, "drafter", 4, true),
		},
		Profiles: []core.Profile{
			{
				ID: "finding-draft", Model: "drafter", PrefillPools: prefill, DecodePools: decode,
				FirstTokenTarget: 5 * time.Second, PerTokenTarget: 100 * time.Millisecond, MaxWait: 25 * time.Second,
				BorrowedShare: 0.75, WasteWeight: 0.9, Shares: customers.Shares(), DefaultShare: 0.01, MaxTokens: 1024,
			},
			{
				ID: "status-read", Model: "drafter", PrefillPools: prefill, DecodePools: decode,
				FirstTokenTarget: firstTokenTarget, PerTokenTarget: perTokenTarget, Priority: 10,
				BorrowedShare: 0.5, Shares: customers.Shares(), DefaultShare: 0.01, MaxTokens: 128,
			},
		},
		Classes: []Class{
			{"finding-draft", 0.6, Lengths{1800, 0.8, 200, 20000}, Lengths{420, 0.5, 32, 1024}},
			{"status-read", 0.4, Lengths{320, 0.6, 30, 2000}, Lengths{58, 0.4, 8, 128}},
		},
		Customers:   customers,
		Factor:      nominalFactor,
		LinkDelay:   900 * time.Microsecond,
		CallerDelay: time.Millisecond,
		LogDelay:    5 * time.Millisecond,
	}
}

func engines(pool core.PoolID, team core.TeamID, role core.Role, model core.ModelID, count int, borrowed bool) EngineSet {
	settings := engine.DefaultSettings()
	settings.Role = role
	settings.Model = model
	settings.Pieces = enginePieces
	return EngineSet{
		Pool:     core.Pool{ID: pool, Team: team, Role: role, Model: model, Borrowed: borrowed, ReturnBy: returnBy},
		Count:    count,
		Settings: settings,
	}
}
