package fairshare

import "time"

// Tenant names the tenant of a request; empty for requests without one.
type Tenant string

const (
	// excessTime is the time constant with which a tenant's excess over its fair share is
	// forgiven. A stream holds memory for some four seconds and load peaks last four to
	// eleven, so what a tenant was served before a shortage still counts during it.
	excessTime = 10 * time.Second
	// activeTime is how long after its latest request a tenant counts among those that
	// share the capacity.
	activeTime = 10 * time.Second
	// recountEvery is the period at which the weights of the active tenants are added up.
	recountEvery = 250 * time.Millisecond
	// maxAccounts is the number of tenants above which those that are not active are dropped.
	maxAccounts = 1024
	// maxOveruse bounds the overuse of a tenant.
	maxOveruse = 5.0
)

// Counters are the virtual token counters of tenants, as in start-time fair queueing by
// weighted cost: a tenant's next request starts at the virtual time, or where its latest one
// ended if that is later. What a tenant leaves unused goes to the others, and gives it no
// credit.
//
// The virtual time is what a tenant of weight one would have been served if all active
// tenants had been served alike. The usual virtual time, the start of the request served
// last, catches up with the tenant that sends most whenever the queue is empty, so that a
// load peak of one tenant would be forgotten before it fills the memory.
type Counters struct {
	virtual float64
	// advanced is how far the virtual time has advanced in the latest excessTime.
	advanced     decaying
	byTenant     map[Tenant]*account
	accounts     []*account
	activeWeight float64
	recountedAt  time.Duration
}

// account is the counter of one tenant.
type account struct {
	tenant Tenant
	weight float64
	// finish is the virtual time at which the tenant's latest request ended, as of the
	// instant at.
	finish float64
	at     time.Duration
	seenAt time.Duration
	// elsewhere is the use at other places that is charged already, if it is known.
	elsewhere      float64
	knownElsewhere bool
	// next is, while a queue is being ordered, the virtual start of the tenant's next
	// request in it, and order the number of that ordering.
	next  float64
	order uint64
}

// Arrived records a request of a tenant. Its weight is its part of the capacity, relative to
// other tenants.
func (c *Counters) Arrived(now time.Duration, t Tenant, weight float64) {
	a := c.account(now, t)
	if a.weight != weight || now-a.seenAt > activeTime || now-c.recountedAt >= recountEvery {
		a.weight, a.seenAt = weight, now
		c.recount(now)
	}
	a.seenAt = now
}

// account returns the account of a tenant, a new one if it has none.
func (c *Counters) account(now time.Duration, t Tenant) *account {
	if a, ok := c.byTenant[t]; ok {
		return a
	}
	if c.byTenant == nil {
		c.byTenant = map[Tenant]*account{}
	}
	a := &account{tenant: t, weight: 1, at: now, seenAt: now}
	c.byTenant[t] = a
	c.accounts = append(c.accounts, a)
	c.recount(now)
	return a
}

// recount adds up the weights of the active tenants, and drops the accounts of others if
// there are many.
func (c *Counters) recount(now time.Duration) {
	c.recountedAt, c.activeWeight = now, 0
	kept := c.accounts[:0]
	for _, a := range c.accounts {
		active := now-a.seenAt <= activeTime
		if active {
			c.activeWeight += a.weight
		} else if len(c.byTenant) > maxAccounts {
			delete(c.byTenant, a.tenant)
			continue
		}
		kept = append(kept, a)
	}
	clear(c.accounts[len(kept):])
	c.accounts = kept
}

// start returns the virtual time at which the next request of a tenant starts.
func (c *Counters) start(now time.Duration, a *account) float64 {
	excess := a.finish - c.virtual
	if excess <= 0 {
		return c.virtual
	}
	return c.virtual + excess*decay(now-a.at, excessTime)
}

// Overuse returns how many times its fair share a tenant has been served beyond that share
// lately: zero for one that was served its share or less, and at most maxOveruse.
func (c *Counters) Overuse(now time.Duration, t Tenant) float64 {
	a, ok := c.byTenant[t]
	if !ok {
		return 0
	}
	return overuse(c.start(now, a)-c.virtual, c.advanced.value(now, excessTime))
}

// overuse returns the overuse of a tenant that was served an excess over its fair share.
func overuse(excess, fair float64) float64 {
	if excess <= 0 || fair <= 0 {
		return 0
	}
	return min(excess/fair, maxOveruse)
}

// Charge charges the cost of a request to a tenant; a negative cost is given back.
func (c *Counters) Charge(now time.Duration, t Tenant, cost float64) {
	a := c.account(now, t)
	a.finish = c.start(now, a) + cost/a.weight
	a.at = now
	advance := cost / max(c.activeWeight, a.weight)
	c.virtual += advance
	c.advanced.add(now, advance, excessTime)
}

// UsedElsewhere charges what a tenant has used at other places since the last call, by their
// total. The first total is where the count begins, and so is one that is below the last,
// because another place counts then.
func (c *Counters) UsedElsewhere(now time.Duration, t Tenant, total float64) {
	a := c.account(now, t)
	if a.knownElsewhere && total > a.elsewhere {
		c.Charge(now, t, total-a.elsewhere)
	}
	a.elsewhere, a.knownElsewhere = total, true
}
