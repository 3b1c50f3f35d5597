package core_test

import (
	"fmt"
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// instancesOf returns the list of upstreams that a node would send to a peer.
func instancesOf(h *hostedNode) map[core.EngineID]core.Instance {
	out := h.deliver(core.PeerMessage{From: "asks", Incarnation: 1, Body: core.StateQuery{Upstreams: true}})
	list := map[core.EngineID]core.Instance{}
	for _, a := range sentTo[core.StateAnswer](out, "asks") {
		for _, i := range a.Instances.Instances {
			list[i.ID] = i
		}
	}
	return list
}

func draining(i core.Instance) core.Instance {
	i.Draining = true
	return i
}

// The store returns from a copy in which an upstream that this node has read to be
// draining is still ready, and one that drained and left is still listed. Neither
// incarnation may get requests again; the next one may.
func TestRestoredStoreRevivesNoLeavingUpstream(t *testing.T) {
	is := is.New(t)
	h := newHosted("n1", core.Settings{})
	both := []core.Instance{plainInstance("e1"), plainInstance("e2")}
	h.deliver(core.Tick{}, worldState(), core.StoreEraObserved{Era: 1}, core.InstancesRead{Whole: true, Era: 1, Offset: 10, Changed: both})
	h.deliver(core.InstancesRead{After: 10, Era: 1, Offset: 12, Changed: []core.Instance{draining(both[0]), draining(both[1])}})
	h.deliver(core.InstancesRead{After: 12, Era: 1, Offset: 13, Removed: []core.EngineID{"e2"}})
	h.deliver(core.StoreEraObserved{Era: 2})
	reads := commandsOf[core.ReadInstances](h.advance(600 * time.Millisecond))
	is.True(len(reads) > 0)
	is.True(reads[0].Whole)
	h.deliver(core.InstancesRead{Whole: true, Era: 2, Offset: 10, Changed: both})
	is.Equal(instancesOf(h), map[core.EngineID]core.Instance{"e1": draining(both[0])})
	both[0].Born, both[1].Born = 2, 2
	h.deliver(core.InstancesRead{After: 10, Era: 2, Offset: 12, Changed: both})
	is.Equal(instancesOf(h), map[core.EngineID]core.Instance{"e1": both[0], "e2": both[1]})
}

// The store returns from a copy in which upstreams are listed whose removal this node has read,
// and which had not been draining. They got requests again. One that renews its entry is alive, as
// is one that the store lists for longer than it keeps the entries of others.
func TestRestoredStoreRevivesNoRemovedUpstream(t *testing.T) {
	is := is.New(t)
	h := newHosted("n1", core.Settings{})
	all := []core.Instance{plainInstance("e1"), plainInstance("e2"), plainInstance("e3")}
	h.deliver(core.Tick{}, worldState(), core.StoreEraObserved{Era: 1}, core.InstancesRead{Whole: true, Era: 1, Offset: 10, Changed: all})
	h.deliver(core.InstancesRead{After: 10, Era: 1, Offset: 13, Removed: []core.EngineID{"e2", "e3"}})
	h.deliver(core.StoreEraObserved{Era: 2})
	h.advance(600 * time.Millisecond)
	h.deliver(core.InstancesRead{Whole: true, Era: 2, Offset: 10, Changed: all})
	is.Equal(instancesOf(h), map[core.EngineID]core.Instance{"e1": all[0]})
	h.deliver(core.InstancesRead{After: 10, Era: 2, Offset: 12, Changed: all[1:2]})
	is.Equal(instancesOf(h), map[core.EngineID]core.Instance{"e1": all[0], "e2": all[1]})
	is.True(!h.readsWhole(3 * time.Second))
	is.True(h.readsWhole(3 * time.Second))
	h.deliver(core.InstancesRead{Whole: true, Era: 2, Offset: 12, Changed: all})
	is.Equal(len(instancesOf(h)), 3)
}

// readsWhole answers a node's reads for a time, and reports whether one was of all entries.
func (h *hostedNode) readsWhole(d time.Duration) bool {
	for until := h.now.Add(d); h.now < until; {
		for _, r := range commandsOf[core.ReadInstances](h.advance(100 * time.Millisecond)) {
			if r.Whole {
				return true
			}
			h.deliver(core.InstancesRead{After: 12, Era: 2, Offset: 12, Started: r.Started})
		}
	}
	return false
}

// An upstream that registered shortly before the store returned from a copy is missing
// from the copy. It stays in use for the time that it needs to write its entry again.
func TestUpstreamMissingFromRestoredStoreStaysForAMoment(t *testing.T) {
	is := is.New(t)
	h := newHosted("n1", core.Settings{})
	h.deliver(core.Tick{}, worldState(), core.InstancesRead{Whole: true, Era: 1, Offset: 10, Changed: []core.Instance{plainInstance("e1"), plainInstance("e2")}})
	h.deliver(core.StoreEraObserved{Era: 2}, core.InstancesRead{Whole: true, Era: 2, Offset: 9, Changed: []core.Instance{plainInstance("e1")}})
	is.Equal(len(instancesOf(h)), 2)
	h.advance(4 * time.Second)
	is.Equal(len(instancesOf(h)), 1)
}

// A read that was in flight when the store returned from a copy, or whose offset is of
// the earlier era, must not be taken for changes of the new era.
func TestReadAcrossErasIsRepeatedWhole(t *testing.T) {
	is := is.New(t)
	h := newHosted("n1", core.Settings{})
	h.deliver(core.Tick{}, worldState(), core.InstancesRead{Whole: true, Era: 1, Offset: 10, Changed: []core.Instance{plainInstance("e1")}})
	out := h.deliver(core.InstancesRead{After: 10, Era: 2, Offset: 14, Changed: []core.Instance{plainInstance("e2")}})
	reads := commandsOf[core.ReadInstances](out)
	is.Equal(len(reads), 1)
	is.True(reads[0].Whole)
	is.Equal(len(instancesOf(h)), 1)
}

// A node that was cut off while the store returned from a copy twice gets changes of an
// era that it has not heard of. They do not apply to its list, and it reads all entries.
func TestNodeCutOffAcrossErasCatchesUp(t *testing.T) {
	is := is.New(t)
	h := newHosted("n1", core.Settings{})
	h.deliver(core.Tick{}, worldState(), core.InstancesRead{Whole: true, Era: 1, Offset: 10, Changed: []core.Instance{plainInstance("e1")}})
	addPeer(h, "n2")
	changed := core.InstancesChanged{Era: 3, After: 7, Offset: 12, Changed: []core.Instance{plainInstance("e3")}}
	h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: changed})
	is.Equal(len(instancesOf(h)), 1)
	whole := 0
	for _, r := range commandsOf[core.ReadInstances](h.advance(2 * time.Second)) {
		whole += btoi(r.Whole)
	}
	is.True(whole > 0)
}

