package core

import (
	"cmp"
	"slices"
	"time"
)

// queued is a request in its owner's queue.
type queued struct {
	place   Place
	from    NodeID
	profile Profile
	arrived Instant
	// arrivedAtOwner is when the owner queued the request; arrived is when its
	// entry received it.
	arrivedAtOwner Instant
	// cost is what the request is expected to cost, in prompt tokens, and weight
	// its customer's weight.
	cost   float64
	weight float64
	// startTag is the start tag of fair queueing, and order the order of arrival
	// among equal tags; lower goes first.
	startTag float64
	order    uint64
	// expected is the time until the request should be placed, and predicted the
	// time from its arrival to its first token.
	expected   time.Duration
	predicted  time.Duration
	candidates []Candidate
}

// isMove reports whether the item is a running stream that has to be moved off its
// engine.
func (q *queued) isMove() bool { return q.place.Source != "" }

// fairQueue orders requests by priority, and within a priority by start-time fair
// queueing, so that each customer gets its share of the total cost. A customer's
// own requests go cheapest first, which answers more of them from the same share.
// Customers are charged when a request is dispatched, so a rejected request costs
// its customer nothing.
type fairQueue struct {
	items []*queued
	// finishTags is each customer's finish tag: the virtual time at which its
	// next request may start, unless virtualTime is later.
	finishTags map[CustomerID]float64
	// virtualTime is the highest start tag of a dispatched request.
	virtualTime float64
	// order counts the requests added.
	order uint64
	// startTags is, while the queue is being ordered, the start tag of each
	// customer's next request.
	startTags map[CustomerID]float64
	// byArrival serves in order of arrival, without regard to shares.
	byArrival bool
}

func newFairQueue(byArrival bool) fairQueue {
	return fairQueue{
		finishTags: make(map[CustomerID]float64),
		startTags:  make(map[CustomerID]float64),
		byArrival:  byArrival,
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

// removeRequest removes and returns all queued attempts of the same request.
func (q *fairQueue) removeRequest(a Allocation) []*queued {
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

// ordered returns the items in the order in which they should be dispatched:
// streams being moved first.
func (q *fairQueue) ordered() []*queued {
	clear(q.startTags)
	byCost := slices.Clone(q.items)
	slices.SortStableFunc(byCost, func(a, b *queued) int { return cmp.Compare(a.cost, b.cost) })
	for _, it := range byCost {
		if q.byArrival {
			break
		}
		c := it.place.Customer
		start, seen := q.startTags[c]
		if !seen {
			start = max(q.virtualTime, q.finishTags[c])
		}
		it.startTag = start
		q.startTags[c] = start + it.cost/it.weight
	}
	items := slices.Clone(q.items)
	slices.SortFunc(items, func(a, b *queued) int {
		if a.isMove() != b.isMove() {
			if a.isMove() {
				return -1
			}
			return 1
		}
		return cmp.Or(
			cmp.Compare(b.profile.Priority, a.profile.Priority),
			cmp.Compare(a.startTag, b.startTag),
			cmp.Compare(a.order, b.order),
		)
	})
	return items
}

// charge removes a dispatched item from the queue and charges its cost to the
// customer. Moving a stream is not charged.
func (q *fairQueue) charge(it *queued) {
	q.remove(it)
	if it.isMove() {
		return
	}
	c := it.place.Customer
	start := max(q.virtualTime, q.finishTags[c])
	q.finishTags[c] = start + it.cost/it.weight
	q.virtualTime = max(q.virtualTime, it.startTag)
	if len(q.finishTags) > maxFinishTags {
		q.prune()
	}
}

// maxFinishTags is the number of customers above which a queue is pruned.
const maxFinishTags = 4096

// prune removes customers whose finish tag is not above the virtual time; they
// would start from the virtual time anyway.
func (q *fairQueue) prune() {
	for c, v := range q.finishTags {
		if v <= q.virtualTime {
			delete(q.finishTags, c)
		}
	}
}
