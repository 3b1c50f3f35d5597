package core_test

import (
	"fmt"
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

const (
	// storeAnswer is how long the store takes to answer a read, and minReadAge the age before
	// which a read is not renewed.
	storeAnswer = 4 * time.Millisecond
	minReadAge  = 700 * time.Millisecond
)

// worldStore is the store's desired state with the nodes' waiting reads of it.
type worldStore struct {
	latest core.DesiredState
	// hung are the nodes whose read waits on a connection that carries nothing, and readAt is
	// when each node's read began.
	hung   core.Set[core.NodeID]
	readAt map[core.NodeID]core.Instant
	// away makes all reads fail. confirmations counts the reads that do not wait.
	away          bool
	confirmations int
}

// openStore lets the nodes read the desired state from an emulated store.
func (w *hostedWorld) openStore() *worldStore {
	w.store = &worldStore{latest: w.largeState(1), hung: core.Set[core.NodeID]{}, readAt: map[core.NodeID]core.Instant{}}
	for _, n := range w.nodes {
		n.deliver(core.StateConfirmed{})
	}
	return w.store
}

// publish writes a version, which the reads that wait return.
func (w *hostedWorld) publish(version int64) {
	w.store.latest = w.largeState(version)
	for _, n := range w.nodes {
		if !w.store.hung.Has(n.node.Self.ID) {
			n.answerRead()
		}
	}
}

// answerRead delivers the latest state and begins the next read.
func (n *worldNode) answerRead() {
	s, id := n.w.store, n.node.Self.ID
	if s.away || n.cutOff {
		return
	}
	s.readAt[id] = n.w.now
	sent := n.w.now
	latest := s.latest
	n.w.after(storeAnswer, func() {
		n.deliver(core.StateTransferBegan{})
		n.deliver(latest)
		n.deliver(core.StateConfirmed{Age: n.w.now.Sub(sent)})
	})
}

// renewRead replaces a node's read, unless it has just begun.
func (n *worldNode) renewRead() {
	s, id := n.w.store, n.node.Self.ID
	if s == nil || n.w.now.Sub(s.readAt[id]) < minReadAge {
		return
	}
	delete(s.hung, id)
	s.confirmations++
	n.answerRead()
}

// silenceConnections makes the established connections of all nodes but the first spared ones carry
// nothing, to the store and, both ways, to peers.
func (w *hostedWorld) silenceConnections(spared int) {
	for _, n := range w.nodes[spared:] {
		w.store.hung.Add(n.node.Self.ID)
		n.unreached = true
	}
}

// lateNodes returns how many nodes applied a version later than StateDelay after it was
// published, or not at all.
func (w *hostedWorld) lateNodes(version int64, published core.Instant) int {
	late := 0
	for _, n := range w.nodes {
		on := false
		for v, applied := range w.applied {
			at, ok := applied[n.node.Self.ID]
			on = on || v >= version && ok && at.Sub(published) <= stateDelay
		}
		late += btoi(!on)
	}
	return late
}

// All connections of nine nodes in ten go silent for good, to the store and to peers, again and
// again, while versions come in quick succession. These nodes receive nothing from peers any
// more. They served by versions of up to 19 s before, and did not know it.
func TestNodesThatNobodyReachesHaveEachVersionInTime(t *testing.T) {
	for _, nodes := range []int{8, 82, 410} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			if testing.Short() && nodes > 82 {
				t.Skip("the race detector takes a minute for this size")
			}
			is := is.New(t)
			w := newHostedWorld(worldOptions{nodes: nodes, plain: 1, slots: 6, seed: 3, stateDelay: stateDelay})
			w.openStore()
			w.run(4 * time.Second)
			published := map[int64]core.Instant{}
			for version := int64(2); version < 20; version++ {
				if version%6 == 2 {
					w.silenceConnections(nodes / 10)
				}
				published[version] = w.now
				w.publish(version)
				w.run(800 * time.Millisecond)
			}
			w.run(stateDelay)
			for version, at := range published {
				is.Equal(w.lateNodes(version, at), 0)
			}
		})
	}
}

// newConfirmedNode returns a node with a confirmed state and peers, none of which has sent
// anything for a while, such that it is not one of the readers.
func newConfirmedNode(peers int) *hostedNode {
	h := newHosted("n1", core.Settings{StateDelay: stateDelay})
	h.deliver(core.Tick{}, worldState(), core.StateConfirmed{},
		core.InstancesRead{Whole: true, Offset: 1, Changed: []core.Instance{plainInstance("e1")}})
	for i := range peers {
		addPeer(h, core.NodeID(fmt.Sprint("p", i)))
	}
	return h
}

