package core

import "math"

const (
	// averagedAnswers is the number of answers over which a model averages: a
	// few seconds of a group's load.
	averagedAnswers = 256
	// minAnswers is how many answers a model needs before its predictions are
	// used.
	minAnswers = 24
	// minVariance is the variance of the logarithms of estimates below which
	// they do not show how the output depends on them.
	minVariance = 0.01
)

// outputModel predicts the length of answers from their callers' estimates, by
// linear regression on the logarithms of both. Estimates are right at the
// median but often far off, so low ones are mostly exceeded and high ones
// mostly not reached. If memory is reserved by the estimate alone, it runs out
// for the former and stays unused for the latter.
type outputModel struct {
	count int
	// The running means of the logarithms of estimate (x) and output (y), of
	// their squares and of their product.
	x, y, xx, yy, xy float64
}

// observe adds the estimated and the actual length of an answer to the model.
func (m *outputModel) observe(expected, output Tokens) {
	if expected <= 0 || output <= 0 {
		return
	}
	m.count++
	x, y, weight := math.Log(float64(expected)), math.Log(float64(output)), 1/float64(min(m.count, averagedAnswers))
	for _, v := range []struct {
		mean *float64
		of   float64
	}{{&m.x, x}, {&m.y, y}, {&m.xx, x * x}, {&m.yy, y * y}, {&m.xy, x * y}} {
		*v.mean += (v.of - *v.mean) * weight
	}
}

// predict returns the mean output of requests with the given estimate, or the
// estimate itself if too few answers were observed.
func (m *outputModel) predict(expected Tokens) Tokens {
	if m.count < minAnswers || expected <= 0 {
		return expected
	}
	slope, residualVariance := m.fit()
	// The mean of log-normally distributed values is above their median.
	return Tokens(math.Exp(m.y + slope*(math.Log(float64(expected))-m.x) + residualVariance/2))
}

// fit returns the slope of the regression, and the variance that it leaves in the
// logarithms of outputs.
func (m *outputModel) fit() (slope, residualVariance float64) {
	covariance, variance := m.xy-m.x*m.y, m.xx-m.x*m.x
	slope = 1
	if variance > minVariance {
		slope = min(max(covariance/variance, 0), 1)
	}
	return slope, max(m.yy-m.y*m.y-slope*(2*covariance-slope*variance), 0)
}

// relativeDeviation returns the standard deviation of outputs from their predictions, as
// a share of the prediction; zero if too few answers were observed.
func (m *outputModel) relativeDeviation() float64 {
	if m.count < minAnswers {
		return 0
	}
	_, residualVariance := m.fit()
	return math.Sqrt(math.Expm1(residualVariance))
}

// expectedMemory returns the memory that a request is expected to need when it
// ends.
func (m *outputModel) expectedMemory(n *Node, prompt, expected, maxOutput Tokens) Tokens {
	output := expected
	if n.uses(LearnedOutput) {
		output = m.predict(expected)
	}
	if maxOutput > 0 {
		output = min(output, maxOutput)
	}
	return prompt + output
}
