package core

import (
	"slices"
	"time"
)

// clockMargin is the share by which the clocks of two machines may run apart.
const clockMargin = 0.01

// orders gives exclusive orders to engines under fencing numbers.
//
// A node that wants an order appends a claim to the log, and the offset of the
// claim is the fencing number. It acts once it has read its claim back as the
// one that holds. Every order leaves from the handling of a read of the log, so
// nothing starts while the log cannot be reached.
type orders struct {
	reader logReader
	wants  map[orderKey]*want
	// claims are the engines' holders as folded from the log.
	claims map[EngineID]engineClaim
	// leases are this node's own claims.
	leases  map[EngineID]*ownLease
	tailing bool
}

// orderKey names what a want changes: a later want of the same kind for the
// same engine replaces an earlier one.
type orderKey struct {
	engine EngineID
	kind   OrderKind
}

func (s *orders) start(_ *Node) {
	s.reader.stream = ClaimStream
	s.wants = map[orderKey]*want{}
	s.claims = map[EngineID]engineClaim{}
	s.leases = map[EngineID]*ownLease{}
}

// wanted takes in an order to be given.
func (s *orders) wanted(n *Node, o Order) { s.want(n, o, false) }

// want notes an order, replaces an earlier one of its kind, and starts to read
// the claims. An order of the earlier one that is in flight is not recalled.
func (s *orders) want(n *Node, o Order, published bool) {
	o.Fencing = 0
	pool, _ := n.config.folded.Pool(n.owner.upstreams[o.Engine].Pool)
	w := &want{order: o, published: published, revision: pool.Revision}
	s.wants[o.key()] = w
	s.begin(n)
}

func (o Order) key() orderKey { return orderKey{engine: o.Engine, kind: o.Kind} }

// begin reads the claims to the end and goes on reading while any want is
// open.
func (s *orders) begin(n *Node) {
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

// busy reports whether any order is wanted and not settled.
func (s *orders) busy() bool {
	for _, w := range s.wants {
		if w.step != wantSettled && w.step != wantGivenUp {
			return true
		}
	}
	return false
}

// sortedWants returns the keys of the wants in a fixed order.
func (s *orders) sortedWants() []orderKey {
	keys := make([]orderKey, 0, len(s.wants))
	for key := range s.wants {
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

// read folds a stretch of the claims and, at their end, takes the next step of
// each want.
func (s *orders) read(n *Node, m LogRead) {
	s.reader.answered(n, m)
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
	for _, key := range s.sortedWants() {
		if w, ok := s.wants[key]; ok {
			s.step(n, w)
		}
	}
}

func (s *orders) readFailed(_ *Node, _ LogReadFailed) { s.reader.failed() }

// decide logs a step of an order.
func (s *orders) decide(n *Node, id EngineID, step string, reason RefusalReason, took time.Duration) {
	n.do(LogDecision{Decision: Decision{
		At: n.now, Node: n.Self.ID, Step: step, Decode: id, Reason: reason, Actual: took,
	}})
}
