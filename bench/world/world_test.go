package world_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"daisyshed.dev/bench/world"
	"daisyshed.dev/core"
	"daisyshed.dev/standin/engine"
)

const (
	firstTokenTarget = 540 * time.Millisecond
	perTokenTarget   = 55 * time.Millisecond
)

// newWorld returns a world with one profile and with nodes, prefill engines and
// decode engines in three failure domains.
func newWorld(seed uint64, nodes, prefills, decodes int) *world.World {
	w := &world.World{
		Seed:        seed,
		LinkDelay:   500 * time.Microsecond,
		CallerDelay: 2 * time.Millisecond,
		LogDelay:    5 * time.Millisecond,
	}
	for i := range nodes {
		w.Nodes = append(w.Nodes, core.NodeInfo{
			ID: core.NodeID(fmt.Sprintf("entry-%d", i)), Domain: domain(i), Region: "prairie-west",
			PeerAddress: fmt.Sprintf("entry-%d", i), CallerAddress: fmt.Sprintf("entry-%d", i),
		})
	}
	addEngines(w, "scribe-prefill", core.Prefill, prefills)
	addEngines(w, "scribe-decode", core.Decode, decodes)
	w.Profiles = []core.Profile{{
		ID: "bill-summary", Model: "plot-scribe", PrefillPools: []core.PoolID{"scribe-prefill"},
		DecodePools: []core.PoolID{"scribe-decode"}, FirstTokenTarget: firstTokenTarget,
		PerTokenTarget: perTokenTarget, MaxTokens: 256, DefaultShare: 1,
	}}
	return w
}

func domain(i int) core.DomainID { return core.DomainID(fmt.Sprintf("prairie-west-%d", i%3+1)) }

func addEngines(w *world.World, pool core.PoolID, role core.Role, count int) {
	w.Pools = append(w.Pools, core.Pool{ID: pool, Team: "scribe", Role: role, Model: "plot-scribe"})
	for i := range count {
		s := engine.DefaultSettings()
		s.Role = role
		s.Model = "plot-scribe"
		s.Pieces = 22
		id := core.EngineID(fmt.Sprintf("%s-%d", pool, i))
		w.Engines = append(w.Engines, world.EngineSpec{
			Upstream: core.Upstream{ID: id, Pool: pool, Domain: domain(i), Region: "prairie-west", Address: string(id)},
			Settings: s,
		})
	}
}

// load schedules callers that arrive at random times with the given mean rate per
// second, each with a random order of nodes to try.
func load(w *world.World, rate float64, from, until time.Duration) []*world.Caller {
	rng := rand.New(rand.NewPCG(w.Seed, 99))
	var callers []*world.Caller
	for at := from; at < until; at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second)) {
		c := randomCaller(rng, len(callers))
		callers = append(callers, c)
		order := rng.Perm(len(w.Nodes))
		w.After(at, func() {
			var ids []core.NodeID
			for _, i := range order {
				ids = append(ids, w.Nodes[i].ID)
			}
			w.SendRequest(c, ids...)
		})
	}
	return callers
}

func randomCaller(rng *rand.Rand, i int) *world.Caller {
	tokens := core.Tokens(400 + rng.IntN(1600))
	customer := rng.IntN(20)
	p := core.Prompt{Tokens: tokens}
	for b := range int(tokens / core.BlockTokens) {
		h := uint64(customer)<<32 | uint64(b)
		if b >= 2 {
			h = uint64(i)<<40 | uint64(customer)<<32 | uint64(b) | 1<<63
		}
		p.Blocks = append(p.Blocks, core.BlockHash(h))
	}
	return &world.Caller{
		Request: core.CallerRequest{
			Request: core.RequestID(fmt.Sprintf("request-%d", i)), Profile: "bill-summary",
			Customer: core.CustomerID(fmt.Sprintf("plot-%d", customer)), Prompt: p,
		},
		Output:  core.Tokens(20 + rng.IntN(200)),
		Retries: 3,
	}
}

// summary counts callers by the result that they received.
type summary struct {
	whole, good, refused, cancelled, faulty int
}

func summarise(callers []*world.Caller) summary {
	var s summary
	for _, c := range callers {
		if len(c.Faults) > 0 {
			s.faulty++
		}
		if c.Cancelled {
			s.cancelled++
		}
		if !c.Done {
			s.refused++
			continue
		}
		s.whole++
		perToken := c.LastTokenAt.Sub(c.FirstTokenAt) / time.Duration(max(c.Received-1, 1))
		if c.FirstTokenAt.Sub(c.FirstAttemptAt) <= firstTokenTarget && perToken <= perTokenTarget {
			s.good++
		}
	}
	return s
}
