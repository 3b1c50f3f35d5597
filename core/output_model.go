package core

import "math"

const (
	// outputWeight is the number of answers over which a model averages: a few
	// seconds of a group's load.
	outputWeight = 256
	// outputSamples is how many answers a model needs before it is used.
	outputSamples = 24
	// leastVariance is the variance of the logarithms of estimates below which
	// they tell nothing about how output follows from them.
	leastVariance = 0.01
)

// outputModel predicts how long answers get from their callers' estimates: a
// line through the logarithms of both. Estimates are right at the median and
// often far off, so low ones are mostly exceeded and high ones mostly not
// reached. Memory that is reserved by the bare estimate runs out for the first
// and stands empty for the others.
type outputModel struct {
	count int
	// The running means of the logarithms of estimate (x) and output (y), of
	// their squares and of their product.
	x, y, xx, yy, xy float64
}

// note takes in how long an answer got against its estimate.
func (m *outputModel) note(expected, output Tokens) {
	if expected <= 0 || output <= 0 {
		return
	}
	m.count++
	x, y, weight := math.Log(float64(expected)), math.Log(float64(output)), 1/float64(min(m.count, outputWeight))
	for _, v := range []struct {
		mean *float64
		of   float64
	}{{&m.x, x}, {&m.y, y}, {&m.xx, x * x}, {&m.yy, y * y}, {&m.xy, x * y}} {
		*v.mean += (v.of - *v.mean) * weight
	}
}

// predict returns the mean output of requests with an estimate, or the estimate
// itself if too little was seen.
func (m *outputModel) predict(expected Tokens) Tokens {
	if m.count < outputSamples || expected <= 0 {
		return expected
	}
	slope, covariance, variance := 1.0, m.xy-m.x*m.y, m.xx-m.x*m.x
	if variance > leastVariance {
		slope = min(max(covariance/variance, 0), 1)
	}
	residue := max(m.yy-m.y*m.y-slope*(2*covariance-slope*variance), 0)
	// The mean of values whose logarithm is spread lies above their median.
	return Tokens(math.Exp(m.y + slope*(math.Log(float64(expected))-m.x) + residue/2))
}

// reserve returns the memory that a request is expected to need at its end.
func (m *outputModel) reserve(n *Node, prompt, expected, most Tokens) Tokens {
	output := expected
	if n.uses(LearnedOutput) {
		output = m.predict(expected)
	}
	if most > 0 {
		output = min(output, most)
	}
	return prompt + output
}
