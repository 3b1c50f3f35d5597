package scenario

import (
	"fmt"
	"math/rand/v2"

	"daisyshed.dev/core"
)

// Customers describes the customers that send requests. Customer number k,
// counted from one, has a weight of 1/k (Zipf's law), which is both its share
// in the profiles and its part of the ordinary load. One customer, the flooder,
// sends a part of all requests on top of its ordinary load.
type Customers struct {
	Prefix string
	Count  int
	// Flooder is the number of the flooder.
	Flooder int
	// FloodShare is the fraction of all requests that the flooder sends on top
	// of its ordinary load.
	FloodShare float64
}

// ID returns the ID of customer number k.
func (c Customers) ID(k int) core.CustomerID {
	return core.CustomerID(fmt.Sprintf("%s-%d", c.Prefix, k))
}

// FlooderID returns the ID of the flooder.
func (c Customers) FlooderID() core.CustomerID { return c.ID(c.Flooder) }

// Shares returns the customers' weights, as profiles state them.
func (c Customers) Shares() map[core.CustomerID]float64 {
	shares := make(map[core.CustomerID]float64, c.Count)
	for k := 1; k <= c.Count; k++ {
		shares[c.ID(k)] = 1 / float64(k)
	}
	return shares
}

// drawNumber returns the number of a random customer.
func (c Customers) drawNumber(rng *rand.Rand) int {
	if rng.Float64() < c.FloodShare {
		return c.Flooder
	}
	total := 0.0
	for k := 1; k <= c.Count; k++ {
		total += 1 / float64(k)
	}
	x := rng.Float64() * total
	for k := 1; k < c.Count; k++ {
		if x -= 1 / float64(k); x < 0 {
			return k
		}
	}
	return c.Count
}
