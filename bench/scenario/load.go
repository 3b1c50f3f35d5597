package scenario

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"daisyshed.dev/bench/world"
	"daisyshed.dev/core"
)

// callerRetries is the number of times that a caller retries.
const callerRetries = 5

const (
	// templateBlocks is the number of leading prompt blocks that all requests of
	// a profile share, and contextBlocks the number of blocks after them that
	// those of one customer share as well.
	templateBlocks = 1
	contextBlocks  = 2
)

// Arrival is a caller and the time of its first attempt, counted from the start
// of the run.
type Arrival struct {
	At     time.Duration
	Caller *world.Caller
	// Shared is the number of leading prompt tokens that other requests may
	// share.
	Shared core.Tokens
	// Nodes are the nodes that the caller tries, in order.
	Nodes []core.NodeID
}

// Arrivals returns the callers of an open-loop Poisson process between two
// times. They depend only on the scenario and the seed, so that every policy
// receives the same callers.
func (s Scenario) Arrivals(seed uint64, from, until time.Duration) []Arrival {
	rng := rand.New(rand.NewPCG(seed, 0x6c6f6164))
	rate := s.Rate()
	var all []Arrival
	gap := func() time.Duration { return time.Duration(rng.ExpFloat64() / rate * float64(time.Second)) }
	for at := from + gap(); at < until; at += gap() {
		a := s.arrival(rng, len(all))
		a.At = at
		all = append(all, a)
	}
	return all
}

func (s Scenario) arrival(rng *rand.Rand, number int) Arrival {
	class := s.drawClass(rng)
	customer := s.Customers.ID(s.Customers.drawNumber(rng))
	prompt, shared := promptOf(class, customer, class.Prompt.Draw(rng), number)
	a := Arrival{
		Shared: shared,
		Caller: &world.Caller{
			Request: core.CallerRequest{
				Request: core.RequestID(fmt.Sprintf("request-%d", number)), Profile: class.Profile,
				Customer: customer, Prompt: prompt,
			},
			Output:  class.Output.Draw(rng),
			Retries: callerRetries,
		},
	}
	for _, i := range rng.Perm(s.Nodes) {
		a.Nodes = append(a.Nodes, nodeID(i))
	}
	return a
}

// promptOf returns a prompt and the number of its leading tokens that other
// requests may share.
func promptOf(class Class, customer core.CustomerID, tokens core.Tokens, number int) (core.Prompt, core.Tokens) {
	p := core.Prompt{Tokens: tokens}
	shared := core.Tokens(0)
	for b := range int(tokens / core.BlockTokens) {
		scope := fmt.Sprintf("request-%d", number)
		if b < templateBlocks {
			scope = string(class.Profile)
		} else if b < templateBlocks+contextBlocks {
			scope = string(class.Profile) + "/" + string(customer)
		}
		if b < templateBlocks+contextBlocks {
			shared += core.BlockTokens
		}
		p.Blocks = append(p.Blocks, blockHash(scope, b))
	}
	return p, shared
}

func blockHash(scope string, block int) core.BlockHash {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s#%d", scope, block)
	return core.BlockHash(h.Sum64())
}

func nodeID(i int) core.NodeID { return core.NodeID(fmt.Sprintf("entry-%d", i)) }
