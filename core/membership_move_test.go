package core_test

import (
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

func nodeInfoAt(id core.NodeID, address string) core.NodeInfo {
	return core.NodeInfo{ID: id, Domain: "d1", PeerAddress: address + ":1", CallerAddress: address + ":2"}
}

// nodeWithRestartedPeer returns a node that knew n2 at one address and has since
// received a message from the next incarnation of n2.
func nodeWithRestartedPeer() *hostedNode {
	h := newHosted("n1", core.Settings{})
	h.deliver(core.Tick{}, core.VMList{Nodes: []core.NodeInfo{nodeInfoAt("n2", "old")}})
	h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: core.Heartbeat{Sequence: 1}})
	h.advance(100 * time.Millisecond)
	h.deliver(core.PeerMessage{From: "n2", Incarnation: 2, Body: core.Heartbeat{Sequence: 1}})
	return h
}

// A VM is replaced by one of the same name at another address, and messages of the
// new one arrive before the VM list shows the address. The list's address must still
// be used.
func TestReplacedNodeIsReachedAtItsNewAddress(t *testing.T) {
	is := is.New(t)
	h := nodeWithRestartedPeer()
	h.deliver(core.VMList{Nodes: []core.NodeInfo{nodeInfoAt("n2", "new")}})
	address, ok := h.node.PeerAddress("n2")
	is.True(ok)
	is.Equal(address, "new:1")
}

// As above, but a member's update carries the new address before the list does.
func TestReportedAddressOfARestartedNodeIsUsed(t *testing.T) {
	is := is.New(t)
	h := nodeWithRestartedPeer()
	h.deliver(core.PeerMessage{From: "n3", Incarnation: 1, Body: core.Heartbeat{Sequence: 1, Updates: []core.MemberUpdate{
		{Node: nodeInfoAt("n2", "new"), Incarnation: 2, Status: core.Alive},
	}}})
	address, _ := h.node.PeerAddress("n2")
	is.Equal(address, "new:1")
}

// A VM list that still shows the old address must not overwrite the new one that an
// update has brought.
func TestUnchangedVMListKeepsTheReportedAddress(t *testing.T) {
	is := is.New(t)
	h := nodeWithRestartedPeer()
	h.deliver(core.PeerMessage{From: "n3", Incarnation: 1, Body: core.Heartbeat{Sequence: 1, Updates: []core.MemberUpdate{
		{Node: nodeInfoAt("n2", "new"), Incarnation: 2, Status: core.Alive},
	}}})
	h.deliver(core.VMList{Nodes: []core.NodeInfo{nodeInfoAt("n2", "old")}})
	address, _ := h.node.PeerAddress("n2")
	is.Equal(address, "new:1")
}
