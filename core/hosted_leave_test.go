package core_test

import (
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

const leaveGrace = 8 * time.Second

// leavingAlone returns a hosted node that is about to leave and knows of no other
// node.
func leavingAlone() *hostedNode {
	h := newHosted("n1", core.Settings{Grace: leaveGrace, Retries: core.RetryBudget{Ratio: 0.2, Window: 10 * time.Second, Slack: 50}})
	h.node.DisabledMechanisms = core.SetOf(core.OwnedGroups)
	h.deliver(core.Tick{}, worldState(), core.InstancesRead{
		Whole: true, Offset: 1, Changed: []core.Instance{plainInstance("e1")},
	})
	return h
}

// A leaving node without open requests must not stop while it accepts connections:
// it serves requests that arrive in that time.
func TestIdleLeavingNodeStillServes(t *testing.T) {
	is := is.New(t)
	h := leavingAlone()
	out := append(h.deliver(core.Shutdown{}), h.advance(time.Second)...)
	is.Equal(len(commandsOf[core.StopNode](out)), 0)
	is.Equal(len(commandsOf[core.RunForward](h.deliver(forwardTo(1, "pay")))), 1)
}

// Callers may use a node's address for more than two seconds after they received
// it, so a leaving node keeps accepting connections for that long.
func TestLeavingNodeClosesOnceOthersServe(t *testing.T) {
	is := is.New(t)
	w := newHostedWorld(worldOptions{nodes: 2, plain: 1, slots: 6, seed: 1})
	w.run(time.Second)
	began := w.now
	w.nodes[0].deliver(core.Shutdown{})
	w.run(leaveGrace)
	after := w.nodes[0].closedAt.Sub(began)
	is.True(after >= 2500*time.Millisecond)
	is.True(after <= 2700*time.Millisecond)
}

// Planned maintenance stops all nodes within a few seconds. The last ones continue for
// as long as the requests that they accept can still end in time.
func TestLastNodesKeepServingWhileAllLeave(t *testing.T) {
	is := is.New(t)
	w := newHostedWorld(worldOptions{nodes: 4, plain: 1, slots: 6, seed: 1})
	w.run(time.Second)
	for _, n := range w.nodes {
		n.deliver(core.Shutdown{})
		w.run(500 * time.Millisecond)
	}
	began := w.now
	w.run(leaveGrace)
	after := w.nodes[3].closedAt.Sub(began)
	is.True(after >= leaveGrace-2500*time.Millisecond)
	is.True(after < leaveGrace-1500*time.Millisecond)
}

// While all nodes leave, a leaving node that still serves rejects at once a request
// that may outlive it, and correctly reports that the request was not run.
func TestLeavingNodeRejectsRequestsThatMayOutliveIt(t *testing.T) {
	is := is.New(t)
	h := leavingAlone()
	h.deliver(core.Shutdown{})
	h.advance(4 * time.Second)
	is.Equal(len(commandsOf[core.RunForward](h.deliver(forwardTo(1, "pay")))), 1)
	long := forwardTo(2, "draft")
	long.Patience = worldTimeout
	ends := commandsOf[core.EndForward](h.deliver(long))
	is.Equal(len(ends), 1)
	is.Equal(ends[0].Reason, core.Leaving)
	is.True(ends[0].NotRun)
	is.True(ends[0].RetryAfter > 0)
}

// While all nodes leave, callers receive the addresses of those that still accept
// connections, and not of one that has closed.
func TestAddressesNameLeavingNodesThatStillServe(t *testing.T) {
	is := is.New(t)
	w := newHostedWorld(worldOptions{nodes: 3, plain: 1, slots: 6, seed: 1})
	w.run(time.Second)
	for _, n := range w.nodes {
		n.deliver(core.Shutdown{})
		w.run(1500 * time.Millisecond)
	}
	w.run(2 * time.Second)
	first := w.nodes[0]
	is.True(first.closedAt > 0)
	is.Equal(w.nodes[2].closedAt, core.Instant(0))
	first.deliver(core.AddressQuery{Query: "q", Domain: "d1"})
	is.True(len(first.addresses) > 0)
	for _, a := range first.addresses {
		is.True(a.Node != first.node.Self.ID)
	}
}
