package scenario

import (
	"fmt"
	"math/rand/v2"

	"daisyshed.dev/core"
)

// Customers describes who calls. Customer number k, counted from one, has a
// weight of 1/k (Zipf's law), which is both its share in the profiles and its
// part of the ordinary load. One customer floods: on top of its ordinary load
// it offers a part of all requests.
type Customers struct {
	Prefix string
	Count  int
	// Flooder is the number of the customer that floods.
	Flooder int
	// FloodShare is the part of all requests that is its flood.
	FloodShare float64
}

// ID returns the name of a customer.
func (c Customers) ID(k int) core.CustomerID {
	return core.CustomerID(fmt.Sprintf("%s-%d", c.Prefix, k))
}

// FlooderID returns the name of the customer that floods.
func (c Customers) FlooderID() core.CustomerID { return c.ID(c.Flooder) }

// Shares returns the customers' weights for a profile.
func (c Customers) Shares() map[core.CustomerID]float64 {
	shares := make(map[core.CustomerID]float64, c.Count)
	for k := 1; k <= c.Count; k++ {
		shares[c.ID(k)] = 1 / float64(k)
	}
	return shares
}

// draw picks the customer of a request.
func (c Customers) draw(rng *rand.Rand) int {
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
