package bound_test

import (
	"testing"

	"daisyshed.dev/bench/bound"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestAllRequestsFitIntoAmpleSupply(t *testing.T) {
	is := is.New(t)
	demands := []bound.Demand{{1, 2}, {2, 1}}
	is.Equal(bound.CheapestFirst(demands, bound.Supply{Prefill: 3, Decode: 3}), 2.0)
	is.Equal(bound.Proportional(demands, bound.Supply{Prefill: 3, Decode: 3}), 2.0)
}

func TestCheapestRequestsAreTakenFirst(t *testing.T) {
	is := is.New(t)
	demands := []bound.Demand{{0, 4}, {0, 1}, {0, 1}}
	is.Equal(bound.CheapestFirst(demands, bound.Supply{Prefill: 1, Decode: 2}), 2.0)
	is.Equal(bound.Proportional(demands, bound.Supply{Prefill: 1, Decode: 3}), 1.5)
}

func TestScarcerRoleLimitsTheBound(t *testing.T) {
	is := is.New(t)
	demands := []bound.Demand{{1, 1}, {1, 1}, {1, 1}, {1, 1}}
	is.Equal(bound.CheapestFirst(demands, bound.Supply{Prefill: 100, Decode: 1}), 1.0)
	is.Equal(bound.CheapestFirst(demands, bound.Supply{Prefill: 2, Decode: 100}), 2.0)
}

func TestNothingFitsWithoutSupply(t *testing.T) {
	is := is.New(t)
	is.True(bound.CheapestFirst([]bound.Demand{{1, 1}}, bound.Supply{}) <= 0.5)
}

// TestNoSelectionExceedsTheBound compares the bound with the largest selection
// found by exhaustive search.
func TestNoSelectionExceedsTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cost := rapid.Float64Range(0.01, 1)
		demands := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) bound.Demand {
			return bound.Demand{Prefill: cost.Draw(t, "prefill"), Decode: cost.Draw(t, "decode")}
		}), 0, 10).Draw(t, "demands")
		supply := bound.Supply{
			Prefill: rapid.Float64Range(0, 5).Draw(t, "prefills"),
			Decode:  rapid.Float64Range(0, 5).Draw(t, "decodes"),
		}
		got := bound.CheapestFirst(demands, supply)
		if best := largestSelection(demands, supply); float64(best) > got+1e-9 {
			t.Fatalf("%d requests fit, the bound is %v", best, got)
		}
	})
}

// largestSelection tries every subset of the requests.
func largestSelection(demands []bound.Demand, supply bound.Supply) int {
	best := 0
	for set := range 1 << len(demands) {
		count, left := 0, supply
		for i, d := range demands {
			if set&(1<<i) != 0 {
				count++
				left.Prefill -= d.Prefill
				left.Decode -= d.Decode
			}
		}
		if left.Prefill >= 0 && left.Decode >= 0 {
			best = max(best, count)
		}
	}
	return best
}
