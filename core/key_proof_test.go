package core_test

import (
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// keyWorld is a deployment without load whose version 2 has key 1 alone, and all later versions key 2.
func keyWorld(seed uint64) *hostedWorld {
	w := newHostedWorld(worldOptions{nodes: 24, plain: 1, slots: 6, seed: seed, stateDelay: stateDelay})
	w.tenants = func(version int64) []core.Tenant {
		return []core.Tenant{{ID: "acme", Keys: []core.CredentialDigest{keyOf(byte(min(version-1, 2)))}}}
	}
	w.openStore()
	w.run(time.Second)
	w.publish(2)
	w.run(5 * time.Second)
	return w
}

// tryKey sends a node a request with a key that no upstream gets, and returns why it is rejected.
func (n *worldNode) tryKey(key byte) core.RejectionReason {
	w := n.w
	w.next++
	id := w.next
	reason := core.NoReason
	f := withKey(forwardTo(id, "read"), key)
	for _, m := range []core.Message{f, core.ForwardCallerDisconnected{ID: id}} {
		for _, c := range n.node.Update(w.now, m) {
			switch c := c.(type) {
			case core.EndForward:
				if c.ID == id {
					reason = c.Reason
				}
			case core.RunForward:
			default:
				n.carryOut(c)
			}
		}
	}
	return reason
}

// keyReport counts what happened to requests that came later than StateDelay after the version that
// removes key 1 and adds key 2.
type keyReport struct{ removedRan, removedRejected, addedDenied, addedNotYet int }

// tryKeys sends requests with both keys to all nodes for a time.
func (w *hostedWorld) tryKeys(d time.Duration) keyReport {
	var r keyReport
	for until := w.now.Add(d); w.now < until; w.run(250 * time.Millisecond) {
		for _, n := range w.nodes {
			if n.killed {
				continue
			}
			if n.tryKey(1) == core.NoReason {
				r.removedRan++
			} else {
				r.removedRejected++
			}
			switch n.tryKey(2) {
			case core.NoReason:
			case core.UnknownKey:
				r.addedDenied++
			default:
				r.addedNotYet++
			}
		}
	}
	return r
}

// A key is removed, and another one added, while some nodes are cut off. Those served by the removed
// key for as long as they were, and told callers with the new key that it is unknown.
func TestKeysThatChangeWhileNodesAreCutOff(t *testing.T) {
	for _, c := range []struct {
		from      string
		nodes     int
		side      int
		unreached bool
	}{{"store", 20, 0, false}, {"store and all nodes", 4, 0, true}, {"store and most nodes", 4, 1, false}, {"store and half of the nodes", 12, 1, false}} {
		t.Run(c.from, func(t *testing.T) {
			is := is.New(t)
			w := keyWorld(3)
			for _, n := range w.nodes[:c.nodes] {
				n.cutOff, n.unreached, n.side = true, c.unreached, c.side
			}
			w.publish(3)
			w.run(stateDelay + 50*time.Millisecond)
			r := w.tryKeys(12 * time.Second)
			t.Logf("%+v", r)
			is.Equal(r.removedRan, 0)
			is.Equal(r.addedDenied, 0)
			for _, n := range w.nodes {
				n.cutOff, n.unreached, n.side = false, false, 0
			}
			w.run(stateDelay)
			r = w.tryKeys(time.Second)
			is.Equal(r.removedRan+r.addedDenied+r.addedNotYet, 0)
		})
	}
}

// While the store is away for all, no node can prove that its keys are the latest. All rejected their
// callers' keys then, if they did not count on each other.
func TestKeysAreAcceptedWhileTheStoreIsAway(t *testing.T) {
	is := is.New(t)
	w := keyWorld(4)
	w.store.away = true
	w.run(stateDelay)
	r := w.tryKeys(10 * time.Second)
	is.Equal(r.removedRejected, 0)
	for _, n := range w.nodes[:8] {
		n.killed = true
	}
	r = w.tryKeys(10 * time.Second)
	t.Logf("%+v", r)
	is.Equal(r.removedRejected, 0)
	is.Equal(r.addedDenied, 0)
}

// A process is paused while a key is removed. What peers had sent before then was still there when it
// resumed, seemed to be new, and made it accept the key.
func TestMessagesFromBeforeAPauseDoNotProveKeys(t *testing.T) {
	is := is.New(t)
	h := newConfirmedNode(8)
	h.deliver(keyedState(2, core.Tenant{ID: "acme", Keys: []core.CredentialDigest{keyOf(1)}}), core.StateConfirmed{})
	heartbeat := core.Heartbeat{Sequence: 2, ConfigOffset: 2, KnownOffset: 2, Proof: core.StateProof{Number: 100}}
	h.now = h.now.Add(stateDelay + time.Second)
	out := h.deliver(core.PeerMessage{From: "p1", Incarnation: 1, Body: heartbeat})
	is.Equal(endOf(t, h.deliver(withKey(forwardTo(1, "pay"), 1))).Reason, core.StaleConfiguration)
	// An answer to what was sent since proves that the state is the latest.
	var ack core.PeerMessage
	for _, c := range commandsOf[core.SendPeer](append(out, h.advance(time.Second)...)) {
		if b, ok := c.Body.(core.Heartbeat); ok {
			ack = core.PeerMessage{From: c.To, Incarnation: 1, Body: core.HeartbeatAck{Sequence: b.Sequence, ConfigOffset: 2, KnownOffset: 2, Proof: core.StateProof{Number: 101}}}
		}
	}
	is.Equal(len(commandsOf[core.EndForward](h.deliver(ack, withKey(forwardTo(2, "pay"), 1)))), 0)
}
