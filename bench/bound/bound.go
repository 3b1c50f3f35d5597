package bound

import "slices"

// Demand is the least time of engines that one request takes, in seconds.
type Demand struct {
	Prefill float64
	Decode  float64
}

// Supply is the engines' time, in seconds.
type Supply struct {
	Prefill float64
	Decode  float64
}

// weights is the number of steps in the grid of weights.
const weights = 50

// roundingError is the most that adding up parts may be off.
const roundingError = 1e-9

// Cheapest bounds the number of requests that fit into the supply if the
// scheduler may choose which ones.
func Cheapest(demands []Demand, supply Supply) float64 {
	best := float64(len(demands))
	for i := range weights + 1 {
		w := float64(i) / weights
		best = min(best, cheapest(demands, supply, w))
	}
	return best
}

// cheapest fills the weighted sum of both constraints with the cheapest
// requests; the last one counts by the part that fits.
func cheapest(demands []Demand, supply Supply, w float64) float64 {
	costs := make([]float64, len(demands))
	for i, d := range demands {
		costs[i] = w*part(d.Prefill, supply.Prefill) + (1-w)*part(d.Decode, supply.Decode)
	}
	slices.Sort(costs)
	left := 1.0
	for i, c := range costs {
		if c > left+roundingError {
			return float64(i) + max(left, 0)/c
		}
		left -= c
	}
	return float64(len(costs))
}

func part(demand, supply float64) float64 {
	if supply <= 0 {
		if demand <= 0 {
			return 0
		}
		return 2
	}
	return demand / supply
}

// InMix bounds the number of requests that fit into the supply if the
// scheduler takes every kind of request alike, as fair shares require.
func InMix(demands []Demand, supply Supply) float64 {
	var sum Demand
	for _, d := range demands {
		sum.Prefill += d.Prefill
		sum.Decode += d.Decode
	}
	fraction := 1.0
	if sum.Prefill > supply.Prefill {
		fraction = min(fraction, supply.Prefill/sum.Prefill)
	}
	if sum.Decode > supply.Decode {
		fraction = min(fraction, supply.Decode/sum.Decode)
	}
	return fraction * float64(len(demands))
}
