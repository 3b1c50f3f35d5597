package scenario

import (
	"math"
	"math/rand/v2"

	"daisyshed.dev/core"
)

// Class is one kind of request in a mix.
type Class struct {
	Profile core.ProfileID
	// Share is the fraction of all requests that belong to this class.
	Share  float64
	Prompt Lengths
	Output Lengths
}

// Lengths is a log-normal distribution of token counts, clamped to the range
// from Min to Max.
type Lengths struct {
	Mean float64
	// Sigma is the standard deviation of the logarithm.
	Sigma float64
	Min   core.Tokens
	Max   core.Tokens
}

// Draw returns a random length.
func (l Lengths) Draw(rng *rand.Rand) core.Tokens {
	mu := math.Log(l.Mean) - l.Sigma*l.Sigma/2
	t := core.Tokens(math.Exp(mu + l.Sigma*rng.NormFloat64()))
	return min(max(t, l.Min), l.Max)
}

// drawClass returns a random class, weighted by Share.
func (s Scenario) drawClass(rng *rand.Rand) Class {
	x := rng.Float64()
	for _, c := range s.Classes {
		if x -= c.Share; x < 0 {
			return c
		}
	}
	return s.Classes[len(s.Classes)-1]
}
