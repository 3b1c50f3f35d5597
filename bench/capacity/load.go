package capacity

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"daisyshed.dev/core"
)

const (
	// The logarithms of the prompt lengths are uniformly distributed between
	// these bounds, in tokens.
	shortestPrompt = 32
	longestPrompt  = 32_768
	// sharedBlocks is the number of leading blocks that all prompts of a
	// customer share.
	sharedBlocks = 2
	// prefillShare is the share of upstreams that are prefill engines.
	prefillShare = 1.0 / 3
)

// The pools and the profile of the measured model.
const (
	prefillPool core.PoolID    = "scribe-prefill"
	decodePool  core.PoolID    = "scribe-decode"
	loadProfile core.ProfileID = "bill-summary"
)

// upstreams returns engines of one model, spread over regions.
func upstreams(count, regions int) []core.Upstream {
	var all []core.Upstream
	for i := range count {
		pool := decodePool
		if float64(i/regions%3) < 3*prefillShare {
			pool = prefillPool
		}
		region := core.RegionID(fmt.Sprintf("region-%d", i%regions))
		all = append(all, core.Upstream{
			ID: core.EngineID(fmt.Sprintf("%s-%05d", pool, i)), Pool: pool, Region: region,
			Domain:  core.DomainID(fmt.Sprintf("%s-%d", region, i/regions%maxDomains)),
			Address: fmt.Sprintf("10.%d.%d.%d:8000", 100+i%regions, i>>8, i&255),
		})
	}
	return all
}

func roles() map[core.PoolID]core.Role {
	return map[core.PoolID]core.Role{prefillPool: core.Prefill, decodePool: core.Decode}
}

// publishLoad publishes the pools and the profile of the measured model.
func (f *Fleet) publishLoad() {
	for _, p := range []core.Pool{
		{ID: prefillPool, Team: "scribe", Role: core.Prefill, Model: modelName},
		{ID: decodePool, Team: "scribe", Role: core.Decode, Model: modelName},
	} {
		f.Publish(core.PoolPublished{Publication: core.PublicationID(p.ID), Operator: "bench", Pool: p})
	}
	f.Publish(core.ProfilePublished{Publication: "load", Operator: "bench", Profile: core.Profile{
		ID: loadProfile, Model: modelName, PrefillPools: []core.PoolID{prefillPool}, DecodePools: []core.PoolID{decodePool},
		FirstTokenTarget: 540 * time.Millisecond, PerTokenTarget: 55 * time.Millisecond, MaxWait: 2 * time.Second,
		MaxTokens: 1024, DefaultShare: 1,
	}})
}

// scheduleRequests schedules requests that arrive at random nodes for the given
// time, at a mean rate of perNode requests per second at each node.
func (f *Fleet) scheduleRequests(perNode float64, d time.Duration) {
	rng := rand.New(rand.NewPCG(f.Seed, 99))
	rate := perNode * float64(len(f.infos))
	i := 0
	for at := time.Duration(0); at < d; at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second)) {
		i++
		to := f.infos[rng.IntN(len(f.infos))].ID
		m := randomRequest(rng, i)
		f.clock.After(at, func() { f.nodes[to].receive(m) })
	}
}

func randomRequest(rng *rand.Rand, i int) core.CallerRequest {
	tokens := core.Tokens(shortestPrompt * math.Pow(longestPrompt/shortestPrompt, rng.Float64()))
	customer := rng.IntN(TargetCustomers)
	p := core.Prompt{Tokens: tokens}
	for b := range int(tokens / core.BlockTokens) {
		h := rng.Uint64()
		if b < sharedBlocks {
			h = uint64(customer)<<8 | uint64(b)
		}
		p.Blocks = append(p.Blocks, core.BlockHash(h))
	}
	return core.CallerRequest{
		Request: core.RequestID(fmt.Sprintf("request-%026d", i)), Profile: loadProfile,
		Customer: core.CustomerID(fmt.Sprintf("plot-%d", customer)), Prompt: p,
	}
}
