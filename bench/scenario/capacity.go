package scenario

import (
	"math/rand/v2"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/standin/engine"
)

// Cost is the least engine time that a request takes, in seconds.
type Cost struct {
	Prefill float64
	Decode  float64
}

// PrefillCost returns the time that an engine needs for uncached tokens.
func PrefillCost(s engine.Settings, uncached core.Tokens) float64 {
	return s.PrefillOverhead.Seconds() + float64(uncached)/s.PrefillRate
}

// DecodeCost returns the part of a decode engine's time that one request uses.
// A step takes StepBase, which is shared by as many requests as fit into the
// batch, plus StepPerRequest for each of them. If a request needs m pieces of
// memory and a batch has room for n pieces, an output token costs
// StepPerRequest + StepBase*m/n.
func DecodeCost(s engine.Settings, target time.Duration, prompt, output core.Tokens) float64 {
	pieces := float64((prompt + output).Pieces())
	share := s.StepBase.Seconds() * pieces / float64(batchPieces(s, target))
	return float64(output) * (s.StepPerRequest.Seconds() + share)
}

// batchPieces returns the size of the largest batch that both the memory and
// the per-token target allow, in requests of one piece.
func batchPieces(s engine.Settings, target time.Duration) int {
	byTarget := int((target - s.StepBase) / s.StepPerRequest)
	return max(min(s.Pieces, byTarget), 1)
}

// Capacity returns the number of requests per second that keeps the scarcer of
// prefill and decode engines busy all the time: the number of engines divided
// by the mean cost of a request in the mix, without any prefix cache hits.
func (s Scenario) Capacity() float64 {
	mean := s.meanCost()
	return min(float64(s.engineCount(core.Prefill))/mean.Prefill, float64(s.engineCount(core.Decode))/mean.Decode)
}

// Rate returns the number of requests that arrive per second.
func (s Scenario) Rate() float64 { return s.Factor * s.Capacity() }

func (s Scenario) engineCount(role core.Role) int {
	n := 0
	for _, set := range s.Engines {
		if set.Pool.Role == role {
			n += set.Count
		}
	}
	return n
}

// SettingsOf returns the settings of the first engine set with the given role.
// All engines of a role have the same settings.
func (s Scenario) SettingsOf(role core.Role) engine.Settings {
	for _, set := range s.Engines {
		if set.Pool.Role == role {
			return set.Settings
		}
	}
	return engine.Settings{}
}

// costSamples is the number of random requests over which the mean cost is
// computed.
const costSamples = 20000

func (s Scenario) meanCost() Cost {
	rng := rand.New(rand.NewPCG(costSamples, 0))
	var sum Cost
	for range costSamples {
		c := s.drawClass(rng)
		cost := s.cost(c, c.Prompt.Draw(rng), c.Output.Draw(rng))
		sum.Prefill += cost.Prefill
		sum.Decode += cost.Decode
	}
	return Cost{Prefill: sum.Prefill / costSamples, Decode: sum.Decode / costSamples}
}

func (s Scenario) cost(c Class, prompt, output core.Tokens) Cost {
	profile, _ := s.Profile(c.Profile)
	return Cost{
		Prefill: PrefillCost(s.SettingsOf(core.Prefill), prompt),
		Decode:  DecodeCost(s.SettingsOf(core.Decode), profile.PerTokenTarget, prompt, output),
	}
}
