package core_test

import (
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// Guards against a prompt that is prefilled again and again, up to six times and at the same engine,
// because the node may be isolated. The bounds are those of other prefills.
func TestPrefillsThatFailOnThePathAreBounded(t *testing.T) {
	is := is.New(t)
	h := newHosted("n1", core.Settings{Retries: core.RetryBudget{Ratio: 1, Window: 10 * time.Second, Slack: 500}})
	instances := engineInstances()
	for _, id := range []core.EngineID{"p2", "p3", "p4", "p5"} {
		p := instances[0]
		p.ID, p.Address = id, string(id)+":1"
		instances = append(instances, p)
	}
	h.deliver(core.Tick{}, worldState(), core.InstancesRead{Whole: true, Offset: 1, Changed: instances})
	h.node.DisabledMechanisms = core.SetOf(core.OwnedGroups)
	addPeer(h, "n2")
	var engines []core.EngineID
	out := h.deliver(streamTo(1, "draft"))
	for i := 0; i < 60 && len(commandsOf[core.EndForward](out)) == 0; i++ {
		h.unreached("d1", "d2")
		leases, prefills := commandsOf[core.RequestLease](out), commandsOf[core.RunPrefill](out)
		out = h.advance(50 * time.Millisecond)
		for _, c := range leases {
			out = append(out, h.deliver(core.LeaseGranted{ID: 1, Send: c.Send, Engine: c.Engine, Lease: "l"})...)
		}
		for _, c := range prefills {
			engines = append(engines, c.Engine)
			out = append(out, h.deliver(core.StepFailed{ID: 1, Send: c.Send, Engine: c.Engine, Step: core.ReadPromptStep})...)
		}
	}
	is.Equal(len(engines), 3)
	is.Equal(len(core.SetOf(engines...)), 3)
}

// Guards against requests of all nodes that an owner without a path to upstreams places.
func TestIsolatedNodeOwnsNoGroup(t *testing.T) {
	is := is.New(t)
	h, owner := readyWithOwner()
	node := core.NodeInfo{ID: owner, Domain: "d1", PeerAddress: string(owner) + ":1", CallerAddress: string(owner) + ":2", Isolated: true}
	u := core.MemberUpdate{Node: node, Incarnation: 1, Status: core.Alive, Sequence: 100}
	h.deliver(core.PeerMessage{From: owner, Incarnation: 1, Body: core.Heartbeat{Sequence: 2, Updates: []core.MemberUpdate{u}}})
	for id := range core.ForwardID(8) {
		for _, c := range commandsOf[core.SendPeer](h.deliver(streamTo(id+1, "draft"))) {
			is.True(c.To != owner)
		}
	}
}
