package core_test

import (
	"cmp"
	"maps"
	"testing"
	"time"

	"daisyshed.dev/core"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// hostedNode is a hosted node on virtual time, with the commands that it has returned.
type hostedNode struct {
	node     *core.Node
	now      core.Instant
	commands []core.Command
	// born is the incarnation of each upstream in the entries that the node has read.
	born map[core.EngineID]int64
}

func newHosted(id core.NodeID, settings core.Settings) *hostedNode {
	return &hostedNode{
		node: &core.Node{
			Self:        core.NodeInfo{ID: id, Domain: "d1", PeerAddress: string(id) + ":1", CallerAddress: string(id) + ":2"},
			Incarnation: 1, Seed: 7, Settings: settings, Hosted: true,
		},
		now: core.Instant(time.Hour), born: map[core.EngineID]int64{},
	}
}

// deliver passes messages to the node and returns the commands that follow, including
// those of timers that are due at once.
func (h *hostedNode) deliver(messages ...core.Message) []core.Command {
	var out []core.Command
	for _, m := range messages {
		if read, ok := m.(core.InstancesRead); ok {
			for _, i := range read.Changed {
				h.born[i.ID] = i.Born
			}
			read.Started = cmp.Or(read.Started, h.now)
			m = read
		}
		out = append(out, h.node.Update(h.now, m)...)
	}
	for {
		at, ok := h.node.NextTick()
		if !ok || at > h.now {
			break
		}
		out = append(out, h.node.Update(h.now, core.Tick{})...)
	}
	h.commands = append(h.commands, out...)
	return out
}

// verifyHolds has upstreams answer on the connections that are to be held.
func (h *hostedNode) verifyHolds(out []core.Command) []core.Command {
	var more []core.Command
	for _, c := range commandsOf[core.HoldConnection](out) {
		more = append(more, h.deliver(core.ConnectionHeld{ID: c.ID, Hold: c.Hold, Born: core.Some(h.born[c.Engine])})...)
	}
	return more
}

// advance moves the time forward and returns the commands of the timers that are due.
func (h *hostedNode) advance(d time.Duration) []core.Command {
	until := h.now.Add(d)
	var out []core.Command
	for {
		at, ok := h.node.NextTick()
		if !ok || at > until {
			break
		}
		h.now = max(at, h.now)
		out = append(out, h.deliver(core.Tick{})...)
	}
	h.now = until
	return out
}

// commandsOf returns the commands of one type.
func commandsOf[C core.Command](commands []core.Command) []C {
	var out []C
	for _, c := range commands {
		if c, ok := c.(C); ok {
			out = append(out, c)
		}
	}
	return out
}

// sentTo returns the messages of one type that the commands send to a node.
func sentTo[B core.PeerBody](commands []core.Command, to core.NodeID) []B {
	var out []B
	for _, c := range commandsOf[core.SendPeer](commands) {
		if b, ok := c.Body.(B); ok && c.To == to {
			out = append(out, b)
		}
	}
	return out
}

func plainInstance(id core.EngineID) core.Instance {
	return core.Instance{ID: id, Service: "ledger", Domain: "d1", Address: string(id) + ":80", Slots: 2, Role: core.Plain, Born: 1}
}

// addPeer makes a peer a live member of the node.
func addPeer(h *hostedNode, id core.NodeID) {
	h.deliver(core.VMList{Nodes: []core.NodeInfo{{ID: id, Domain: "d1", PeerAddress: string(id) + ":1", CallerAddress: string(id) + ":2"}}})
	h.deliver(core.PeerMessage{From: id, Incarnation: 1, Body: core.Heartbeat{Sequence: 1}})
}

// A reader does not forward changes that it received from another reader. The offsets
// of its message must then exclude those changes, or a third node that missed the
// other reader's message would never learn of them.
func TestForwardedChangesStartAtTheKnownOffset(t *testing.T) {
	is := is.New(t)
	h := newHosted("n1", core.Settings{})
	h.deliver(core.Tick{})
	addPeer(h, "n2")
	h.deliver(core.InstancesRead{Whole: true, Offset: 10})
	h.advance(time.Second)
	h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: core.InstancesChanged{
		After: 10, Offset: 14, Changed: []core.Instance{plainInstance("e1")},
	}})
	out := h.deliver(core.InstancesRead{
		After: 10, Offset: 20, Changed: []core.Instance{plainInstance("e1"), plainInstance("e2")},
	})
	forwarded := sentTo[core.InstancesChanged](out, "n2")
	is.Equal(len(forwarded), 1)
	is.Equal(forwarded[0].Changed, []core.Instance{plainInstance("e2")})
	is.Equal(forwarded[0].After, core.Offset(14))
}

