package usagecap

import (
	"cmp"
	"slices"
	"time"
)

const (
	// leaseTime is how long a node may use an amount after its grant.
	leaseTime = 1500 * time.Millisecond
	// horizon is the time for whose demand a node holds granted amounts. It serves that long without
	// an allocator. All nodes together hold heldShare of the stock at most, so that the rest is there
	// for nodes that begin to place requests.
	horizon   = 1250 * time.Millisecond
	heldShare = 0.7
	// maxDue is the longest time for which an allocator keeps the share of a node that does not report.
	maxDue = 500 * time.Millisecond
	// maxWait is the time whose fair share a request that waits may get at once.
	maxWait = time.Second
	// holderTime is how long an allocator remembers a node that does not report.
	holderTime = 10 * time.Second
	// floorShare is the share of the stock that a node without demand gets at most, and idleShare that
	// of the depth which all nodes together hold beyond their demand: while nodes differ in who places
	// requests, many of them expect some.
	floorShare = 0.5
	idleShare  = 0.7
	// aheadShare is the share of its floor that a node must have to hold, by its demand or by what is
	// left for nodes without demand, to get amounts ahead of its requests: its floor suffices for two
	// requests, and what does not suffice for one serves nobody.
	aheadShare = 0.5
	// plentyShare is the share of the stock from which on other nodes get such amounts too.
	plentyShare = 0.5
	// shortShare is the share of what a node is to hold, from which on it is short.
	shortShare = 0.7
	// headroom is the fair share of a node in proportion to its demand, if there is enough: requests
	// come unevenly.
	headroom = 1.25
)

// Usage is what a node reports of one tenant to the allocator.
type Usage struct {
	// Demand is the rate at which requests ask for usage, and Floor the rate for which the node wants
	// to hold amounts even if there is no demand; in units a second.
	Demand, Floor float64
	// Used is what the node has admitted since it started, and Level what it has left of granted
	// amounts; in units. Level is negative if a request waits, by what is missing for it.
	Used, Level float64
}

// target returns what the node is to hold, in units.
func (u Usage) target() float64 { return max(u.Demand, u.Floor) * horizon.Seconds() }

// Short reports whether the node should get more before long.
func (u Usage) Short() bool { return u.Level < shortShare*u.target() }

// Share is what an allocator grants to a node.
type Share struct {
	// Amount may be used until the lease ends, after the time Left. Rate is the rate at which more is
	// expected to follow, in units a second.
	Amount, Rate float64
	Left         time.Duration
	// UsedElsewhere is what the tenant has used at other nodes since the allocator knows this node, in
	// units.
	UsedElsewhere float64
}

// Allocator grants amounts of one tenant's cap to the nodes that place requests.
type Allocator struct {
	terms Terms
	born  time.Duration
	// stock is what has accrued and was not granted at the time at, when the delegations had passed
	// seconds. depth is what stock and holders contain together at most.
	stock, seconds, depth float64
	at                    time.Duration
	// holders are in the order of their names.
	holders []*holder
}

// holder is a node to which amounts are granted.
type holder struct {
	node   string
	demand float64
	// floor is what a node that places the requests of others wants to hold at least, in units. ahead is
	// set if it gets amounts ahead of its requests. Other nodes get what their requests need, one by one.
	floor float64
	ahead bool
	// target is what the node is to hold, and level what it held when it last reported and what was
	// granted to it then.
	target, level float64
	// rate is the node's fair share of what accrues.
	rate       float64
	reportedAt time.Duration
	until      time.Duration
	used       float64
	elsewhere  float64
}

// NewAllocator returns an allocator without a stock, for delegations that have passed the given number
// of seconds. What other allocators have granted before needs no account: they granted what had
// accrued from delegations to them.
func NewAllocator(now time.Duration, terms Terms, seconds float64) *Allocator {
	return &Allocator{terms: terms, born: now, at: now, seconds: seconds}
}

// SetTerms changes the terms. Amounts beyond the new ones are not granted any more.
func (a *Allocator) SetTerms(terms Terms) {
	a.terms = terms
	a.stock = min(a.stock, terms.Depth())
}

// Report handles the report of a node and returns its share. The delegations have passed the given
// number of seconds, and count nodes leave their part to this allocator now.
func (a *Allocator) Report(now time.Duration, seconds float64, count int, node string, u Usage) Share {
	h := a.holder(now, node)
	a.recordUse(h, u.Used)
	h.demand, h.level, h.floor = u.Demand, max(u.Level, 0), u.Floor*horizon.Seconds()
	h.target = u.target()
	a.accrue(now, seconds, count)
	a.divide(count)
	amount := a.amountFor(now, h, u)
	a.stock -= amount
	h.level = max(u.Level+amount, 0)
	h.reportedAt, h.until = now, now+leaseTime
	return Share{Amount: amount, Rate: a.expectedRate(h, count), Left: leaseTime, UsedElsewhere: h.elsewhere}
}

