package core

import (
	"slices"
	"time"
)

// maxClockDrift is the maximum relative drift between the clocks of two nodes.
const maxClockDrift = 0.01

// orders sends exclusive orders to engines under fencing tokens.
//
// To send an order, a node appends a claim on the engine to the log; the offset of
// the claim is the fencing token. The node acts only after it has read its claim
// back from the log as the valid one. Orders are sent only while a log read is
// being handled, so no order starts while the log is unreachable.
type orders struct {
	reader  logReader
	tracked map[orderKey]*trackedOrder
	// claims holds the current claim on each engine, as folded from the log.
	claims map[EngineID]engineClaim
	// leases holds the state of this node's own claims.
	leases  map[EngineID]*ownLease
	tailing bool
}

// orderKey identifies what an order changes. A later order with the same key
// replaces an earlier one.
type orderKey struct {
	engine EngineID
	kind   OrderKind
}

func (s *orders) start(_ *Node) {
	s.reader.stream = ClaimStream
	s.tracked = map[orderKey]*trackedOrder{}
	s.claims = map[EngineID]engineClaim{}
	s.leases = map[EngineID]*ownLease{}
}

// handleOrderRequested handles a request to send an order.
func (s *orders) handleOrderRequested(n *Node, o Order) { s.track(n, o, false) }

// track records an order, replacing an earlier one with the same key, and starts to
// read the claims. If the earlier order is already in flight, it is not recalled.
func (s *orders) track(n *Node, o Order, published bool) {
	o.Fencing = 0
	pool, _ := n.config.folded.Pool(n.owner.upstreams[o.Engine].Pool)
	t := &trackedOrder{order: o, published: published, revision: pool.Revision}
	s.tracked[o.key()] = t
	s.startTailing(n)
}

func (o Order) key() orderKey { return orderKey{engine: o.Engine, kind: o.Kind} }

// startTailing reads the claims to the end and keeps reading while any order is
// unfinished.
func (s *orders) startTailing(n *Node) {
	if s.tailing {
		return
	}
	s.tailing = true
	s.reader.caughtUp = false
	s.tail(n)
}

func (s *orders) tail(n *Node) {
	if !s.busy() {
		s.tailing = false
		return
	}
	s.reader.poll(n)
	n.afterFunc(n.jitter(n.Settings.LogReadEvery), func(n *Node) { n.orders.tail(n) })
}

// busy reports whether any order is neither settled nor abandoned.
func (s *orders) busy() bool {
	for _, t := range s.tracked {
		if t.step != orderSettled && t.step != orderAbandoned {
			return true
		}
	}
	return false
}

// sortedOrderKeys returns the keys of the tracked orders in a fixed order.
func (s *orders) sortedOrderKeys() []orderKey {
	keys := make([]orderKey, 0, len(s.tracked))
	for key := range s.tracked {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b orderKey) int {
		if a.engine != b.engine {
			if a.engine < b.engine {
				return -1
			}
			return 1
		}
		return int(a.kind) - int(b.kind)
	})
	return keys
}

// handleLogRead folds a batch of claims. Once it has reached the end of the stream,
// it advances every tracked order.
func (s *orders) handleLogRead(n *Node, m LogRead) {
	s.reader.readSucceeded(n, m)
	for _, r := range m.Records {
		if r.Offset <= s.reader.cursor {
			continue
		}
		s.reader.cursor = r.Offset
		if c, ok := r.Record.(EngineClaim); ok {
			s.fold(n, r, c)
		}
	}
	s.reader.cursor = max(s.reader.cursor, m.First-1)
	if s.reader.cursor < m.End {
		if len(m.Records) > 0 {
			s.reader.poll(n)
		}
		return
	}
	s.reader.caughtUp = true
	for _, key := range s.sortedOrderKeys() {
		if t, ok := s.tracked[key]; ok {
			s.advance(n, t)
		}
	}
}

func (s *orders) readFailed(_ *Node, _ LogReadFailed) { s.reader.readFailed() }

// logStep logs a step of an order as a decision.
func (s *orders) logStep(n *Node, id EngineID, step string, reason RejectionReason, took time.Duration) {
	n.do(LogDecision{Decision: Decision{
		At: n.now, Node: n.Self.ID, Step: step, Decode: id, Reason: reason, Actual: took,
	}})
}
