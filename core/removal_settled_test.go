package core_test

import (
	"fmt"
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// settledBy returns what a node says of removals in its answer to a heartbeat.
func (h *hostedNode) settledBy() core.SettledRemovals {
	out := h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: core.Heartbeat{Sequence: 9}})
	return sentTo[core.HeartbeatAck](out, "n2")[0].Settled
}

// updatedBy has a peer update a node for a time, and returns the offset that it has reached.
func (h *hostedNode) updatedBy(from core.NodeID, offset core.Offset, d time.Duration) core.Offset {
	for until := h.now.Add(d); h.now < until; offset++ {
		h.deliver(core.PeerMessage{From: from, Incarnation: 1, Body: core.InstancesChanged{After: offset, Offset: offset + 1}})
		h.advance(250 * time.Millisecond)
	}
	return offset
}

// A node that was cut off alone counted the time for renewals from its own first read, and sent
// requests to upstreams that had left for longer than it may. Its peers have read the store all
// the while, so that the removal is final.
func TestRemovalIsFinalForANodeThatWasCutOffAlone(t *testing.T) {
	for name, settled := range map[string]func(core.SettledRemovals) core.PeerBody{
		"heartbeat": func(s core.SettledRemovals) core.PeerBody { return core.Heartbeat{Sequence: 2, Settled: s} },
		"answer":    func(s core.SettledRemovals) core.PeerBody { return core.HeartbeatAck{Sequence: 2, Settled: s} },
		"changes": func(s core.SettledRemovals) core.PeerBody {
			return core.InstancesChanged{After: 12, Offset: 12, Settled: s}
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHosted("n1", core.Settings{})
			h.deliver(core.Tick{})
			addPeer(h, "n2")
			h.deliver(core.InstancesRead{Whole: true, Offset: 10, Changed: []core.Instance{plainInstance("e1"), plainInstance("e2")}})
			h.deliver(core.InstancesReadFailed{})
			h.advance(2 * time.Second)
			h.deliver(core.InstancesRead{After: 10, Offset: 12, Removed: []core.EngineID{"e1"}})
			h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: settled(core.SettledRemovals{Through: 11})})
			h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: settled(core.SettledRemovals{Era: 1, Through: 20})})
			is.Equal(h.node.InstanceAddress("e1"), "e1:80")
			h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: settled(core.SettledRemovals{Through: 12})})
			is.Equal(h.node.InstanceAddress("e1"), "")
			is.Equal(h.node.InstanceAddress("e2"), "e2:80")
		})
	}
}

// In an outage of the store all live upstreams may expire. No node that may have missed an
// outage, as it was frozen, has just started or was not updated, may call a removal final.
func TestNoRemovalIsFinalAfterAnOutage(t *testing.T) {
	is := is.New(t)
	h := newHosted("n1", core.Settings{})
	h.deliver(core.Tick{})
	addPeer(h, "n2")
	h.deliver(core.InstancesRead{Whole: true, Offset: 10, Changed: []core.Instance{plainInstance("e1")}})
	is.Equal(h.settledBy(), core.SettledRemovals{})
	offset := h.updatedBy("n2", 10, 3*time.Second)
	is.Equal(h.settledBy(), core.SettledRemovals{Through: offset})

	h.advance(2 * time.Second)
	is.Equal(h.settledBy(), core.SettledRemovals{})
	offset = h.updatedBy("n2", offset, 2*time.Second)
	is.Equal(h.settledBy(), core.SettledRemovals{})
	offset = h.updatedBy("n2", offset, time.Second)
	is.Equal(h.settledBy(), core.SettledRemovals{Through: offset})

	h.deliver(core.InstancesReadFailed{})
	is.Equal(h.settledBy(), core.SettledRemovals{})
	offset = h.updatedBy("n2", offset, 2*time.Second)
	is.Equal(h.settledBy(), core.SettledRemovals{})
	offset = h.updatedBy("n2", offset, time.Second)
	is.Equal(h.settledBy(), core.SettledRemovals{Through: offset})
}

// worldRemovals are the entries of a world's upstreams that the store does not hold, with the
// offsets at which they were removed.
type worldRemovals map[core.EngineID]core.Offset

// removeEntry removes an upstream's entry from the store.
func (w *hostedWorld) removeEntry(id core.EngineID) {
	w.offset++
	w.removals[id] = w.offset
}

// renewEntry writes an upstream's entry to the store again.
func (w *hostedWorld) renewEntry(id core.EngineID) {
	w.offset++
	delete(w.removals, id)
}

// listedBy counts the nodes that list an upstream.
func (w *hostedWorld) listedBy(id core.EngineID) int {
	count := 0
	for _, n := range w.nodes {
		count += btoi(n.node.InstanceAddress(id) != "")
	}
	return count
}

// An upstream leaves within the time that upstreams may take to renew their entries, counted from
// when nodes that were cut off reach the store again. They must know 2 s later that it has left,
// once they have been in touch for 3 s.
func TestNodesThatWereCutOffDropUpstreamsThatLeft(t *testing.T) {
	for _, nodes := range []int{8, 82} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprint(nodes, "/", seed), func(t *testing.T) {
				w := newHostedWorld(worldOptions{nodes: nodes, plain: 6, slots: 4, seed: seed})
				w.run(5 * time.Second)
				w.cutOff(0.35, 5*time.Second)
				w.run(6 * time.Second)
				w.removeEntry("s00")
				w.run(2*time.Second + 100*time.Millisecond)
				is.New(t).Equal(w.listedBy("s00"), 0)
			})
		}
	}
}

// All entries expire in an outage of the store, and live upstreams renew them within 2 s after it.
// No node may stop using them meanwhile.
func TestEntriesOfLiveUpstreamsSurviveAnOutage(t *testing.T) {
	for _, nodes := range []int{8, 82} {
		for _, outage := range []time.Duration{2500 * time.Millisecond, 5 * time.Second} {
			t.Run(fmt.Sprint(nodes, "/", outage), func(t *testing.T) {
				is := is.New(t)
				w := newHostedWorld(worldOptions{nodes: nodes, plain: 6, slots: 4, seed: 1})
				w.run(5 * time.Second)
				for _, n := range w.nodes {
					n.cutOff = true
				}
				w.run(outage)
				for _, n := range w.nodes {
					n.cutOff = false
				}
				for _, id := range w.ids {
					w.removeEntry(id)
				}
				for range 19 {
					w.run(100 * time.Millisecond)
					is.Equal(w.listedBy("s00"), nodes)
				}
				for _, id := range w.ids[1:] {
					w.renewEntry(id)
				}
				w.run(3 * time.Second)
				is.Equal(w.listedBy("s00"), 0)
				is.Equal(w.listedBy("s01"), nodes)
			})
		}
	}
}
