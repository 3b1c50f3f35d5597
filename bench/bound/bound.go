package bound

import "slices"

// Demand is the least engine time that one request needs, in seconds.
type Demand struct {
	Prefill float64
	Decode  float64
}

// Supply is the engine time that is available, in seconds.
type Supply struct {
	Prefill float64
	Decode  float64
}

// weightSteps is the number of steps in the grid of weights.
const weightSteps = 50

// roundingError is the tolerance for rounding errors in sums of costs.
const roundingError = 1e-9

// CheapestFirst returns an upper bound on the number of requests that fit into
// the supply if the scheduler may select any of them.
func CheapestFirst(demands []Demand, supply Supply) float64 {
	best := float64(len(demands))
	for i := range weightSteps + 1 {
		w := float64(i) / weightSteps
		best = min(best, boundAtWeight(demands, supply, w))
	}
	return best
}

// boundAtWeight returns the bound for one weighted sum of the two constraints.
// It takes the cheapest requests first; the last one counts with the fraction
// of it that fits.
func boundAtWeight(demands []Demand, supply Supply, w float64) float64 {
	costs := make([]float64, len(demands))
	for i, d := range demands {
		costs[i] = w*fraction(d.Prefill, supply.Prefill) + (1-w)*fraction(d.Decode, supply.Decode)
	}
	slices.Sort(costs)
	remaining := 1.0
	for i, c := range costs {
		if c > remaining+roundingError {
			return float64(i) + max(remaining, 0)/c
		}
		remaining -= c
	}
	return float64(len(costs))
}

// fraction returns the demand as a fraction of the supply. Without supply, any
// demand is 2, which is more than fits.
func fraction(demand, supply float64) float64 {
	if supply <= 0 {
		if demand <= 0 {
			return 0
		}
		return 2
	}
	return demand / supply
}

// Proportional returns an upper bound on the number of requests that fit into
// the supply if the scheduler serves the same fraction of every kind of
// request, as fair shares require.
func Proportional(demands []Demand, supply Supply) float64 {
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
