package core_test

import (
	"fmt"
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// stateWithRuns is the emulated desired state with another limit of the runs of a
// resumable stream.
func stateWithRuns(runs int) core.DesiredState {
	state := worldState()
	state.Version = 2
	for i := range state.Routes {
		if state.Routes[i].ID == "resumable" {
			state.Routes[i].MaxRuns = runs
		}
	}
	return state
}

// startedStream has a stream's request run and its first event relayed, and returns the
// run.
func startedStream(t *testing.T, h *hostedNode, id core.ForwardID) core.RunForward {
	t.Helper()
	run := runStream(t, h, h.deliver(streamTo(id, "resumable")))
	h.deliver(core.ForwardResponseStarted{ID: id, Send: run.Send, Engine: run.Engine, OpenFor: time.Minute})
	return run
}

func stalled(c core.RunForward) core.Message {
	return core.ForwardStalled{ID: c.ID, Send: c.Send, Engine: c.Engine}
}

func continued(c core.RunForward) core.Message {
	return core.ForwardContinued{ID: c.ID, Send: c.Send, Engine: c.Engine}
}

func started(c core.RunForward) core.Message {
	return core.ForwardResponseStarted{ID: c.ID, Send: c.Send, Engine: c.Engine, OpenFor: time.Minute}
}

func runFailed(c core.RunForward) core.Message {
	return core.StepFailed{ID: c.ID, Send: c.Send, Engine: c.Engine, Step: core.RunStep, Emitted: true}
}

// The silent run of a stream ends because another one is to take over. The deadline passes
// while both go on. The other one never sends an event.
func TestStreamWhoseDeadlinePassesBesideASilentRunEnds(t *testing.T) {
	is := is.New(t)
	h := readyAlone(engineInstances()...)
	first := startedStream(t, h, 1)
	h.advance(worldTimeout - 300*time.Millisecond)
	second := runStream(t, h, h.deliver(stalled(first)))
	is.True(second.TakesOver)
	out := h.advance(240 * time.Millisecond)
	out = append(out, h.advance(100*time.Millisecond)...)
	out = append(out, h.deliver(runFailed(first))...)
	for range 60 {
		out = append(out, h.advance(time.Second)...)
	}
	is.Equal(endsOf(out), 1)
}

// No engine takes over a silent stream before its deadline, and the silent run never goes
// on. The stream must end like any other answer that is overdue.
func TestSilentStreamThatIsKeptAtItsDeadlineEnds(t *testing.T) {
	for name, hung := range map[string]func(t *testing.T, h *hostedNode){
		"silent after its first event": func(t *testing.T, h *hostedNode) {
			first := startedStream(t, h, 1)
			h.advance(worldTimeout - 100*time.Millisecond)
			h.deliver(stalled(first))
		},
		"resumed without an event": func(t *testing.T, h *hostedNode) {
			h.deliver(stateWithRuns(3))
			first := startedStream(t, h, 1)
			h.advance(worldTimeout - 1500*time.Millisecond)
			runStream(t, h, h.deliver(runFailed(first)))
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := readyAlone(moreEngines()...)
			hung(t, h)
			is.Equal(endsOf(h.advance(time.Minute)), 1)
		})
	}
}

// A placement that an owner repeats must not release the silent run's place there.
func TestRepeatedPlacementKeepsThePlaceOfASilentRun(t *testing.T) {
	is := is.New(t)
	h, owner := readyWithOwner()
	h.deliver(streamTo(1, "resumable"))
	placed := core.PeerMessage{From: owner, Incarnation: 1, Body: core.ForwardPlaced{ID: 1, Decode: "d1", Prefill: "p1", Memory: worldPrompt}}
	run := runStream(t, h, h.deliver(placed))
	h.deliver(started(run))
	is.Equal(len(sentTo[core.ForwardReleased](h.deliver(placed), owner)), 0)
	is.Equal(len(sentTo[core.PlaceForward](h.deliver(stalled(run)), owner)), 1)
	is.Equal(len(sentTo[core.ForwardReleased](h.deliver(placed), owner)), 0)
}

// A search for another engine that lasts longer than the window of the retry budget must
// not return arrivals that other requests have spent since.
func TestEndOfALongSearchReturnsNoRetriesOfOthers(t *testing.T) {
	is := is.New(t)
	const window, slack = 2 * time.Second, 5
	h := newHosted("n1", core.Settings{Retries: core.RetryBudget{Window: window, Slack: slack}})
	h.node.DisabledMechanisms = core.SetOf(core.OwnedGroups)
	engines := moreEngines()
	for i := range 20 {
		e := engines[1]
		e.ID, e.Address = core.EngineID(fmt.Sprint("x", i)), fmt.Sprintf("x%d:1", i)
		engines = append(engines, e)
	}
	h.deliver(core.Tick{}, worldState(), core.InstancesRead{Whole: true, Offset: 1, Changed: engines})
	first := startedStream(t, h, 1)
	is.Equal(len(commandsOf[core.RequestLease](h.deliver(stalled(first)))), 1)
	h.advance(window + 100*time.Millisecond)
	retries := 0
	for id := range core.ForwardID(10) {
		run := runStream(t, h, h.deliver(streamTo(100+id, "draft")))
		out := h.deliver(core.StepRefused{ID: run.ID, Send: run.Send, Engine: run.Engine, Step: core.RunStep})
		retries += 2 * len(commandsOf[core.RequestLease](out))
		if id == 4 {
			h.deliver(continued(first))
		}
	}
	is.True(retries <= slack)
}

// A stream may go on after its deadline. If its engine is silent or fails then, a prompt
// would have no time to be prefilled elsewhere, and its prefill engine would count as failing.
func TestNothingIsSentAfterTheDeadlineOfAStream(t *testing.T) {
	for name, end := range map[string]func(core.RunForward) core.Message{"silent": stalled, "failed": runFailed} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := readyAlone(engineInstances()...)
			first := startedStream(t, h, 1)
			h.advance(worldTimeout + 500*time.Millisecond)
			out := h.deliver(end(first))
			is.Equal(stepsOf(out)-endsOf(out), 0)
		})
	}
}
