package core_test

import (
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// hostedNode is a hosted node on virtual time with what it was told to do.
type hostedNode struct {
	node     *core.Node
	now      core.Instant
	commands []core.Command
}

func newHosted(id core.NodeID, settings core.Settings) *hostedNode {
	return &hostedNode{
		node: &core.Node{
			Self:        core.NodeInfo{ID: id, Domain: "d1", PeerAddress: string(id) + ":1", CallerAddress: string(id) + ":2"},
			Incarnation: 1, Seed: 7, Settings: settings, Hosted: true,
		},
		now: core.Instant(time.Hour),
	}
}

// tell passes messages to the node and returns the commands that follow, with
// those of timers that are due at once.
func (h *hostedNode) tell(messages ...core.Message) []core.Command {
	var out []core.Command
	for _, m := range messages {
		out = append(out, h.node.Update(h.now, m)...)
	}
	for {
		at, ok := h.node.Wake()
		if !ok || at > h.now {
			break
		}
		out = append(out, h.node.Update(h.now, core.Tick{})...)
	}
	h.commands = append(h.commands, out...)
	return out
}

// pass lets time pass and returns the commands of the timers that are due.
func (h *hostedNode) pass(d time.Duration) []core.Command {
	until := h.now.Add(d)
	var out []core.Command
	for {
		at, ok := h.node.Wake()
		if !ok || at > until {
			break
		}
		h.now = max(at, h.now)
		out = append(out, h.tell(core.Tick{})...)
	}
	h.now = until
	return out
}

// of returns the commands of one type.
func of[C core.Command](commands []core.Command) []C {
	var out []C
	for _, c := range commands {
		if c, ok := c.(C); ok {
			out = append(out, c)
		}
	}
	return out
}

func sentTo[B core.PeerBody](commands []core.Command, to core.NodeID) []B {
	var out []B
	for _, c := range of[core.SendPeer](commands) {
		if b, ok := c.Body.(B); ok && c.To == to {
			out = append(out, b)
		}
	}
	return out
}

func plainInstance(id core.EngineID) core.Instance {
	return core.Instance{ID: id, Service: "ledger", Domain: "d1", Address: string(id) + ":80", Slots: 2, Role: core.Plain, Born: 1}
}

// meet makes a peer known as alive.
func meet(h *hostedNode, id core.NodeID) {
	h.tell(core.VMList{Nodes: []core.NodeInfo{{ID: id, Domain: "d1", PeerAddress: string(id) + ":1", CallerAddress: string(id) + ":2"}}})
	h.tell(core.Peer{From: id, Incarnation: 1, Body: core.Heartbeat{Sequence: 1}})
}

// A reader that heard of some changes from another reader leaves them out of
// what it passes on. Its message must then not claim to cover them: a third
// node that missed the other reader's message would never learn of them.
func TestPassedOnChangesStartWhereKnownOnesEnd(t *testing.T) {
	is := is.New(t)
	h := newHosted("n1", core.Settings{})
	h.tell(core.Tick{})
	meet(h, "n2")
	h.tell(core.InstancesRead{Whole: true, Offset: 10})
	h.pass(time.Second)
	h.tell(core.Peer{From: "n2", Incarnation: 1, Body: core.InstancesChanged{
		After: 10, Offset: 14, Changed: []core.Instance{plainInstance("e1")},
	}})
	out := h.tell(core.InstancesRead{
		After: 10, Offset: 20, Changed: []core.Instance{plainInstance("e1"), plainInstance("e2")},
	})
	passed := sentTo[core.InstancesChanged](out, "n2")
	is.Equal(len(passed), 1)
	is.Equal(passed[0].Changed, []core.Instance{plainInstance("e2")})
	is.Equal(passed[0].After, core.Offset(14))
}

// A read that another reader's message has overtaken changes nothing.
func TestOvertakenReadIsLeft(t *testing.T) {
	is := is.New(t)
	h := newHosted("n1", core.Settings{})
	h.tell(core.Tick{})
	meet(h, "n2")
	h.tell(core.InstancesRead{Whole: true, Offset: 10, Changed: []core.Instance{plainInstance("e1")}})
	draining := plainInstance("e1")
	draining.Draining = true
	h.tell(core.Peer{From: "n2", Incarnation: 1, Body: core.InstancesChanged{
		After: 10, Offset: 14, Changed: []core.Instance{draining},
	}})
	out := h.tell(core.InstancesRead{After: 10, Offset: 12, Changed: []core.Instance{plainInstance("e1")}})
	is.Equal(len(sentTo[core.InstancesChanged](out, "n2")), 0)
	h.tell(core.Peer{From: "n2", Incarnation: 1, Body: core.StateQuery{}})
}

// Entries that lapse while the store is away are kept until live upstreams have
// renewed theirs, and dropped after that.
func TestEntriesThatLapseInAnOutageAreKeptForAWhile(t *testing.T) {
	is := is.New(t)
	h := newHosted("n1", core.Settings{})
	h.tell(core.Tick{})
	h.tell(core.InstancesRead{Whole: true, Offset: 10, Changed: []core.Instance{plainInstance("e1"), plainInstance("e2")}})
	is.Equal(h.node.InstanceAddress("e1"), "e1:80")
	h.tell(core.InstancesUnread{})
	h.pass(3 * time.Second)
	h.tell(core.InstancesRead{After: 10, Offset: 12, Removed: []core.EngineID{"e1", "e2"}})
	is.Equal(h.node.InstanceAddress("e1"), "e1:80")
	h.tell(core.InstancesRead{After: 12, Offset: 13, Changed: []core.Instance{plainInstance("e1")}})
	h.pass(4 * time.Second)
	is.Equal(h.node.InstanceAddress("e1"), "e1:80")
	is.Equal(h.node.InstanceAddress("e2"), "")
}

// In calm times a removed entry is gone at once.
func TestRemovedEntryIsGoneAtOnce(t *testing.T) {
	is := is.New(t)
	h := newHosted("n1", core.Settings{})
	h.tell(core.Tick{})
	h.tell(core.InstancesRead{Whole: true, Offset: 10, Changed: []core.Instance{plainInstance("e1")}})
	h.tell(core.InstancesRead{After: 10, Offset: 12, Removed: []core.EngineID{"e1"}})
	is.Equal(h.node.InstanceAddress("e1"), "")
}
