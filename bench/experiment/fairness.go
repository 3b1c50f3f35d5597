package experiment

import (
	"daisyshed.dev/bench/scenario"
	"daisyshed.dev/core"
)

// fairness compares what the customers that do not flood got with what they
// are entitled to: the weighted max-min fair division of the capacity, in
// which nobody is entitled to more than it offers.
func fairness(t *tally, customers scenario.Customers, capacity float64) float64 {
	entitled := divide(t.offeredBy, customers.Shares(), capacity)
	got, due := 0.0, 0.0
	for k := 1; k <= customers.Count; k++ {
		id := customers.ID(k)
		if id == customers.FlooderID() {
			continue
		}
		due += entitled[id]
		got += min(float64(t.goodBy[id]), entitled[id])
	}
	if due == 0 {
		return 1
	}
	return got / due
}

// divide gives each customer the capacity in proportion to its weight, and
// divides again among the others what one does not use.
func divide(offered map[core.CustomerID]int, weights map[core.CustomerID]float64, capacity float64) map[core.CustomerID]float64 {
	entitled := make(map[core.CustomerID]float64, len(offered))
	for {
		level, settled := capacity, 0.0
		for id := range offered {
			if given, ok := entitled[id]; ok {
				level -= given
				continue
			}
			settled += weights[id]
		}
		if settled == 0 {
			return entitled
		}
		level /= settled
		if !settle(offered, weights, entitled, level) {
			for id := range offered {
				if _, ok := entitled[id]; !ok {
					entitled[id] = level * weights[id]
				}
			}
			return entitled
		}
	}
}

// settle gives those customers all they offer who offer no more than their
// part, and reports whether there were any.
func settle(offered map[core.CustomerID]int, weights, entitled map[core.CustomerID]float64, level float64) bool {
	settled := false
	for id, n := range offered {
		if _, ok := entitled[id]; !ok && float64(n) <= level*weights[id] {
			entitled[id] = float64(n)
			settled = true
		}
	}
	return settled
}
