package core_test

import (
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// A sound engine is silent once, with several streams. New streams must still be placed
// there.
func TestSilenceAloneEvictsNoEngine(t *testing.T) {
	is := is.New(t)
	h := readyAlone(engineInstances()[:2]...)
	var runs []core.RunForward
	for id := core.ForwardID(1); id <= 5; id++ {
		run := runStream(t, h, h.deliver(streamTo(id, "resumable")))
		h.deliver(core.ForwardResponseStarted{ID: id, Send: run.Send, Engine: run.Engine, OpenFor: time.Minute})
		runs = append(runs, run)
	}
	h.advance(1100 * time.Millisecond)
	for _, run := range runs {
		h.deliver(core.ForwardStalled{ID: run.ID, Send: run.Send, Engine: run.Engine})
	}
	out := h.deliver(streamTo(9, "resumable"))
	is.Equal(len(commandsOf[core.RequestLease](out)), 1)
}

// A takeover is one failure of the silent engine, after which it is not avoided yet.
func TestTakeoverIsOneFailureOfTheSilentEngine(t *testing.T) {
	is := is.New(t)
	h := readyAlone(engineInstances()...)
	first := runStream(t, h, h.deliver(streamTo(1, "resumable")))
	h.deliver(core.ForwardResponseStarted{ID: 1, Send: first.Send, Engine: first.Engine, OpenFor: time.Minute})
	h.advance(time.Second)
	second := runStream(t, h, h.deliver(core.ForwardStalled{ID: 1, Send: first.Send, Engine: first.Engine}))
	h.deliver(core.ForwardResponseStarted{ID: 1, Send: second.Send, Engine: second.Engine})
	draining := engineInstances()
	for i := range draining {
		draining[i].Draining = draining[i].ID == second.Engine
	}
	h.deliver(core.InstancesRead{After: 1, Offset: 2, Changed: draining})
	is.Equal(len(commandsOf[core.RequestLease](h.deliver(streamTo(2, "resumable")))), 1)
}
