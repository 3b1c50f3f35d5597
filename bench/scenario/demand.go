package scenario

import (
	"time"

	"daisyshed.dev/bench/bound"
	"daisyshed.dev/core"
)

// Demands returns the least engine time of each of the arrivals that idle
// engines could answer within its targets, with every shared prefix cached.
func (s Scenario) Demands(arrivals []Arrival) []bound.Demand {
	var demands []bound.Demand
	for _, a := range arrivals {
		if d, ok := s.demand(a); ok {
			demands = append(demands, d)
		}
	}
	return demands
}

func (s Scenario) demand(a Arrival) (bound.Demand, bool) {
	r := a.Caller.Request
	profile, _ := s.Profile(r.Profile)
	prefill, decode := s.SettingsOf(core.Prefill), s.SettingsOf(core.Decode)
	d := bound.Demand{
		Prefill: PrefillCost(prefill, max(r.Prompt.Tokens-a.Shared, 1)),
		Decode:  DecodeCost(decode, profile.PerTokenTarget, r.Prompt.Tokens, a.Caller.Output),
	}
	transfer := float64(r.Prompt.Tokens) * decode.TokenBytes / decode.LinkRate
	step := decode.StepBase + decode.StepPerRequest
	first := d.Prefill + transfer + step.Seconds()
	fits := (r.Prompt.Tokens + a.Caller.Output).Pieces() <= decode.Pieces
	return d, fits && first <= FirstTokenLimit(profile).Seconds()
}

// MeanDemands is like Demands, with the demand of each request replaced by the
// mean of its profile, which is what a router can know before the answer.
func (s Scenario) MeanDemands(arrivals []Arrival) []bound.Demand {
	var profiles []core.ProfileID
	sums := make(map[core.ProfileID]bound.Demand)
	counts := make(map[core.ProfileID]float64)
	for _, a := range arrivals {
		d, ok := s.demand(a)
		if !ok {
			continue
		}
		id := a.Caller.Request.Profile
		sum := sums[id]
		sums[id] = bound.Demand{Prefill: sum.Prefill + d.Prefill, Decode: sum.Decode + d.Decode}
		counts[id]++
		profiles = append(profiles, id)
	}
	means := make([]bound.Demand, 0, len(profiles))
	for _, id := range profiles {
		sum := sums[id]
		means = append(means, bound.Demand{Prefill: sum.Prefill / counts[id], Decode: sum.Decode / counts[id]})
	}
	return means
}

// FirstTokenLimit is the time within which the first token must come: the
// profile's target and the wait that its operator allows on top.
func FirstTokenLimit(p core.Profile) time.Duration { return p.FirstTokenTarget + p.MaxWait }

// LongestAnswer is the longest time after its arrival for which a request that
// meets its targets may be served.
func (s Scenario) LongestAnswer() time.Duration {
	longest := time.Duration(0)
	for _, p := range s.Profiles {
		longest = max(longest, FirstTokenLimit(p)+time.Duration(p.MaxTokens)*p.PerTokenTarget)
	}
	return longest
}

// Supply returns the engines' time in the measured window, less what faults
// take away.
func (s Scenario) Supply(window time.Duration) bound.Supply {
	var supply bound.Supply
	number := 0
	for _, set := range s.Engines {
		for range set.Count {
			time := window.Seconds() * s.available(set.Pool.ID, s.spread(number))
			if set.Pool.Role == core.Prefill {
				supply.Prefill += time
			} else {
				supply.Decode += time
			}
			number++
		}
	}
	return supply
}

// available returns the part of the window in which an engine may serve.
func (s Scenario) available(pool core.PoolID, domain core.DomainID) float64 {
	left := 1.0
	for _, f := range s.Faults {
		switch f := f.(type) {
		case DomainLoss:
			if f.Domain == domain {
				left -= f.Until - f.From
			}
		case Withdrawal:
			for _, id := range f.Pools {
				if id == pool {
					left -= 1 - f.At
				}
			}
		case NodeChurn:
		}
	}
	return left
}
