package core

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxRelays is how many relays a node names to its runtime.
	maxRelays = 4
	// relayLeftOutFor is how long a relay that failed or rejected a connection comes after the
	// others.
	relayLeftOutFor = time.Second
	// relayFailures is how many upstreams a relay may not reach, without one that it reaches,
	// before it counts as failed.
	relayFailures = 2
	// relayProbeEvery is the least time between two probes through relays.
	relayProbeEvery = 200 * time.Millisecond
)

// relayChoice chooses the nodes through which this one connects to upstreams if it cannot do
// so directly.
type relayChoice struct {
	// leftOut is until when a relay is left out, and unreached are the upstreams that it could
	// not reach since it last reached one.
	leftOut   map[NodeID]Instant
	unreached map[NodeID]Set[EngineID]
	sent      UseRelays
	probedAt  Instant
}

func (c *relayChoice) start() {
	c.leftOut, c.unreached = map[NodeID]Instant{}, map[NodeID]Set[EngineID]{}
}

// relayCandidate is a node that may relay.
type relayCandidate struct {
	Relay
	score uint64
}

// candidates returns up to maxRelays nodes that may relay, in order of preference. Nodes in
// this node's own failure domain, to which traffic is cheap, and others take turns, because a
// whole domain may be partitioned. Otherwise the order is this node's own, so that no node
// relays for most others.
func (c *relayChoice) candidates(n *Node, may func(NodeID) bool) []Relay {
	own := hash64(string(n.Self.ID))
	var near, remote []relayCandidate
	for id, m := range n.members.byID {
		if !m.available() || m.node.Isolated || m.node.PeerAddress == "" || !may(id) {
			continue
		}
		list := &remote
		if m.node.Domain == n.Self.Domain {
			list = &near
		}
		r := relayCandidate{Relay{id, m.node.PeerAddress}, scoreOf(id, own)}
		i, _ := slices.BinarySearchFunc(*list, r, relayCandidate.compare)
		*list = slices.Insert(*list, i, r)
		*list = (*list)[:min(len(*list), maxRelays)]
	}
	var relays []Relay
	for i := range maxRelays {
		for _, list := range [][]relayCandidate{near, remote} {
			if i < len(list) && len(relays) < maxRelays {
				relays = append(relays, list[i].Relay)
			}
		}
	}
	return relays
}

// compare orders candidates by preference.
func (r relayCandidate) compare(o relayCandidate) int {
	return cmp.Or(cmp.Compare(o.score, r.score), cmp.Compare(r.Node, o.Node))
}

// usable returns the candidates that are not left out.
func (c *relayChoice) usable(n *Node) []Relay {
	return c.candidates(n, func(id NodeID) bool { return c.leftOut[id] <= n.now })
}

// confirmsFailures reports whether a relay has lately failed to reach upstreams as well.
func (c *relayChoice) confirmsFailures(n *Node) bool {
	return len(c.candidates(n, func(id NodeID) bool { return len(c.unreached[id]) > 0 })) > 0
}

// update sends the runtime the relays to use, if they have changed. An isolated node uses
// them first.
func (c *relayChoice) update(n *Node) {
	if !n.Hosted {
		return
	}
	use := UseRelays{Relays: c.usable(n), First: n.isolation.isolated}
	if use.First == c.sent.First && slices.Equal(use.Relays, c.sent.Relays) {
		return
	}
	c.sent = use
	n.do(use)
}

// observe handles the outcome of a connection through a relay.
func (c *relayChoice) observe(n *Node, m ConnectionObserved) {
	switch m.Outcome {
	case Connected, Answered:
		delete(c.unreached, m.Relay)
		if _, left := c.leftOut[m.Relay]; left {
			delete(c.leftOut, m.Relay)
			c.update(n)
		}
	case RelayFailed, Unanswered, ConnectBroken:
		unreached, ok := c.unreached[m.Relay]
		if !ok {
			unreached = Set[EngineID]{}
			c.unreached[m.Relay] = unreached
		}
		if unreached.Add(m.Engine); len(unreached) >= relayFailures {
			c.leaveOut(n, m.Relay)
		}
	case RelayDeclined:
	default:
		c.leaveOut(n, m.Relay)
	}
}

// leaveOut leaves out a relay for a moment.
func (c *relayChoice) leaveOut(n *Node, id NodeID) {
	c.leftOut[id] = n.now.Add(relayLeftOutFor)
	c.update(n)
	n.afterFunc(relayLeftOutFor, func(n *Node) {
		if c.leftOut[id] <= n.now {
			delete(c.leftOut, id)
			delete(c.unreached, id)
			c.update(n)
		}
	})
}

// probe opens connections through relays to upstreams that this node cannot reach, or to any
// while it is isolated and has no relay.
func (c *relayChoice) probe(n *Node) {
	if n.now.Sub(c.probedAt) < relayProbeEvery {
		return
	}
	targets := sortedKeys(n.isolation.unreached)
	if n.isolation.isolated {
		if len(c.sent.Relays) > 0 {
			return
		}
		targets = sortedKeys(n.forward.upstreams.byID)
	}
	relays := c.candidates(n, func(NodeID) bool { return true })
	c.probedAt = n.now
	for i := range min(len(relays), len(targets), relayFailures) {
		if u, ok := n.forward.upstreams.byID[targets[i]]; ok {
			n.do(ProbeUpstream{Engine: u.ID, Address: u.Address, Relay: relays[i]})
		}
	}
}

// pathless reports whether this node has neither a direct path to upstreams nor a relay.
func (n *Node) pathless() bool { return n.isolation.isolated && len(n.relayChoice.sent.Relays) == 0 }
