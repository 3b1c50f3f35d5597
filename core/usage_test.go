package core_test

import (
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// cappedState returns a state whose only tenant may send rate requests a second and a burst of them.
func cappedState(version int64, rate, burst float64) core.DesiredState {
	return keyedState(version, core.Tenant{ID: "acme", Keys: []core.CredentialDigest{keyOf(1)}, Cap: core.UsageCap{Rate: rate, Burst: burst}})
}

// cappedNode returns a node that is the only one, with the whole burst of two requests in stock.
func cappedNode(instances ...core.Instance) *hostedNode {
	h := newHosted("n1", core.Settings{Retries: core.RetryBudget{Ratio: 1, Window: 10 * time.Second, Slack: 50}, Usage: core.UsageBounds{Window: 8 * time.Second}})
	h.deliver(core.Tick{}, core.VMList{Nodes: []core.NodeInfo{{ID: "n1"}}}, cappedState(2, 0.25, 2), core.StateConfirmed{},
		core.InstancesRead{Whole: true, Offset: 1, Changed: instances})
	h.pass(10 * time.Second)
	return h
}

// pass lets time pass while the store answers.
func (h *hostedNode) pass(d time.Duration) {
	for range d / (100 * time.Millisecond) {
		h.advance(100 * time.Millisecond)
		h.deliver(core.StateConfirmed{})
	}
}

func (h *hostedNode) usageStatus() core.TenantUsageStatus {
	return commandsOf[core.AnswerStatus](h.deliver(core.StatusQuery{}))[0].Status.Usage[0]
}

// A third request within the time of four was run. It must be rejected before anything is sent for it,
// as provably not run, with the time at which there is room.
func TestRequestOverTheCapIsRejected(t *testing.T) {
	is := is.New(t)
	h := cappedNode(append(engineInstances(), plainInstance("e1"))...)
	is.Equal(len(commandsOf[core.RunForward](h.deliver(withKey(forwardTo(1, "pay"), 1)))), 1)
	is.Equal(len(commandsOf[core.RunForward](h.deliver(withKey(forwardTo(2, "read"), 1)))), 1)
	for id, f := range []core.Forward{withKey(forwardTo(3, "pay"), 1), withKey(streamTo(4, "draft"), 1)} {
		out := h.deliver(f)
		end := endOf(t, out)
		is.Equal(end.ID, core.ForwardID(id+3))
		is.Equal(end.Reason, core.OverShare)
		is.True(end.NotRun && end.RetryAfter > 0 && end.RetryAfter <= f.Patience/3)
		is.Equal(stepsOf(out), 1) // only the rejection
	}
	s := h.usageStatus()
	is.Equal(s.Admitted, 2.0)
	is.Equal(s.Rejected, uint64(2))
	h.pass(4200 * time.Millisecond)
	is.Equal(len(commandsOf[core.RunForward](h.deliver(withKey(forwardTo(5, "pay"), 1)))), 1)
}

// A request that an upstream rejects is placed again. It was charged for each placement, so that the
// tenant was held to a part of its cap. What provably never ran must be given back.
func TestRequestIsChargedOnceAndGivenBackIfNotRun(t *testing.T) {
	is := is.New(t)
	h := cappedNode(append(engineInstances(), plainInstance("e1"), plainInstance("e2"), plainInstance("e3"))...)
	out := h.deliver(withKey(streamTo(9, "draft"), 1))
	for range 2 {
		lease := commandsOf[core.RequestLease](out)[0]
		out = h.deliver(core.StepRefused{ID: 9, Send: lease.Send, Engine: lease.Engine, Step: core.LeaseStep})
		for len(commandsOf[core.RequestLease](out)) == 0 {
			out = h.advance(50 * time.Millisecond)
		}
		is.Equal(h.usageStatus().Admitted, 1.0)
	}
	h.deliver(core.ForwardCallerDisconnected{ID: 9})
	out = h.deliver(withKey(forwardTo(1, "pay"), 1))
	for range 2 {
		run := commandsOf[core.RunForward](out)[0]
		out = h.deliver(core.StepRefused{ID: 1, Send: run.Send, Engine: run.Engine, Step: core.RunStep, Proof: core.StatedNotRun})
		is.Equal(h.usageStatus().Admitted, 1.0)
	}
	run := commandsOf[core.RunForward](out)[0]
	is.True(endOf(t, h.deliver(core.StepRefused{ID: 1, Send: run.Send, Engine: run.Engine, Step: core.RunStep, Proof: core.StatedNotRun})).NotRun)
	// The whole burst is there again, and one that may have run is not given back.
	out = h.deliver(withKey(forwardTo(2, "pay"), 1))
	run = commandsOf[core.RunForward](out)[0]
	h.deliver(core.StepFailed{ID: 2, Send: run.Send, Engine: run.Engine, Step: core.RunStep})
	is.Equal(len(commandsOf[core.RunForward](h.deliver(withKey(forwardTo(3, "pay"), 1)))), 1)
	is.Equal(endOf(t, h.deliver(withKey(forwardTo(4, "pay"), 1))).Reason, core.OverShare)
}

// A caller that leaves while its request waits for an upstream has used nothing.
func TestWaitingRequestOfACallerWhoLeavesIsGivenBack(t *testing.T) {
	is := is.New(t)
	h := cappedNode()
	is.Equal(len(commandsOf[core.RunForward](h.deliver(withKey(forwardTo(1, "pay"), 1)))), 0)
	h.deliver(core.ForwardCallerDisconnected{ID: 1})
	h.deliver(core.InstancesRead{Whole: true, Offset: 2, Changed: []core.Instance{plainInstance("e1")}})
	for id := range core.ForwardID(2) {
		is.Equal(len(commandsOf[core.RunForward](h.deliver(withKey(forwardTo(id+2, "pay"), 1)))), 1)
	}
}

// An owner of an earlier build knows of no caps and places whatever it gets. The entry must charge the
// request itself then, and tell a later owner so.
func TestEntryChargesWhatAnOwnerOfAnEarlierBuildPlaces(t *testing.T) {
	is := is.New(t)
	h := newHosted("n1", core.Settings{Usage: core.UsageBounds{Window: 8 * time.Second}})
	h.deliver(core.Tick{}, cappedState(2, 20, 20), core.StateConfirmed{}, core.InstancesRead{Whole: true, Offset: 1, Changed: []core.Instance{plainInstance("e1")}})
	for i := range 9 {
		addPeer(h, core.NodeID("p")+core.NodeID(rune('a'+i)))
	}
	for range 50 {
		h.pass(100 * time.Millisecond)
		for i := range 9 {
			h.deliver(core.PeerMessage{From: core.NodeID("p") + core.NodeID(rune('a'+i)), Incarnation: 1, Body: core.Heartbeat{Sequence: 2}})
		}
	}
	placed, rejected := 0, 0
	for i := range 40 {
		out := h.deliver(withKey(forwardTo(core.ForwardID(i+1), "read"), 1))
		for _, c := range commandsOf[core.SendPeer](out) {
			if m, ok := c.Body.(core.PlaceForward); ok {
				is.True(m.Charged)
				is.Equal(m.Usage, core.Tokens(1))
				placed++
			}
			_, reported := c.Body.(core.UsageReported)
			is.True(!reported) // none of them knows reports
		}
		rejected += len(commandsOf[core.EndForward](out))
	}
	// The node has a tenth of the cap, and keeps what accrues in half a window.
	is.True(placed >= 2 && placed <= 10)
	is.Equal(placed+rejected, 40)
}
