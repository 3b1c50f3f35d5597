package core

import (
	"math"
	"time"
)

// linearFit estimates y = a + b*x from observations, by least squares with
// exponentially decaying weights. Its prior counts as priorWeight observations.
type linearFit struct {
	weight, sumX, sumY, sumXX, sumXY float64
	// deviation is the exponentially weighted average of the absolute prediction
	// error.
	deviation float64
}

const (
	// fitDecay is the factor by which each observation reduces the weight of the
	// earlier ones.
	fitDecay = 0.98
	// outlierFactor and outlierSeconds set the upper bound of an observation: the
	// prediction times the one plus the other.
	outlierFactor  = 2
	outlierSeconds = 0.02
	// priorWeight is the weight of the prior, in observations.
	priorWeight = 2
)

// newLinearFit returns a fit whose prior is the line a + b*x, observed at a quarter
// of scale and at scale.
func newLinearFit(a, b, scale float64) linearFit {
	f := linearFit{}
	for _, x := range []float64{0.25 * scale, scale} {
		f.add(x, a+b*x, priorWeight/2)
	}
	return f
}

func (f *linearFit) add(x, y, w float64) {
	f.weight += w
	f.sumX += w * x
	f.sumY += w * y
	f.sumXX += w * x * x
	f.sumXY += w * x * y
}

// observe adds one observation. A value far above its prediction is cut to an
// upper bound, because a stalled engine says little about working ones.
func (f *linearFit) observe(x, y float64) {
	y = min(y, outlierFactor*f.at(x)+outlierSeconds)
	f.deviation = 0.95*f.deviation + 0.05*math.Abs(y-f.at(x))
	f.weight *= fitDecay
	f.sumX *= fitDecay
	f.sumY *= fitDecay
	f.sumXX *= fitDecay
	f.sumXY *= fitDecay
	f.add(x, y, 1)
}

// at predicts y, which is never negative.
func (f *linearFit) at(x float64) float64 {
	a, b := f.line()
	return max(a+b*x, 0)
}

// line returns the intercept and the slope. Neither is negative, because a larger
// request never takes less time.
func (f *linearFit) line() (a, b float64) {
	spread := f.weight*f.sumXX - f.sumX*f.sumX
	if spread > 1e-9*f.sumXX*f.weight {
		b = (f.weight*f.sumXY - f.sumX*f.sumY) / spread
	}
	b = max(b, 0)
	a = (f.sumY - b*f.sumX) / f.weight
	if a < 0 {
		return 0, f.sumXY / f.sumXX
	}
	return a, b
}

// rates estimates the times, in seconds, that the engines of one pool take.
type rates struct {
	// prefill is the time of a prefill as a function of its uncached tokens.
	prefill linearFit
	// transfer is the time of a KV cache transfer as a function of its tokens
	// times the number of transfers that share the link.
	transfer linearFit
	// step is the time per output token as a function of the batch size.
	step linearFit
}

// The priors of the predictions, and the weights and factors applied to them. The
// priors are on the fast side, so that the first requests are admitted and can be
// measured.
const (
	priorPrefillSeconds    = 0.005
	priorPrefillPerToken   = 1.0 / 40000
	priorTransferSeconds   = 0.002
	priorTransferPerToken  = 1.0 / 400000
	priorStepSeconds       = 0.010
	priorStepPerRequest    = 0.0005
	priorTokens            = 2000.0
	priorBatch             = 20.0
	priorAnswerTokens      = 100.0
	answerLengthWeight     = 0.02
	predictionSafety       = 1.0
	initialCacheConfidence = 0.8
)

func newRates() *rates {
	return &rates{
		prefill:  newLinearFit(priorPrefillSeconds, priorPrefillPerToken, priorTokens),
		transfer: newLinearFit(priorTransferSeconds, priorTransferPerToken, priorTokens),
		step:     newLinearFit(priorStepSeconds, priorStepPerRequest, priorBatch),
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (r *rates) prefillTime(uncached Tokens) time.Duration {
	return seconds(r.prefill.at(float64(uncached)))
}

func (r *rates) transferTime(t Tokens, sharing int) time.Duration {
	return seconds(r.transfer.at(float64(t) * float64(sharing)))
}

func (r *rates) stepTime(batch int) time.Duration {
	return seconds(r.step.at(float64(batch)))
}

// error returns the mean error expected of a prediction of the first token.
func (r *rates) error() time.Duration {
	return seconds(predictionSafety * (r.prefill.deviation + r.transfer.deviation))
}

// answerLength is an exponentially weighted average of the length of a profile's
// answers.
type answerLength struct{ mean float64 }

func (s *owner) length(id ProfileID) *answerLength {
	l, ok := s.lengths[id]
	if !ok {
		l = &answerLength{mean: priorAnswerTokens}
		s.lengths[id] = l
	}
	return l
}

func (l *answerLength) observe(t Tokens) { l.mean += answerLengthWeight * (float64(t) - l.mean) }

func (l *answerLength) expected(most Tokens) float64 { return min(l.mean, float64(most)) }

func (s *owner) ratesOf(id PoolID) *rates {
	r, ok := s.rates[id]
	if !ok {
		r = newRates()
		s.rates[id] = r
	}
	return r
}
