package core_test

import (
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// Guards against retries that amplify an outage. Every upstream fails every
// request, so that each request is to be retried; in no window may more retries
// be sent than the budget allows.
func TestExtraSendsStayWithinTheBudget(t *testing.T) {
	is := is.New(t)
	h := readyAlone(plainInstance("e1"), plainInstance("e2"), plainInstance("e3"))
	var extras []core.Instant
	for i := range 300 {
		id := core.ForwardID(i + 1)
		runs := commandsOf[core.RunForward](h.deliver(forwardTo(id, "read")))
		is.Equal(len(runs), 1)
		for len(runs) > 0 {
			runs = commandsOf[core.RunForward](h.deliver(core.StepFailed{ID: id, Send: runs[0].Send, Engine: runs[0].Engine, Step: core.RunStep, Status: 500}))
			if len(runs) > 0 {
				extras = append(extras, h.now)
			}
		}
		h.advance(100 * time.Millisecond)
	}
	is.True(len(extras) > 0)
	const window, perWindow = 10 * time.Second, 10 * 10
	for i, from := range extras {
		count := 0
		for _, at := range extras[i:] {
			if at.Sub(from) < window {
				count++
			}
		}
		is.True(float64(count) <= 0.2*perWindow+50)
	}
}
