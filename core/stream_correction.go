package core

import (
	"cmp"
	"slices"
	"time"
)

const (
	// correctionEvery is after which time a correction is sent again to the nodes that have not
	// confirmed it; each further time is twice as long, up to maxCorrectionEvery.
	correctionEvery    = 500 * time.Millisecond
	maxCorrectionEvery = 8 * time.Second
	// maxCorrections bounds the corrections that a node repeats.
	maxCorrections = 4096
)

// streamCorrection is the correction of a stream's origin, until all nodes that may have recorded
// the wrong one have confirmed it.
type streamCorrection struct {
	stream StreamKey
	// origin is the corrected one; its service is empty if it is not known.
	origin      ServiceVersion
	unconfirmed Set[NodeID]
	since       Instant
	// dueAt is when it is sent next, and every the time after that.
	dueAt Instant
	every time.Duration
}

// streamCorrections are the corrections that this node repeats.
type streamCorrections struct {
	byStream  map[StreamKey]*streamCorrection
	scheduled bool
}

func (c *streamCorrections) start() { c.byStream = map[StreamKey]*streamCorrection{} }

// add sends a correction to nodes, and repeats it until they confirm it or the record of the
// stream expires.
func (c *streamCorrections) add(n *Node, stream StreamKey, origin ServiceVersion, nodes Set[NodeID]) {
	if former, ok := c.byStream[stream]; ok {
		for id := range former.unconfirmed {
			nodes.Add(id)
		}
	}
	nodes.Remove(n.Self.ID)
	if len(c.byStream) >= maxCorrections {
		c.dropOldest(n)
	}
	c.byStream[stream] = &streamCorrection{stream: stream, origin: origin, unconfirmed: nodes, since: n.now, dueAt: n.now, every: correctionEvery}
	c.send(n)
}

func (c *streamCorrections) dropOldest(n *Node) {
	oldest := slices.MinFunc(sortedKeys(c.byStream), func(a, b StreamKey) int { return cmp.Compare(c.byStream[a].since, c.byStream[b].since) })
	delete(c.byStream, oldest)
	n.do(LogDecision{Decision: Decision{At: n.now, Node: n.Self.ID, Step: "correction-not-confirmed", Tokens: 1}})
}

// send sends the corrections that are due, and asks the nodes which origins they keep then: the
// answer confirms the correction. Expired ones are dropped.
func (c *streamCorrections) send(n *Node) {
	for _, stream := range sortedKeys(c.byStream) {
		k := c.byStream[stream]
		switch {
		case n.now.Sub(k.since) > n.forward.versions.retention():
			delete(c.byStream, stream)
			continue
		case k.dueAt > n.now:
			continue
		}
		for _, id := range sortedKeys(k.unconfirmed) {
			if _, ok := n.members.byID[id]; ok {
				n.send(id, StreamsBegun{Service: k.origin.Service, Version: k.origin.Version, Streams: []StreamKey{stream}, Corrects: true})
				n.send(id, VersionQuery{Service: k.origin.Service, Stream: stream})
			}
		}
		k.dueAt, k.every = n.now.Add(k.every), min(2*k.every, maxCorrectionEvery)
	}
	if len(c.byStream) > 0 && !c.scheduled {
		c.scheduled = true
		n.afterFunc(correctionEvery, func(n *Node) {
			c.scheduled = false
			c.send(n)
		})
	}
}

// handleAnswer handles what a node keeps of a stream. A node confirms that an origin is not known
// by naming none.
func (c *streamCorrections) handleAnswer(from NodeID, m VersionAnswer) {
	k, ok := c.byStream[m.Stream]
	if !ok || m.Known != (k.origin.Service != "") || m.Known && k.origin != (ServiceVersion{m.Service, m.Version}) {
		return
	}
	k.unconfirmed.Remove(from)
	if len(k.unconfirmed) == 0 {
		delete(c.byStream, m.Stream)
	}
}