// A read whose result arrives after another reader's later changes changes nothing.
func TestOutdatedReadIsIgnored(t *testing.T) {
	is := is.New(t)
	h := newHosted("n1", core.Settings{})
	h.deliver(core.Tick{})
	addPeer(h, "n2")
	h.deliver(core.InstancesRead{Whole: true, Offset: 10, Changed: []core.Instance{plainInstance("e1")}})
	draining := plainInstance("e1")
	draining.Draining = true
	h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: core.InstancesChanged{
		After: 10, Offset: 14, Changed: []core.Instance{draining},
	}})
	out := h.deliver(core.InstancesRead{After: 10, Offset: 12, Changed: []core.Instance{plainInstance("e1")}})
	is.Equal(len(sentTo[core.InstancesChanged](out, "n2")), 0)
	h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: core.StateQuery{}})
}

// Entries that expire while the store is unreachable are kept until live upstreams
// have had time to renew them, and removed after that.
func TestEntriesThatExpireInAnOutageAreKeptForAWhile(t *testing.T) {
	is := is.New(t)
	h := newHosted("n1", core.Settings{})
	h.deliver(core.Tick{})
	h.deliver(core.InstancesRead{Whole: true, Offset: 10, Changed: []core.Instance{plainInstance("e1"), plainInstance("e2")}})
	is.Equal(h.node.InstanceAddress("e1"), "e1:80")
	h.deliver(core.InstancesReadFailed{})
	h.advance(3 * time.Second)
	h.deliver(core.InstancesRead{After: 10, Offset: 12, Removed: []core.EngineID{"e1", "e2"}})
	is.Equal(h.node.InstanceAddress("e1"), "e1:80")
	h.deliver(core.InstancesRead{After: 12, Offset: 13, Changed: []core.Instance{plainInstance("e1")}})
	h.advance(4 * time.Second)
	is.Equal(h.node.InstanceAddress("e1"), "e1:80")
	is.Equal(h.node.InstanceAddress("e2"), "")
}

// A node whose own read failed while it was cut off, and that the readers update since, does not
// read any more. It kept upstreams that left just after the cut until it happened to read again.
func TestNodeThatWasCutOffDropsUpstreamsThatLeft(t *testing.T) {
	is := is.New(t)
	h := newHosted("n1", core.Settings{})
	h.deliver(core.Tick{})
	addPeer(h, "n2")
	h.deliver(core.InstancesRead{Whole: true, Offset: 10, Changed: []core.Instance{plainInstance("e1"), plainInstance("e2")}})
	h.advance(2 * time.Second)
	h.deliver(core.InstancesReadFailed{})
	removed := map[core.Offset][]core.EngineID{13: {"e1"}}
	for offset := core.Offset(10); offset < 20; offset++ {
		h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: core.InstancesChanged{
			After: offset, Offset: offset + 1, Removed: removed[offset+1],
		}})
		h.advance(300 * time.Millisecond)
	}
	is.Equal(h.node.InstanceAddress("e1"), "")
	is.Equal(h.node.InstanceAddress("e2"), "e2:80")
}

// Without an outage, a removed entry is dropped at once.
func TestRemovedEntryIsGoneAtOnce(t *testing.T) {
	is := is.New(t)
	h := newHosted("n1", core.Settings{})
	h.deliver(core.Tick{})
	h.deliver(core.InstancesRead{Whole: true, Offset: 10, Changed: []core.Instance{plainInstance("e1")}})
	h.deliver(core.InstancesRead{After: 10, Offset: 12, Removed: []core.EngineID{"e1"}})
	is.Equal(h.node.InstanceAddress("e1"), "")
}

// An entry that was removed in an outage and renewed after it is forwarded again:
// nodes that the outage did not affect have dropped it.
func TestRenewedEntryIsForwarded(t *testing.T) {
	is := is.New(t)
	h := newHosted("n1", core.Settings{})
	h.deliver(core.Tick{})
	addPeer(h, "n2")
	h.deliver(core.InstancesRead{Whole: true, Offset: 10, Changed: []core.Instance{plainInstance("e1")}})
	h.deliver(core.InstancesReadFailed{})
	h.advance(time.Second)
	addPeer(h, "n2")
	out := h.deliver(core.InstancesRead{After: 10, Offset: 12, Removed: []core.EngineID{"e1"}})
	is.Equal(sentTo[core.InstancesChanged](out, "n2")[0].Removed, []core.EngineID{"e1"})
	out = h.deliver(core.InstancesRead{After: 12, Offset: 13, Changed: []core.Instance{plainInstance("e1")}})
	is.Equal(sentTo[core.InstancesChanged](out, "n2")[0].Changed, []core.Instance{plainInstance("e1")})
}

