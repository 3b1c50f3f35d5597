package core

import (
	"cmp"
	"slices"
	"time"
)

// queued is a request that waits at its owner for a placement.
type queued struct {
	place   Place
	from    NodeID
	profile Profile
	arrived Instant
	// arrivedAtOwner is when the owner took the item in.
	arrivedAtOwner Instant
	cost           float64
	weight         float64
	// tag orders the queue; lower goes first.
	tag        float64
	order      uint64
	expected   time.Duration
	predicted  time.Duration
	candidates []Candidate
}

// moves reports whether the item is a running stream that has to leave its
// engine.
func (q *queued) moves() bool { return q.place.Source != "" }

// fairQueue orders requests by priority, and within a priority such that each
// customer gets its share of the cost that is served, by start-time fair
// queueing. A customer's own requests go cheapest first, which answers more of
// them from the same share. Customers are charged when a request is dispatched,
// so a refused request costs its customer nothing.
type fairQueue struct {
	items  []*queued
	served map[CustomerID]float64
	// clock is the tag of the latest dispatch.
	clock float64
	order uint64
	tags  map[CustomerID]float64
	// byArrival ignores shares.
	byArrival bool
}

func newFairQueue(byArrival bool) fairQueue {
	return fairQueue{
		served:    make(map[CustomerID]float64),
		tags:      make(map[CustomerID]float64),
		byArrival: byArrival,
	}
}

func (q *fairQueue) len() int { return len(q.items) }

func (q *fairQueue) add(it *queued) {
	q.order++
	it.order = q.order
	q.items = append(q.items, it)
}

func (q *fairQueue) remove(it *queued) {
	if i := slices.Index(q.items, it); i >= 0 {
		q.items = slices.Delete(q.items, i, i+1)
	}
}

func (q *fairQueue) find(a Allocation) (*queued, bool) {
	for _, it := range q.items {
		if it.place.Allocation == a {
			return it, true
		}
	}
	return nil, false
}

// takeOlder removes and returns earlier attempts of the same request.
func (q *fairQueue) takeOlder(a Allocation) []*queued {
	var older []*queued
	for _, it := range q.items {
		if it.place.Allocation.Request == a.Request {
			older = append(older, it)
		}
	}
	for _, it := range older {
		q.remove(it)
	}
	return older
}

// ordered returns the items in the order in which they should be served.
func (q *fairQueue) ordered() []*queued {
	clear(q.tags)
	byCost := slices.Clone(q.items)
	slices.SortStableFunc(byCost, func(a, b *queued) int { return cmp.Compare(a.cost, b.cost) })
	for _, it := range byCost {
		if q.byArrival {
			break
		}
		c := it.place.Customer
		start, seen := q.tags[c]
		if !seen {
			start = max(q.clock, q.served[c])
		}
		it.tag = start
		q.tags[c] = start + it.cost/it.weight
	}
	items := slices.Clone(q.items)
	slices.SortFunc(items, func(a, b *queued) int {
		if a.moves() != b.moves() {
			if a.moves() {
				return -1
			}
			return 1
		}
		return cmp.Or(
			cmp.Compare(b.profile.Priority, a.profile.Priority),
			cmp.Compare(a.tag, b.tag),
			cmp.Compare(a.order, b.order),
		)
	})
	return items
}

// charge notes that an item was dispatched.
func (q *fairQueue) charge(it *queued) {
	q.remove(it)
	if it.moves() {
		return
	}
	c := it.place.Customer
	start := max(q.clock, q.served[c])
	q.served[c] = start + it.cost/it.weight
	q.clock = max(q.clock, it.tag)
	if len(q.served) > maxServedEntries {
		q.prune()
	}
}

// maxServedEntries bounds the customers that a queue remembers.
const maxServedEntries = 4096

// prune forgets customers that have nothing to catch up on.
func (q *fairQueue) prune() {
	for c, v := range q.served {
		if v <= q.clock {
			delete(q.served, c)
		}
	}
}