// The store returns from a copy at random moments and loses records that some nodes have
// read and others have not. Upstreams write their entries again. In the end, all nodes
// have the store's list, whatever each of them had read before.
func TestNodesAgreeAfterTheStoreIsRestored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes, upstreams = 3, 5
		w := &eraWorld{}
		for i := range nodes {
			w.nodes = append(w.nodes, newHosted(core.NodeID(fmt.Sprintf("n%d", i)), core.Settings{}))
		}
		for i, h := range w.nodes {
			w.carryOut(i, h.deliver(core.Tick{}, worldState()))
			for j := range nodes {
				if j != i {
					addPeer(h, w.nodes[j].node.Self.ID)
				}
			}
		}
		step := func(d time.Duration) {
			for i, h := range w.nodes {
				w.carryOut(i, h.advance(d))
			}
		}
		state := make([]core.Instance, upstreams)
		for i := range state {
			state[i] = plainInstance(core.EngineID(fmt.Sprintf("e%d", i)))
			w.log = append(w.log, state[i])
		}
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			u := rapid.IntRange(0, upstreams-1).Draw(t, "upstream")
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				state[u].Slots++
				w.log = append(w.log, state[u])
			case 1:
				state[u].Born++
				state[u].Draining = rapid.Bool().Draw(t, "draining")
				w.log = append(w.log, state[u])
			case 2:
				lost := rapid.IntRange(0, len(w.log)-upstreams).Draw(t, "lost")
				w.log = w.log[:len(w.log)-lost]
				w.era++
				w.cut = rapid.IntRange(0, nodes).Draw(t, "cut off")
			case 3:
				w.log = append(w.log, state[u])
			}
			step(time.Duration(rapid.IntRange(0, 900).Draw(t, "wait")) * time.Millisecond)
		}
		w.cut = nodes
		for range 20 {
			// Upstreams renew their entries, so that those that were lost are written again.
			w.log = append(w.log, state...)
			step(400 * time.Millisecond)
		}
		for i, h := range w.nodes {
			got := instancesOf(h)
			for _, want := range state {
				if got[want.ID] != want {
					t.Fatalf("node %d has %+v, want %+v", i, got[want.ID], want)
				}
			}
		}
	})
}

