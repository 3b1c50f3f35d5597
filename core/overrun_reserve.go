package core

import "math"

// overrunDeviations is how many standard deviations of the sum of the answers on an
// engine are kept free for answers that turn out longer than predicted.
const overrunDeviations = 1.25

// overrunReserve returns the memory of an engine that is kept free when it decodes the
// given number of streams.
//
// Load pattern: engines whose memory is fully reserved. Predictions of outputs are right
// on average only, so some answers outgrow their reservation while the rest of the memory
// is reserved for others. The engine then preempts a stream: its caller sees a pause, and
// the prompt is prefilled again.
func (c *engineCosts) overrunReserve(n *Node, streams int) Tokens {
	if !n.uses(OverrunReserve) {
		return 0
	}
	return Tokens(overrunDeviations * c.outputs.relativeDeviation() * c.outputLengths.mean * math.Sqrt(float64(streams)))
}
