package core_test

import (
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// A plain upstream is silent, and the upstream that is asked beside it rejects the request.
// The request must not end: the first upstream may be sound and answer.
func TestSilentPlainRequestIsKeptWhileOthersReject(t *testing.T) {
	is := is.New(t)
	h := readyAlone(plainInstance("e1"), plainInstance("e2"))
	first := commandsOf[core.RunForward](h.deliver(forwardTo(1, "read")))[0]
	again := commandsOf[core.RunForward](h.advance(400 * time.Millisecond))
	is.Equal(len(again), 1)
	is.True(again[0].Engine != first.Engine)
	out := h.deliver(core.StepRefused{ID: 1, Send: again[0].Send, Engine: again[0].Engine, Step: core.RunStep})
	is.Equal(len(commandsOf[core.EndForward](out)), 0)
	h.deliver(core.ForwardResponseStarted{ID: 1, Send: first.Send, Engine: first.Engine})
	out = h.deliver(core.ForwardResponseCompleted{ID: 1, Send: first.Send, Engine: first.Engine})
	is.Equal(len(commandsOf[core.EndForward](out)), 0)
	is.Equal(len(commandsOf[core.EndForward](h.advance(2*time.Second))), 0)
}

// Without another upstream to ask, a silent one is waited for until the deadline.
func TestSilentPlainRequestIsKeptWithoutOtherUpstream(t *testing.T) {
	is := is.New(t)
	h := readyAlone(plainInstance("e1"))
	h.deliver(forwardTo(1, "read"))
	is.Equal(len(commandsOf[core.EndForward](h.advance(1400*time.Millisecond))), 0)
	ends := commandsOf[core.EndForward](h.advance(200 * time.Millisecond))
	is.Equal(len(ends), 1)
	is.Equal(ends[0].Reason, core.DeadlinePassed)
}