// amountFor returns how much a node gets. The fair shares of the others since they last reported stay
// in stock. What is less than a request that waits needs would serve nobody.
func (a *Allocator) amountFor(now time.Duration, h *holder, u Usage) float64 {
	due := 0.0
	for _, other := range a.holders {
		if other != h {
			due += other.due(now)
		}
	}
	since, missing := maxDue, max(-u.Level, 0)
	if missing > 0 {
		since = maxWait
	}
	available := max(a.stock-due, min(a.stock, h.rate*min(now-h.reportedAt, since).Seconds()), 0)
	amount := min(a.wanted(h, u, missing), available)
	if amount < missing {
		return 0
	}
	return max(amount, 0)
}

// wanted returns how much a node is to get if there is enough in stock.
func (a *Allocator) wanted(h *holder, u Usage, missing float64) float64 {
	rates, idle, placers, span := 0.0, 0.0, 0, horizon.Seconds()
	for _, other := range a.holders {
		rates += other.rate
		if other.floor > 0 {
			placers++
		}
		if other != h {
			idle += max(other.level-other.demand*span, 0)
		}
	}
	if rates > 0 {
		span = min(span, heldShare*a.depth/rates)
	}
	wanted, floor := h.rate*span, min(h.floor, idleShare*a.depth/float64(max(placers, 1)))
	h.ahead = max(wanted, floor) >= aheadShare*h.floor && h.floor > 0
	if !h.ahead {
		floor = 0
		if a.stock < plentyShare*a.depth {
			wanted = 0
		}
	}
	return max(wanted-u.Level, missing, min(floor-u.Level, floorShare*a.stock, idleShare*a.depth-idle))
}

// due returns the fair share of a node since it last reported, as far as it is expected to want it.
func (h *holder) due(now time.Duration) float64 {
	passed := (now - h.reportedAt).Seconds()
	if !h.ahead || passed > maxDue.Seconds() {
		return 0
	}
	return max(min(h.rate*passed, h.target-h.level+h.demand*passed), 0)
}

// holder returns the record of a node, and evicts those of nodes that report no more.
func (a *Allocator) holder(now time.Duration, node string) *holder {
	a.holders = slices.DeleteFunc(a.holders, func(h *holder) bool {
		if now >= h.until {
			h.level, h.demand, h.floor, h.target, h.rate = 0, 0, 0, 0, 0
		}
		return now-h.reportedAt > holderTime
	})
	i, ok := slices.BinarySearchFunc(a.holders, node, func(h *holder, node string) int { return cmp.Compare(h.node, node) })
	if !ok {
		a.holders = slices.Insert(a.holders, i, &holder{node: node, reportedAt: now, used: -1})
	}
	return a.holders[i]
}

// recordUse counts what a node has used since its last report as used elsewhere at the others. A node
// that has started again begins from zero.
func (a *Allocator) recordUse(h *holder, used float64) {
	before := h.used
	h.used = used
	if before < 0 {
		return
	}
	if used < before {
		before = 0
	}
	for _, other := range a.holders {
		if other != h {
			other.elsewhere += used - before
		}
	}
}

// accrue adds to the stock what has accrued in the delegated spans, as far as nodes do not hold it
// already. An allocator with few nodes would have less in stock than one request needs; instead of a
// part of the burst it keeps what accrues in part of a window, and less accrues afterwards.
func (a *Allocator) accrue(now time.Duration, seconds float64, count int) {
	passed, spans := (now - a.at).Seconds(), seconds-a.seconds
	a.at, a.seconds = now, seconds
	if passed > 0 {
		count = min(count, int(spans/passed+0.5))
	}
	if count == 0 {
		// Other allocators have had the parts of all nodes meanwhile.
		a.born, a.stock, a.depth = now, 0, 0
		return
	}
	income := min(a.terms.part()*spans, a.terms.Rate*passed)
	a.depth = a.terms.share(a.terms.Depth()) * float64(count)
	if a.sparse(count) {
		span := sparseTime * a.terms.Window.Seconds()
		a.depth = max(a.depth, a.terms.share(a.terms.Rate)*float64(count)*span)
		if (now - a.born).Seconds() > span {
			income *= 1 - sparseTime
		}
	}
	held := 0.0
	for _, h := range a.holders {
		held += h.level
	}
	a.stock = max(min(a.stock+max(income, 0), a.depth-held), 0)
}

// sparse reports whether few of all nodes leave their part to the allocator.
func (a *Allocator) sparse(count int) bool { return count*sparseParts <= a.terms.Nodes }

// income returns what accrues now, in units a second.
func (a *Allocator) income(count int) float64 {
	return min(a.terms.part()*float64(count), a.terms.Rate)
}

// divide sets the fair share of each node: its demand with some headroom, or an equal part of what those
// with less demand leave.
func (a *Allocator) divide(count int) {
	list := slices.Clone(a.holders)
	slices.SortStableFunc(list, func(x, y *holder) int { return cmp.Compare(x.demand, y.demand) })
	left := a.income(count)
	for i, h := range list {
		h.rate = min(headroom*h.demand, left/float64(len(list)-i))
		left -= h.rate
	}
}

// expectedRate returns the rate at which a node is expected to get amounts: its fair share, and its
// part of what no node demands.
func (a *Allocator) expectedRate(h *holder, count int) float64 {
	sum := 0.0
	for _, other := range a.holders {
		sum += other.rate
	}
	free := max(a.income(count)-sum, 0)
	if sum <= 0 {
		return free
	}
	return h.rate + free*h.rate/sum
}
