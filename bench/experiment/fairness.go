package experiment

import (
	"daisyshed.dev/bench/scenario"
	"daisyshed.dev/core"
)

// fairness returns how much of their entitlement the customers other than the
// flooder received. Entitlements are the weighted max-min fair division of the
// capacity, in which no customer is entitled to more than it requests.
func fairness(t *tally, customers scenario.Customers, capacity float64) float64 {
	entitled := entitlements(t.offeredBy, customers.Shares(), capacity)
	received, entitledTotal := 0.0, 0.0
	for k := 1; k <= customers.Count; k++ {
		id := customers.ID(k)
		if id == customers.FlooderID() {
			continue
		}
		entitledTotal += entitled[id]
		received += min(float64(t.goodBy[id]), entitled[id])
	}
	if entitledTotal == 0 {
		return 1
	}
	return received / entitledTotal
}

// entitlements divides the capacity among the customers in proportion to their
// weights. Whatever a customer does not use is divided again among the others.
func entitlements(offered map[core.CustomerID]int, weights map[core.CustomerID]float64, capacity float64) map[core.CustomerID]float64 {
	entitled := make(map[core.CustomerID]float64, len(offered))
	for {
		level, openWeight := capacity, 0.0
		for id := range offered {
			if given, ok := entitled[id]; ok {
				level -= given
				continue
			}
			openWeight += weights[id]
		}
		if openWeight == 0 {
			return entitled
		}
		level /= openWeight
		if !satisfySmall(offered, weights, entitled, level) {
			for id := range offered {
				if _, ok := entitled[id]; !ok {
					entitled[id] = level * weights[id]
				}
			}
			return entitled
		}
	}
}

// satisfySmall entitles each customer whose requests do not exceed its weight
// times perWeight to all of its requests. It reports whether there was such a
// customer without an entitlement.
func satisfySmall(offered map[core.CustomerID]int, weights, entitled map[core.CustomerID]float64, perWeight float64) bool {
	found := false
	for id, n := range offered {
		if _, ok := entitled[id]; !ok && float64(n) <= perWeight*weights[id] {
			entitled[id] = float64(n)
			found = true
		}
	}
	return found
}