// A node that missed a message asks the sender of the next one for the missed changes
// and does not read the store.
func TestMissedChangesAreRequestedFromThePeer(t *testing.T) {
	is := is.New(t)
	h := newHosted("n1", core.Settings{})
	h.deliver(core.Tick{})
	h.deliver(core.InstancesRead{Whole: true, Offset: 10, Changed: []core.Instance{plainInstance("e1")}})
	out := h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: core.InstancesChanged{
		After: 14, Offset: 16, Changed: []core.Instance{plainInstance("e3")},
	}})
	is.Equal(sentTo[core.InstancesQuery](out, "n2"), []core.InstancesQuery{{After: 10}})
	is.Equal(len(commandsOf[core.ReadInstances](out)), 0)
	h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: core.InstancesChanged{
		After: 10, Offset: 16, Changed: []core.Instance{plainInstance("e2"), plainInstance("e3")}, Removed: []core.EngineID{"e1"},
	}})
	is.Equal(h.node.InstanceAddress("e1"), "")
	is.Equal(h.node.InstanceAddress("e2"), "e2:80")
	is.Equal(h.node.InstanceAddress("e3"), "e3:80")
}

// The answer to a query leads from any offset since the node's first read to its
// present list, whatever was changed, removed and added again in between. A query for
// an earlier offset gets no answer.
func TestMissedChangesLeadToTheSameList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		id := rapid.SampledFrom([]core.EngineID{"a", "b", "c", "d"})
		h := newHosted("n1", core.Settings{})
		h.deliver(core.Tick{})
		list := map[core.EngineID]core.Instance{}
		offset := core.Offset(10)
		h.deliver(core.InstancesRead{Whole: true, Offset: offset})
		lists := []map[core.EngineID]core.Instance{maps.Clone(list)}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			m := core.InstancesRead{After: offset, Offset: offset + 1}
			i := plainInstance(id.Draw(t, "id"))
			if rapid.Bool().Draw(t, "goes") {
				m.Removed = []core.EngineID{i.ID}
				delete(list, i.ID)
			} else {
				i.Born = rapid.Int64Range(1, 2).Draw(t, "born")
				m.Changed = []core.Instance{i}
				list[i.ID] = i
			}
			offset++
			h.deliver(m)
			lists = append(lists, maps.Clone(list))
		}
		for back, before := range lists {
			out := h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: core.InstancesQuery{After: 10 + core.Offset(back)}})
			answers := sentTo[core.InstancesChanged](out, "n2")
			is.Equal(len(answers), 1)
			for _, i := range answers[0].Changed {
				before[i.ID] = i
			}
			for _, gone := range answers[0].Removed {
				delete(before, gone)
			}
			is.Equal(before, list)
		}
		out := h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: core.InstancesQuery{After: 9}})
		is.Equal(len(sentTo[core.InstancesChanged](out, "n2")), 0)
	})
}

// All nodes that read the store stop at once. Only a few backup readers may read in
// their place. If every node did, the store would be read as often as
// there are nodes, and all would fall further behind.
func TestFewNodesReadWhenReadersStop(t *testing.T) {
	is := is.New(t)
	const nodes = 40
	w := newHostedWorld(worldOptions{nodes: nodes, plain: 3, slots: 6, seed: 1})
	w.run(5 * time.Second)
	before := w.reads
	w.run(2 * time.Second)
	calm := w.reads - before
	for _, n := range w.nodes {
		n.frozen = n.reads > 3
	}
	is.True(calm < nodes/2)
	before = w.reads
	w.run(2 * time.Second)
	t.Logf("%d reads in 2 s, %d after the readers had stopped", calm, w.reads-before)
	is.True(w.reads-before < nodes/2)
}

// A node that lacks the newest desired state asks a peer for that alone: the list of
// upstreams is many times as long, and all nodes lack a new state for a moment. A node
// without a list asks for that too, but not with each heartbeat.
func TestPeersAreAskedForWhatIsLacking(t *testing.T) {
	is := is.New(t)
	h := newHosted("n1", core.Settings{})
	h.deliver(core.Tick{})
	addPeer(h, "n2")
	// beat returns the queries that follow a heartbeat within a time.
	beat := func(offset core.Offset, within time.Duration) []core.StateQuery {
		out := h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: core.Heartbeat{ConfigOffset: offset, Sequence: 2}})
		return sentTo[core.StateQuery](append(out, h.advance(within)...), "n2")
	}
	is.Equal(beat(1, 300*time.Millisecond), []core.StateQuery{{Upstreams: true}})
	// The first query is not answered within a quarter of StateDelay.
	is.Equal(beat(1, 700*time.Millisecond), []core.StateQuery{{}})
	h.deliver(worldState(), core.InstancesRead{Whole: true, Offset: 1, Changed: []core.Instance{plainInstance("e1")}})
	h.advance(3 * time.Second)
	is.Equal(len(beat(1, time.Second)), 0)
	is.Equal(beat(2, 100*time.Millisecond), []core.StateQuery{{}})
	latest := worldState()
	latest.Version = 2
	h.deliver(latest)
	answers := sentTo[core.StateAnswer](h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: core.StateQuery{}}), "n2")
	is.Equal(len(answers[0].Instances.Instances), 0)
	answers = sentTo[core.StateAnswer](h.deliver(core.PeerMessage{From: "n2", Incarnation: 1, Body: core.StateQuery{Upstreams: true}}), "n2")
	is.Equal(len(answers[0].Instances.Instances), 1)
}
