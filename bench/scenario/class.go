package scenario

import (
	"math"
	"math/rand/v2"

	"daisyshed.dev/core"
)

// Class is one kind of request in a mix.
type Class struct {
	Profile core.ProfileID
	// Share is the part of all requests that are of this class.
	Share  float64
	Prompt Lengths
	Output Lengths
}

// Lengths is a log-normal distribution of token counts, cut off at both ends.
type Lengths struct {
	Mean float64
	// Spread is the standard deviation of the logarithm.
	Spread float64
	Least  core.Tokens
	Most   core.Tokens
}

// Draw returns one length.
func (l Lengths) Draw(rng *rand.Rand) core.Tokens {
	mu := math.Log(l.Mean) - l.Spread*l.Spread/2
	t := core.Tokens(math.Exp(mu + l.Spread*rng.NormFloat64()))
	return min(max(t, l.Least), l.Most)
}

// drawClass picks a class by its share.
func (s Scenario) drawClass(rng *rand.Rand) Class {
	x := rng.Float64()
	for _, c := range s.Classes {
		if x -= c.Share; x < 0 {
			return c
		}
	}
	return s.Classes[len(s.Classes)-1]
}