// eraWorld is a store that returns from copies, with nodes that read it. The node with
// the number cut receives no messages of other nodes.
type eraWorld struct {
	nodes []*hostedNode
	log   []core.Instance
	era   core.StoreEra
	cut   int
}

// carryOut carries out the commands of a node, and those that follow.
func (w *eraWorld) carryOut(i int, commands []core.Command) {
	h := w.nodes[i]
	for _, c := range commands {
		switch c := c.(type) {
		case core.ReadInstances:
			m := core.InstancesRead{Whole: c.Whole, After: c.After, Era: 1 + w.era, Offset: core.Offset(len(w.log))}
			from := c.After
			if c.Whole {
				from = 0
			}
			if from > m.Offset {
				w.carryOut(i, h.deliver(core.StoreEraObserved{Era: 1 + w.era}, core.InstancesReadFailed{Compacted: true}))
				continue
			}
			newest := map[core.EngineID]core.Instance{}
			for _, r := range w.log[from:] {
				newest[r.ID] = r
			}
			for _, r := range newest {
				m.Changed = append(m.Changed, r)
			}
			w.carryOut(i, h.deliver(core.StoreEraObserved{Era: 1 + w.era}, m))
		case core.SendPeer:
			for j, to := range w.nodes {
				if to.node.Self.ID == c.To && j != w.cut && i != w.cut {
					w.carryOut(j, to.deliver(core.PeerMessage{From: h.node.Self.ID, Incarnation: 1, Body: c.Body}))
				}
			}
		}
	}
}

// The store returns from a copy and loses the latest claims to send orders, several
// times, while the node that issues orders freezes and wakes. Orders of two nodes must
// be at least a lease apart, and fencing tokens must not go back although the offsets of
// claims do.
func TestOrdersKeepOneHolderWhenTheStoreIsRestored(t *testing.T) {
	orders, moved := 0, 0
	for seed := range uint64(12) {
		w := newHostedWorld(worldOptions{nodes: 4, prefillers: 9, decoders: 3, seed: seed})
		w.era = 1
		w.run(7 * time.Second)
		w.load("draft", 8, 150*time.Second)
		for range 6 {
			before := len(w.orders)
			w.resetRoles()
			for i := 0; i < 200 && len(w.orders) == before; i++ {
				w.run(100 * time.Millisecond)
			}
			w.run(time.Duration(w.rng.IntN(1500)) * time.Millisecond)
			w.restore(1 + w.rng.IntN(3))
			if len(w.orders) > 0 {
				w.freeze(w.orders[len(w.orders)-1].from, time.Duration(10+w.rng.IntN(8))*time.Second)
			}
			w.resetRoles()
		}
		w.run(30 * time.Second)
		for i := 1; i < len(w.orders); i++ {
			a, b := w.orders[i-1], w.orders[i]
			if b.Fencing < a.Fencing {
				t.Fatalf("seed %d: fencing token %d after %d", seed, b.Fencing, a.Fencing)
			}
			if a.from != b.from {
				moved++
				if a.Fencing == b.Fencing || b.at.Sub(a.at) < core.DefaultSettings().OrderLease {
					t.Fatalf("seed %d: orders of %s and %s, %v apart, tokens %d and %d", seed, a.from, b.from, b.at.Sub(a.at), a.Fencing, b.Fencing)
				}
			}
		}
		orders += len(w.orders)
	}
	is := is.New(t)
	t.Logf("%d orders, %d times by another node", orders, moved)
	is.True(moved > 0)
}
