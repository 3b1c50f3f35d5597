package core_test

import (
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// readyAlone returns a hosted node that knows the emulated desired state and
// the given upstreams, and places requests by itself, without owners.
func readyAlone(instances ...core.Instance) *hostedNode {
	h := newHosted("n1", core.Settings{Retries: core.RetryBudget{Ratio: 0.2, Window: 10 * time.Second, Slack: 50}})
	h.node.DisabledMechanisms = core.SetOf(core.OwnedGroups)
	h.deliver(core.Tick{}, worldState(), core.InstancesRead{Whole: true, Offset: 1, Changed: instances})
	return h
}

func forwardTo(id core.ForwardID, route string) core.Forward {
	return core.Forward{ID: id, Attempt: "a", Host: "h", Path: "/" + route + "/x", Patience: 1500 * time.Millisecond}
}

// A node that does not know the desired state yet must reject requests with a
// retry time, and not as NoRoute: whether the route exists is not known.
func TestUnknownStateIsNotReportedAsNoRoute(t *testing.T) {
	is := is.New(t)
	h := newHosted("n1", core.Settings{})
	out := h.deliver(core.Tick{}, forwardTo(1, "pay"))
	ends := commandsOf[core.EndForward](out)
	is.Equal(len(ends), 1)
	is.Equal(ends[0].Reason, core.StaleConfiguration)
	is.True(ends[0].NotRun)
	is.True(ends[0].RetryAfter > 0)
}

func TestMissingRouteIsRejected(t *testing.T) {
	is := is.New(t)
	h := readyAlone(plainInstance("e1"))
	h.deliver(core.StateConfirmed{})
	ends := commandsOf[core.EndForward](h.deliver(forwardTo(1, "nothing")))
	is.Equal(len(ends), 1)
	is.Equal(ends[0].Reason, core.NoRoute)
}

// An older desired state never replaces a newer one.
func TestDesiredStateNeverGoesBack(t *testing.T) {
	is := is.New(t)
	h := readyAlone(plainInstance("e1"))
	newer := worldState()
	newer.Version = 9
	newer.Routes = newer.Routes[:1]
	h.deliver(newer, worldState(), core.StateConfirmed{})
	ends := commandsOf[core.EndForward](h.deliver(forwardTo(1, "pay")))
	is.Equal(len(ends), 1)
	is.Equal(ends[0].Reason, core.NoRoute)
}

// A request that may run once must not be retried after an upstream that may
// have run it, and must not be reported as not run.
func TestOnceIsNotRetriedAfterPossibleRun(t *testing.T) {
	is := is.New(t)
	h := readyAlone(plainInstance("e1"), plainInstance("e2"))
	runs := commandsOf[core.RunForward](h.deliver(forwardTo(1, "pay")))
	is.Equal(len(runs), 1)
	out := h.deliver(core.StepFailed{ID: 1, Send: runs[0].Send, Engine: runs[0].Engine, Step: core.RunStep, Reason: "reset"})
	is.Equal(len(commandsOf[core.RunForward](out)), 0)
	ends := commandsOf[core.EndForward](out)
	is.Equal(len(ends), 1)
	is.True(!ends[0].NotRun)
}

// A rejection proves that the request did not run, so it is sent to another
// upstream.
func TestRefusedOnceGoesElsewhere(t *testing.T) {
	is := is.New(t)
	h := readyAlone(plainInstance("e1"), plainInstance("e2"))
	first := commandsOf[core.RunForward](h.deliver(forwardTo(1, "pay")))[0]
	again := commandsOf[core.RunForward](h.deliver(core.StepRefused{ID: 1, Send: first.Send, Engine: first.Engine, Step: core.RunStep}))
	is.Equal(len(again), 1)
	is.True(again[0].Engine != first.Engine)
}

// The log says for each answer that promises "not run" what proves that.
func TestRejectionIsLoggedWithItsProof(t *testing.T) {
	is := is.New(t)
	h := readyAlone(plainInstance("e1"))
	proof := func(out []core.Command) string {
		for _, d := range commandsOf[core.LogDecision](out) {
			if d.Decision.Step == "refuse" {
				return d.Decision.Detail
			}
		}
		return ""
	}
	is.Equal(proof(h.deliver(forwardTo(1, "nothing"))), "never sent")
	run := commandsOf[core.RunForward](h.deliver(forwardTo(2, "pay")))[0]
	out := h.deliver(core.StepRefused{ID: 2, Send: run.Send, Engine: run.Engine, Step: core.RunStep})
	is.Equal(proof(out), "send 1 at e1: StatedNotRun")
	run = commandsOf[core.RunForward](h.deliver(forwardTo(3, "pay")))[0]
	out = h.deliver(core.StepFailed{ID: 3, Send: run.Send, Engine: run.Engine, Step: core.RunStep, Unsent: true})
	is.Equal(proof(out), "send 1 at e1: NothingSent")
}

// An upstream that has begun to drain must receive no more requests.
func TestDrainingUpstreamGetsNoRequests(t *testing.T) {
	is := is.New(t)
	draining := plainInstance("e1")
	draining.Draining = true
	h := readyAlone(plainInstance("e1"))
	h.deliver(core.InstancesRead{After: 1, Offset: 2, Changed: []core.Instance{draining}})
	out := h.deliver(forwardTo(1, "pay"))
	is.Equal(len(commandsOf[core.RunForward](out)), 0)
	is.Equal(commandsOf[core.EndForward](out)[0].Reason, core.NoUpstream)
}

// A node whose VM was suspended may have lost the right to give orders
// meanwhile, so it must give none under a claim from before the pause.
func TestNoOrderUnderAClaimFromBeforeAPause(t *testing.T) {
	is := is.New(t)
	w := newHostedWorld(worldOptions{nodes: 1, prefillers: 6, decoders: 6, seed: 9})
	w.run(3 * time.Second)
	w.load("draft", 8, 20*time.Second)
	n := w.nodes[0]
	for range 20000 {
		w.run(time.Millisecond)
		if w.claims > 0 {
			break
		}
	}
	is.Equal(w.claims, core.Offset(1))
	is.Equal(len(w.orders), 0)
	n.frozen = true
	w.run(5 * time.Second)
	n.frozen = false
	n.deliver(core.OrdersClaimed{Ticket: 1, Offset: 0})
	is.Equal(len(w.orders), 0)
}

// The runtime may stand still before it sends an order, so that the order names the end of its claim,
// counted from when the claim was sent.
func TestOrderNamesTheEndOfItsClaim(t *testing.T) {
	is := is.New(t)
	h := readyAlone(
		core.Instance{ID: "d1", Service: "model", Address: "d1:1", Slots: 4, Role: core.Decode, Born: 1},
		core.Instance{ID: "d2", Service: "model", Address: "d2:1", Slots: 4, Role: core.Decode, Born: 1},
	)
	wanted := core.PeerMessage{From: "n2", Incarnation: 1, Body: core.RolesWanted{Orders: []core.Order{{Engine: "d1", Kind: core.SetRole, Role: core.Prefill}}}}
	var claims []core.ClaimOrders
	var claimedAt core.Instant
	for range 20 {
		h.deliver(wanted)
		if claims = commandsOf[core.ClaimOrders](h.advance(100 * time.Millisecond)); len(claims) > 0 {
			claimedAt = h.now
			break
		}
	}
	is.Equal(len(claims), 1)
	h.advance(400 * time.Millisecond)
	h.deliver(wanted)
	orders := commandsOf[core.SendOrder](h.deliver(core.OrdersClaimed{Ticket: claims[0].Ticket, Offset: claims[0].At}))
	is.Equal(len(orders), 1)
	is.True(orders[0].Expires <= claimedAt.Add(1500*time.Millisecond))
	is.True(orders[0].Expires > h.now)
}

// For every sequence of answers, a request that may run once reaches at most
// one upstream that may have run it, ends exactly once, and is reported as not
// run only if no upstream may have run it.
func TestOnceUnderRandomAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kind := rapid.SampledFrom([]string{"pay", "read", "draft", "resumable"}).Draw(t, "kind")
		h := readyAlone(
			plainInstance("e1"), plainInstance("e2"), plainInstance("e3"),
			core.Instance{ID: "p1", Service: "model", Address: "p1:1", Slots: 4, Role: core.Prefill, Born: 1},
			core.Instance{ID: "p2", Service: "model", Address: "p2:1", Slots: 4, Role: core.Prefill, Born: 1},
			core.Instance{ID: "d1", Service: "model", Address: "d1:1", Slots: 4, Role: core.Decode, Born: 1},
			core.Instance{ID: "d2", Service: "model", Address: "d2:1", Slots: 4, Role: core.Decode, Born: 1},
		)
		m := forwardTo(1, kind)
		if kind == "draft" || kind == "resumable" {
			m.Patience = worldTimeout
			m.Generation = core.Some(core.Generation{Prompt: 100, MaxOutput: 100})
		}
		mayHaveRun, ends := 0, 0
		once := kind == "pay" || kind == "draft"
		var answer func(out []core.Command)
		answer = func(out []core.Command) {
			for _, c := range out {
				switch c := c.(type) {
				case core.RequestLease:
					answer(h.deliver(leaseAnswer(t, c)))
				case core.RunPrefill:
					answer(h.deliver(prefillAnswer(t, c)))
				case core.RunForward:
					m, ran := runAnswer(t, c)
					if ran {
						mayHaveRun++
					}
					if _, answered := m.(core.ForwardResponseCompleted); answered {
						ends++
					}
					answer(h.deliver(m))
				case core.EndForward:
					ends++
					if c.NotRun && mayHaveRun > 0 {
						t.Fatalf("reported as not run after %d runs", mayHaveRun)
					}
				case core.RelayFailure:
					ends++
				}
			}
		}
		answer(h.deliver(m))
		for range 200 {
			answer(h.advance(100 * time.Millisecond))
		}
		limit := 2
		if once {
			limit = 1
		}
		if mayHaveRun > limit {
			t.Fatalf("%s ran %d times", kind, mayHaveRun)
		}
		if ends != 1 {
			t.Fatalf("%s ended %d times", kind, ends)
		}
	})
}

