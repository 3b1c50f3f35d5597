package core_test

import (
	"slices"
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// runStream delivers a stream's request and the results of its steps until the request is
// sent to a decode engine, and returns that send.
func runStream(t *testing.T, h *hostedNode, out []core.Command) core.RunForward {
	t.Helper()
	for {
		out = append(out, h.verifyHolds(out)...)
		leases, prefills := commandsOf[core.RequestLease](out), commandsOf[core.RunPrefill](out)
		runs := commandsOf[core.RunForward](out)
		switch {
		case len(runs) > 0:
			return runs[0]
		case len(prefills) > 0:
			c := prefills[0]
			out = h.deliver(core.PrefillFinished{ID: c.ID, Send: c.Send, Engine: c.Engine, Handle: "k", Tokens: worldPrompt})
		case len(leases) > 0:
			c := leases[0]
			out = h.deliver(core.LeaseGranted{ID: c.ID, Send: c.Send, Engine: c.Engine, Lease: "l"})
		default:
			t.Fatalf("the stream is not placed: %v", out)
		}
	}
}

// stepsOf returns how many commands send something to an upstream or end a request.
func stepsOf(out []core.Command) int {
	return len(commandsOf[core.RequestLease](out)) + len(commandsOf[core.RunPrefill](out)) +
		len(commandsOf[core.RunForward](out)) + len(commandsOf[core.EndForward](out)) + len(commandsOf[core.RelayFailure](out))
}

// The rejection of a run that was given up for its silence crosses the next placement.
func TestLateRefusalWhileStreamIsPlacedAgain(t *testing.T) {
	is := is.New(t)
	h := readyAlone(engineInstances()...)
	first := runStream(t, h, h.deliver(streamTo(1, "resumable")))
	out := h.advance(2 * worldObjective)
	is.Equal(len(commandsOf[core.RequestLease](out)), 1)
	late := h.deliver(core.StepRefused{ID: 1, Send: first.Send, Engine: first.Engine, Step: core.RunStep})
	is.Equal(stepsOf(late), 0)
	second := runStream(t, h, out)
	is.True(second.Engine != first.Engine)
}

// The result of a run that was given up for its silence arrives while the next one runs.
func TestLateResultDoesNotEndTheNextRun(t *testing.T) {
	for name, late := range map[string]func(core.RunForward) core.Message{
		"refused": func(c core.RunForward) core.Message {
			return core.StepRefused{ID: c.ID, Send: c.Send, Engine: c.Engine, Step: core.RunStep}
		},
		"failed": func(c core.RunForward) core.Message {
			return core.StepFailed{ID: c.ID, Send: c.Send, Engine: c.Engine, Step: core.RunStep}
		},
		"unsent": func(c core.RunForward) core.Message {
			return core.StepFailed{ID: c.ID, Send: c.Send, Engine: c.Engine, Step: core.RunStep, Unsent: true}
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := readyAlone(engineInstances()...)
			first := runStream(t, h, h.deliver(streamTo(1, "resumable")))
			runStream(t, h, h.advance(2*worldObjective))
			is.Equal(stepsOf(h.deliver(late(first)))+stepsOf(h.advance(2*worldObjective)), 0)
		})
	}
}

// A response to the first send may be repeated on its connection and be taken for the
// response to the second one.
func TestSecondSendToSameEngineUsesNewConnection(t *testing.T) {
	is := is.New(t)
	h := newHosted("n1", core.Settings{Retries: core.RetryBudget{Ratio: 0.2, Window: 10 * time.Second, Slack: 50}})
	h.deliver(core.Tick{}, worldState(), core.InstancesRead{Whole: true, Offset: 1, Changed: engineInstances()[:2]})
	first := runStream(t, h, h.deliver(streamTo(1, "draft")))
	is.True(!first.NewConnection)
	h.deliver(core.StepRefused{ID: 1, Send: first.Send, Engine: first.Engine, Step: core.RunStep})
	second := runStream(t, h, h.advance(2*time.Second))
	is.Equal(second.Engine, first.Engine)
	is.True(second.NewConnection)
}

// For every order in which results arrive, some of them late and some twice, a request
// that must run once reaches at most one upstream that may have run it, and is reported
// as not run only if none may have.
func TestOnceUnderLateAndRepeatedResults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kind := rapid.SampledFrom([]string{"pay", "read", "draft", "resumable"}).Draw(t, "kind")
		h := readyAlone(append(engineInstances(), plainInstance("e1"), plainInstance("e2"), plainInstance("e3"))...)
		m := forwardTo(1, kind)
		if kind == "draft" || kind == "resumable" {
			m = streamTo(1, kind)
		}
		ran := map[core.SendNumber]bool{}
		var pending, delivered []core.Message
		handle := func(out []core.Command) {
			for _, c := range out {
				switch c := c.(type) {
				case core.RequestLease:
					pending = append(pending, leaseAnswer(t, c))
				case core.RunPrefill:
					pending = append(pending, prefillAnswer(t, c))
				case core.RunForward:
					m, mayHaveRun := runAnswer(t, c)
					if _, ok := m.(core.ForwardResponseCompleted); ok {
						m = core.StepFailed{ID: c.ID, Send: c.Send, Engine: c.Engine, Step: core.RunStep}
					}
					ran[c.Send] = mayHaveRun
					pending = append(pending, m)
				case core.EndForward:
					if c.NotRun && countTrue(ran) > 0 {
						t.Fatalf("reported as not run after %d runs", countTrue(ran))
					}
				case core.LogViolation:
					t.Fatal(c.Violation)
				}
			}
			if kind != "read" && kind != "resumable" && countTrue(ran) > 1 {
				t.Fatalf("%s ran %d times", kind, countTrue(ran))
			}
		}
		handle(h.deliver(m))
		for range 60 {
			switch i := rapid.IntRange(0, 9).Draw(t, "next"); {
			case len(pending) > 0 && i < 5:
				at := rapid.IntRange(0, len(pending)-1).Draw(t, "pending")
				m := pending[at]
				pending = slices.Delete(pending, at, at+1)
				delivered = append(delivered, m)
				handle(h.deliver(m))
			case len(delivered) > 0 && i < 7:
				handle(h.deliver(rapid.SampledFrom(delivered).Draw(t, "again")))
			default:
				handle(h.advance(100 * time.Millisecond))
			}
		}
	})
}

func countTrue(m map[core.SendNumber]bool) int {
	n := 0
	for _, v := range m {
		if v {
			n++
		}
	}
	return n
}

// An owner's placement for a request of an earlier process of this node, which had the
// same number, names an upstream of another service.
func TestPlacementAtAnotherServiceIsNotFollowed(t *testing.T) {
	is := is.New(t)
	h := newHosted("n1", core.Settings{})
	h.deliver(core.Tick{}, worldState(), core.InstancesRead{Whole: true, Offset: 1, Changed: append(engineInstances(), plainInstance("e1"))})
	for _, peer := range []core.NodeID{"n2", "n3", "n4", "n5"} {
		addPeer(h, peer)
	}
	asks := commandsOf[core.SendPeer](h.deliver(forwardTo(1, "pay")))
	is.Equal(len(asks), 1)
	out := h.deliver(core.PeerMessage{From: asks[0].To, Incarnation: 1, Body: core.ForwardPlaced{ID: 1, Decode: "d1", Memory: 1}})
	is.Equal(arrivals(out, "d1"), 0)
	is.Equal(arrivals(out, "e1"), 1)
}
