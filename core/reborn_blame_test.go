package core_test

import (
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// Runs fail at the former incarnation of an engine after the list shows the next one. They
// counted as the next one's failures, so that it was avoided, and as its crash.
func TestFailuresOfAFormerIncarnationAreNotTheNextOnes(t *testing.T) {
	is := is.New(t)
	h := newResumer(engineInstances()[:2])
	var runs []core.RunForward
	for id := core.ForwardID(1); id <= 3; id++ {
		m := streamTo(id, "draft")
		m.Key = core.RequestKey(string(rune('a' + id)))
		runs = append(runs, runStream(t, h, h.deliver(m)))
	}
	former := h.born[runs[0].Engine]
	h.advance(50 * time.Millisecond)
	h.deliver(core.InstancesRead{Whole: true, Offset: 2, Changed: rebornAs(engineInstances()[:2], runs[0].Engine, "")})
	var out []core.Command
	for _, r := range runs {
		out = append(out, h.deliver(core.StepFailed{ID: r.ID, Send: r.Send, Engine: r.Engine, Step: core.RunStep, BrokenOff: true})...)
	}
	reports := sentTo[core.SuspectsReported](out, "n2")
	is.True(len(reports) > 0)
	for _, m := range reports {
		is.Equal(m.Crashes[0].Crash, core.EngineCrash{Engine: runs[0].Engine, Born: former})
	}
	is.Equal(len(commandsOf[core.RequestLease](h.deliver(streamTo(9, "draft")))), 1)
}
