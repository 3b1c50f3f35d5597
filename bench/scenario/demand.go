package scenario

import (
	"time"

	"daisyshed.dev/bench/bound"
	"daisyshed.dev/core"
)

// Demands returns the least engine time of each request, with every shared
// prefix cached. Requests that idle engines could not answer within the targets
// are left out.
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

// MeanDemands is like Demands, but replaces the demand of each request by the
// mean over its profile, which is the most that a router can know before the
// answer ends.
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

// FirstTokenLimit returns the time within which the first token must arrive:
// the profile's target plus the wait that its operator allows.
func FirstTokenLimit(p core.Profile) time.Duration { return p.FirstTokenTarget + p.MaxWait }

// LongestAnswer returns the longest time after its arrival for which a request
// that meets its targets may be served.
func (s Scenario) LongestAnswer() time.Duration {
	longest := time.Duration(0)
	for _, p := range s.Profiles {
		longest = max(longest, FirstTokenLimit(p)+time.Duration(p.MaxTokens)*p.PerTokenTarget)
	}
	return longest
}

// Supply returns the engine time in the measured window, less the time lost to
// faults.
func (s Scenario) Supply(window time.Duration) bound.Supply {
	var supply bound.Supply
	number := 0
	for _, set := range s.Engines {
		for range set.Count {
			engineTime := window.Seconds() * s.available(set.Pool.ID, s.domainOf(number))
			if set.Pool.Role == core.Prefill {
				supply.Prefill += engineTime
			} else {
				supply.Decode += engineTime
			}
			number++
		}
	}
	return supply
}

// available returns the fraction of the window in which an engine may serve.
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
