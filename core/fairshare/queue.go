package fairshare

import (
	"cmp"
	"slices"
	"time"
)

// overusePenalty is the queueing penalty of a request, as a share of its objective, for each
// time its tenant's fair share that the tenant was served beyond it. Strict order by the
// counters serves all long answers of tenants within their share before any short one of
// others, which serves fewer callers of both; see docs/design/FAIR-SHARES.md.
const overusePenalty = 0.5

// Request is a queued request.
type Request struct {
	Tenant Tenant
	// Rank is how urgent the request is; lower ranks are more urgent.
	Rank int
	// Late says that the request can no longer be on time, and Prior that an upstream has had
	// it before, so that its caller may have part of the answer.
	Late, Prior bool
	// At orders the requests of one rank, earlier ones first.
	At time.Duration
	// Cost is what the request counts towards its tenant's share.
	Cost float64
	// Objective is the time in which an answer is on time, and Left the time in which the
	// request has to be placed.
	Objective, Left time.Duration
}

// Queue orders the requests that wait for a group of upstreams.
type Queue struct {
	// Counters are the counters of tenants. Several queues may share them.
	Counters *Counters
	Demand   Demand
	Forecast Forecast
	// ByTenant divides the room between tenants. ByRank keeps the least share of each rank,
	// and places late requests behind less urgent ones that can be on time.
	ByTenant, ByRank bool

	places []place
	orders uint64
}

// place is the place of a request in the order.
type place struct {
	// key is lower for requests that go earlier.
	key   int64
	index int
}

// A key holds, from the highest bits on, the level of the request, whether its tenant is served
// often enough, and its instant relative to the present in nanoseconds, which keyTimeBits hold.
// One number is compared several times as fast as its parts, and the queue is sorted for many
// messages at a load peak.
const (
	keyTimeBits   = 48
	keyTimeMax    = int64(1)<<(keyTimeBits-1) - 1
	keyNotStarved = int64(1) << keyTimeBits
	keyLevel      = keyNotStarved << 1
)

func keyOf(now time.Duration, level int, starved bool, at time.Duration) int64 {
	key := int64(level)*keyLevel + min(max(int64(at-now), -keyTimeMax), keyTimeMax) + keyTimeMax
	if !starved {
		key += keyNotStarved
	}
	return key
}

// Ordered is a request's place in an order.
type Ordered struct {
	Index int
	// Owed says that the request is owed to its rank, which is served too seldom.
	Owed bool
}

const owedLevel = -1

// Order returns the requests in the order in which they are to be placed, appended to order.
func (q *Queue) Order(now time.Duration, requests []Request, order []Ordered) []Ordered {
	q.places = q.places[:0]
	for i := range requests {
		// A rank that is seen for the first time shifts the positions of others.
		q.Demand.position(requests[i].Rank)
	}
	for i := range requests {
		q.places = append(q.places, place{key: keyOf(now, q.level(&requests[i]), false, requests[i].At), index: i})
	}
	slices.SortFunc(q.places, compare)
	owed := q.owe(now, requests)
	if q.ByTenant || owed {
		q.penalise(now, requests)
		slices.SortFunc(q.places, compare)
	}
	for _, p := range q.places {
		order = append(order, Ordered{Index: p.index, Owed: p.key < 0})
	}
	return order
}

// level returns the level of a request: more urgent ones first. A late one goes behind those
// of the next rank that can be on time: it is worth little, and serving it first makes another
// one late.
func (q *Queue) level(r *Request) int {
	level := 2 * q.Demand.position(r.Rank)
	switch {
	case !r.Late || r.Prior && q.ByRank:
	case q.ByRank:
		level += 3
	default:
		level++
	}
	return level
}

func compare(a, b place) int {
	if a.key != b.key {
		return cmp.Compare(a.key, b.key)
	}
	return cmp.Compare(a.index, b.index)
}

// owe marks the first requests of ranks that are served too seldom, as many as are owed to
// them, and reports whether there are any.
func (q *Queue) owe(now time.Duration, requests []Request) bool {
	if !q.ByRank || len(q.Demand.ranks) < 2 {
		return false
	}
	found, owed, rank := false, 0, 0
	for i := range q.places {
		p := &q.places[i]
		r := &requests[p.index]
		if r.Late {
			continue
		}
		if i == 0 || r.Rank != rank {
			rank, owed = r.Rank, q.Demand.Owed(now, r.Rank)
		}
		if owed > 0 {
			owed--
			p.key = -1
			found = true
		}
	}
	return found
}

// penalise gives the requests their final keys: those of tenants that are served beyond their
// fair share are set back, and the first request of each that is served too seldom goes first
// in its rank.
func (q *Queue) penalise(now time.Duration, requests []Request) {
	q.orders++
	fair := q.Counters.advanced.value(now, excessTime)
	for i := range q.places {
		p := &q.places[i]
		r := &requests[p.index]
		level, at, starved := q.level(r), r.At, false
		if p.key < 0 {
			level = owedLevel
		}
		if q.ByTenant {
			a := q.Counters.account(now, r.Tenant)
			if a.order != q.orders {
				a.order, a.next = q.orders, q.Counters.start(now, a)
				starved = q.Demand.Starved(now, r.Tenant)
			}
			at += time.Duration(overuse(a.next-q.Counters.virtual, fair) * overusePenalty * float64(r.Objective))
			a.next += r.Cost / a.weight
		}
		p.key = keyOf(now, level, starved, at)
	}
}
