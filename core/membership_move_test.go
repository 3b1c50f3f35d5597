package core_test

import (
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

func nodeAt(id core.NodeID, address string) core.NodeInfo {
	return core.NodeInfo{ID: id, Domain: "d1", PeerAddress: address + ":1", CallerAddress: address + ":2"}
}

// replaced returns a node that knew n2 at one address and has since got a message
// of its next start.
func replaced() *hostedNode {
	h := newHosted("n1", core.Settings{})
	h.tell(core.Tick{}, core.VMList{Nodes: []core.NodeInfo{nodeAt("n2", "old")}})
	h.tell(core.Peer{From: "n2", Incarnation: 1, Body: core.Heartbeat{Sequence: 1}})
	h.pass(100 * time.Millisecond)
	h.tell(core.Peer{From: "n2", Incarnation: 2, Body: core.Heartbeat{Sequence: 1}})
	return h
}

// A machine that is replaced by one of the same name at another address is
// reached there once the list shows it, though its messages came before.
func TestReplacedNodeIsReachedAtItsNewAddress(t *testing.T) {
	is := is.New(t)
	h := replaced()
	h.tell(core.VMList{Nodes: []core.NodeInfo{nodeAt("n2", "new")}})
	address, ok := h.node.PeerAddress("n2")
	is.True(ok)
	is.Equal(address, "new:1")
}

// The same once a member tells of it.
func TestToldAddressOfALaterStartIsTaken(t *testing.T) {
	is := is.New(t)
	h := replaced()
	h.tell(core.Peer{From: "n3", Incarnation: 1, Body: core.Heartbeat{Sequence: 1, Updates: []core.MemberUpdate{
		{Node: nodeAt("n2", "new"), Incarnation: 2, Status: core.Alive},
	}}})
	address, _ := h.node.PeerAddress("n2")
	is.Equal(address, "new:1")
}

// A list that has not changed does not take back what members told.
func TestUnchangedListTakesNothingBack(t *testing.T) {
	is := is.New(t)
	h := replaced()
	h.tell(core.Peer{From: "n3", Incarnation: 1, Body: core.Heartbeat{Sequence: 1, Updates: []core.MemberUpdate{
		{Node: nodeAt("n2", "new"), Incarnation: 2, Status: core.Alive},
	}}})
	h.tell(core.VMList{Nodes: []core.NodeInfo{nodeAt("n2", "old")}})
	address, _ := h.node.PeerAddress("n2")
	is.Equal(address, "new:1")
}