func leaseAnswer(t *rapid.T, c core.RequestLease) core.Message {
	switch rapid.IntRange(0, 3).Draw(t, "lease") {
	case 0:
		return core.StepRefused{ID: c.ID, Send: c.Send, Engine: c.Engine, Step: core.LeaseStep}
	case 1:
		return core.StepFailed{ID: c.ID, Send: c.Send, Engine: c.Engine, Step: core.LeaseStep}
	default:
		return core.LeaseGranted{ID: c.ID, Send: c.Send, Engine: c.Engine, Lease: "l"}
	}
}

func prefillAnswer(t *rapid.T, c core.RunPrefill) core.Message {
	switch rapid.IntRange(0, 3).Draw(t, "read") {
	case 0:
		return core.StepRefused{ID: c.ID, Send: c.Send, Engine: c.Engine, Step: core.ReadPromptStep, AddressReused: true}
	case 1:
		return core.StepFailed{ID: c.ID, Send: c.Send, Engine: c.Engine, Step: core.ReadPromptStep}
	default:
		return core.PrefillFinished{ID: c.ID, Send: c.Send, Engine: c.Engine, Handle: "h", Tokens: 100}
	}
}

// runAnswer returns the result of a run, and whether the upstream may have run
// the request.
func runAnswer(t *rapid.T, c core.RunForward) (core.Message, bool) {
	switch rapid.IntRange(0, 5).Draw(t, "run") {
	case 0:
		return core.StepRefused{ID: c.ID, Send: c.Send, Engine: c.Engine, Step: core.RunStep}, false
	case 1:
		return core.StepFailed{ID: c.ID, Send: c.Send, Engine: c.Engine, Step: core.RunStep, Unsent: true}, false
	case 2:
		return core.StepFailed{ID: c.ID, Send: c.Send, Engine: c.Engine, Step: core.RunStep}, true
	case 3:
		return core.StepFailed{ID: c.ID, Send: c.Send, Engine: c.Engine, Step: core.RunStep, Status: 500}, true
	case 4:
		return core.StepFailed{ID: c.ID, Send: c.Send, Engine: c.Engine, Step: core.RunStep, Emitted: true}, true
	default:
		return core.ForwardResponseCompleted{ID: c.ID, Send: c.Send, Engine: c.Engine}, true
	}
}