// A node receives nothing from peers, and its read of the store hangs. It used the state that
// it had for up to 28 s.
func TestNodeThatNobodyReachesRenewsItsRead(t *testing.T) {
	is := is.New(t)
	h := newConfirmedNode(20)
	is.True(len(commandsOf[core.RenewStateRead](h.advance(stateDelay))) > 0)
}

// A node cannot tell whether a route exists that it does not know, once it is not known to be
// up to date. It answered 404 for a route that had been added.
func TestRouteIsNotDeniedByAnUnconfirmedState(t *testing.T) {
	is := is.New(t)
	h := newConfirmedNode(20)
	ends := commandsOf[core.EndForward](h.deliver(forwardTo(1, "added")))
	is.Equal(len(ends), 1)
	is.Equal(ends[0].Reason, core.NoRoute)
	h.advance(stateDelay + stateDelay/10)
	ends = commandsOf[core.EndForward](h.deliver(forwardTo(2, "added")))
	is.Equal(len(ends), 1)
	is.Equal(ends[0].Reason, core.StaleConfiguration)
	is.True(ends[0].NotRun)
	is.True(ends[0].RetryAfter > 0)
	h.deliver(core.StateConfirmed{})
	ends = commandsOf[core.EndForward](h.deliver(forwardTo(3, "added")))
	is.Equal(ends[0].Reason, core.NoRoute)
}

// A node is cut off from the store and from all peers. Its directory named itself alone, and
// drew all callers that asked it.
func TestNodeCutOffFromStoreAndPeersIsNotReady(t *testing.T) {
	is := is.New(t)
	h := newConfirmedNode(20)
	out := h.advance(core.DefaultSettings().StaleAfter + stateDelay)
	is.Equal(len(commandsOf[core.NodeNotReady](out)), 1)
	// It serves callers that connect nevertheless: other nodes may be worse off.
	is.Equal(len(commandsOf[core.EndForward](h.deliver(forwardTo(1, "pay")))), 0)
	h.deliver(core.StateConfirmed{})
	is.Equal(len(commandsOf[core.NodeReady](h.advance(time.Second))), 1)
}

// The store is away for all. Nodes receive each other's heartbeats, and serve as before.
func TestNodesStayReadyWhileTheStoreIsAway(t *testing.T) {
	is := is.New(t)
	h := newConfirmedNode(20)
	for range 60 {
		h.deliver(core.PeerMessage{From: "p1", Incarnation: 1, Body: core.Heartbeat{Sequence: 2, ConfigOffset: 1}})
		is.Equal(len(commandsOf[core.NodeNotReady](h.advance(500*time.Millisecond))), 0)
	}
	is.Equal(len(commandsOf[core.EndForward](h.deliver(forwardTo(1, "pay")))), 0)
}

// Peers pass proofs on, so that not every node has to read the store. Messages are slow, and
// one in twenty is lost.
func TestProofsOfPeersSaveReadsOfTheStore(t *testing.T) {
	is := is.New(t)
	const nodes, seconds = 82, 20
	for _, slow := range []bool{false, true} {
		w := newHostedWorld(worldOptions{nodes: nodes, plain: 1, slots: 6, seed: 3, stateDelay: stateDelay})
		s := w.openStore()
		if slow {
			w.slowLinks()
		}
		w.run(5 * time.Second)
		s.confirmations = 0
		w.run(seconds * time.Second)
		t.Logf("slow messages %t: %.1f reads a second of %d nodes", slow, float64(s.confirmations)/seconds, nodes)
		// Half of what it takes if each node reads for itself within StateDelay.
		is.True(s.confirmations < nodes*seconds/int(stateDelay/time.Second)/2)
	}
}

// A proof that is passed on again and again, with delays, must not count as a new one.
func TestProofsExpireWhileTheStoreIsAway(t *testing.T) {
	is := is.New(t)
	w := newHostedWorld(worldOptions{nodes: 30, plain: 1, slots: 6, seed: 3, stateDelay: stateDelay})
	s := w.openStore()
	w.slowLinks()
	w.run(5 * time.Second)
	s.away = true
	w.run(3 * stateDelay)
	for _, n := range w.nodes {
		answers := commandsOf[core.AnswerStatus](n.node.Update(w.now, core.StatusQuery{}))
		is.Equal(len(answers), 1)
		age, ok := answers[0].Status.ProofAge.Get()
		is.True(ok)
		is.True(age > 2*stateDelay)
	}
}
