package soak

import (
	"fmt"
	"time"

	"daisyshed.dev/bench/world"
	"daisyshed.dev/core"
	"daisyshed.dev/standin/engine"
)

const (
	region             core.RegionID = "prairie-west"
	model              core.ModelID  = "plot-scribe"
	prefillPool        core.PoolID   = "scribe-prefill"
	decodePool         core.PoolID   = "scribe-decode"
	borrowedDecodePool core.PoolID   = "lent-decode"
	ledgerPool         core.PoolID   = "plot-ledger"
	returnWithin                     = 8 * time.Second
	// clockSpread is the documented bound on how far the rate of a node's clock
	// deviates from one.
	clockSpread = 0.005
)

// build creates a world with a random number of nodes and engines.
func (r *Run) build() {
	r.w = &world.World{
		Seed:            r.Seed,
		LinkDelay:       500 * time.Microsecond,
		CallerDelay:     2 * time.Millisecond,
		LogDelay:        5 * time.Millisecond,
		ClockSpread:     clockSpread,
		ObserveDecision: r.observe,
		ObserveParallel: r.checkParallel,
	}
	for i := range 3 + r.rng.IntN(6) {
		id := fmt.Sprintf("entry-%d", i)
		r.w.Nodes = append(r.w.Nodes, core.NodeInfo{
			ID: core.NodeID(id), Domain: domain(i), Region: region, PeerAddress: id, CallerAddress: id,
		})
	}
	r.addEngines(prefillPool, core.Prefill, 2+r.rng.IntN(3))
	r.addEngines(decodePool, core.Decode, 2+r.rng.IntN(4))
	r.addEngines(borrowedDecodePool, core.Decode, 1+r.rng.IntN(3))
	r.addLedgers(2)
	r.w.Profiles = []core.Profile{r.billSummary(), payPost(), balanceRead()}
}

func domain(i int) core.DomainID { return core.DomainID(fmt.Sprintf("prairie-west-%d", i%3+1)) }

func (r *Run) addEngines(pool core.PoolID, role core.Role, count int) {
	r.w.Pools = append(r.w.Pools, core.Pool{
		ID: pool, Team: core.TeamID("team-" + pool), Role: role, Model: model,
		Borrowed: pool == borrowedDecodePool, ReturnBy: returnWithin,
	})
	r.revisions[pool] = 1
	for i := range count {
		s := engine.DefaultSettings()
		s.Role, s.Model = role, model
		s.Pieces = 8 + r.rng.IntN(16)
		id := core.EngineID(fmt.Sprintf("%s-%d", pool, i))
		r.w.Engines = append(r.w.Engines, world.EngineSpec{
			Upstream: core.Upstream{ID: id, Pool: pool, Domain: domain(i), Region: region, Address: string(id)},
			Settings: s,
		})
	}
}

func (r *Run) addLedgers(count int) {
	r.w.Pools = append(r.w.Pools, core.Pool{ID: ledgerPool, Team: "ledger", Role: core.Plain})
	r.revisions[ledgerPool] = 1
	for i := range count {
		id := core.EngineID(fmt.Sprintf("%s-%d", ledgerPool, i))
		r.w.Services = append(r.w.Services, world.ServiceSpec{
			Upstream: core.Upstream{ID: id, Pool: ledgerPool, Domain: domain(i), Region: region, Address: string(id)},
			Time:     5 * time.Millisecond,
		})
	}
}

func (r *Run) billSummary() core.Profile {
	return core.Profile{
		ID: "bill-summary", Model: model, PrefillPools: []core.PoolID{prefillPool},
		DecodePools:      []core.PoolID{decodePool, borrowedDecodePool},
		FirstTokenTarget: 540 * time.Millisecond, PerTokenTarget: 55 * time.Millisecond,
		BorrowedShare: 0.5, MaxTokens: 256, DefaultShare: 1, WasteWeight: float64(r.rng.IntN(2)),
	}
}

func payPost() core.Profile {
	return core.Profile{ID: "pay-post", Kind: core.Service, ServicePools: []core.PoolID{ledgerPool}}
}

func balanceRead() core.Profile {
	return core.Profile{ID: "balance-read", Kind: core.Service, ServicePools: []core.PoolID{ledgerPool}, Repeatable: true}
}
