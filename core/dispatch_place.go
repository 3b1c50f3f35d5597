package core

import (
	"math"
	"time"
)

const (
	// maxPrefillBacklog is the longest backlog of prefills at which another
	// prompt is sent to an engine: enough to keep it busy. Further prompts wait
	// at the owner, where urgent ones go first and no memory is reserved for
	// them.
	maxPrefillBacklog = 150 * time.Millisecond
	// slotsPerExtra is the number of slots per extra request: a plain upstream
	// receives one request beyond its slots for every slotsPerExtra of them,
	// rounded up.
	slotsPerExtra = 4
	// minSuccess is the lower bound of an upstream's squared success rate in
	// its cost, so that one that failed all its requests is not left out for
	// good.
	minSuccess = 0.01
	// remoteDecodeShare is the cost, as a share of an engine's memory, of a decode engine
	// in another failure domain than the request's entry: request and answer cross
	// domains, and so does the KV cache unless a prefill engine is beside it.
	remoteDecodeShare = 0.1
)

// assignment is the outcome of assign.
type assignment int

const (
	// assigned jobs got their upstreams.
	assigned assignment = iota
	// noMemory means that no upstream has memory, or a slot, for the job.
	noMemory
	// noPrefill means that no engine can prefill the job's prompt soon.
	noPrefill
)

// assign chooses upstreams for a job if there is room. For model engines, it chooses the
// decode engine first: a prompt is prefilled only if there is memory to decode its
// output.
func (d *dispatcher) assign(n *Node, j *dispatchJob) assignment {
	spec := n.forward.state.Services[j.group.Service]
	engine, generates := spec.Engine.Get()
	if !generates {
		return d.assignPlain(n, j)
	}
	c, domain := n.roles.costsOf(j.group), n.domainOf(j.key.node)
	decode := d.cheapestOrAvoided(n, j, func(u *upstream) bool {
		return j.fits(u) && d.hasMemory(n, u, c, engine.KVCapacityTokens, j.memory) && d.withinLimit(n, u, j.group)
	}, func(u *upstream) float64 {
		cost := float64(d.allocationOf(u).memory)
		if u.Domain != domain {
			cost += remoteDecodeShare * float64(engine.KVCapacityTokens)
		}
		return cost
	})
	if decode == nil {
		c.memoryShortAt = n.now
		return noMemory
	}
	prefillEngines := 0
	prefill := d.cheapestOrAvoided(n, j, func(u *upstream) bool {
		if !n.roles.canServe(n, u, Prefill) || u.fullUntil > n.now {
			return false
		}
		prefillEngines++
		if !d.withinLimit(n, u, j.group) {
			return false
		}
		return d.prefillsSoon(u, c)
	}, func(u *upstream) float64 {
		cost := float64(d.allocationOf(u).prefillTokens)
		if u.Domain != decode.Domain {
			cost += remotePrefillCost
		}
		if u.Version != decode.Version {
			cost += otherVersionPrefillCost
		}
		return cost
	})
	if prefill == nil && prefillEngines > 0 {
		c.prefillShortAt = n.now
		if !d.mayPrefillAtDecode(n, j, decode) {
			return noPrefill
		}
		d.prefillAtDecode(n, j, decode)
	}
	if prefill != nil {
		j.prefill = prefill.ID
		j.prefillIdle = d.allocationOf(prefill).prefillTokens == 0
		prefill.takeAsOwner(1)
		d.allocationOf(prefill).prefillTokens += j.prompt
	}
	if engine.KVCapacityTokens > 0 {
		c.observePlacement(j.prompt, j.memory-j.prompt, float64(j.memory)/float64(engine.KVCapacityTokens))
	}
	d.allocate(n, j, decode)
	return assigned
}

// hasMemory reports whether a decode engine with the given memory has a slot, and room for a request
// that needs a part of it.
func (d *dispatcher) hasMemory(n *Node, u *upstream, c *engineCosts, memory, need Tokens) bool {
	requests := d.allocationOf(u).requests
	if u.Slots != 0 && requests >= u.Slots || !n.roles.canServe(n, u, Decode) {
		return false
	}
	if requests > 0 {
		memory -= c.overrunReserve(n, requests+1)
	}
	return d.fits(n, u, need, memory)
}

// prefillsSoon reports whether a prefill engine begins another prompt soon.
func (d *dispatcher) prefillsSoon(u *upstream, c *engineCosts) bool {
	backlog := d.allocationOf(u).prefillTokens
	ahead, measured := c.backlogTime(backlog)
	return backlog == 0 || measured && ahead <= maxPrefillBacklog
}

// assignPlain chooses an upstream of a plain service by its free slots and its
// success rate. Requests beyond the slots wait at the owner, where urgent ones
// and those that can still be on time go first.
func (d *dispatcher) assignPlain(n *Node, j *dispatchJob) assignment {
	j.memory = 1
	domain := n.domainOf(j.key.node)
	cost := func(u *upstream) float64 {
		requests := float64(d.allocationOf(u).memory + 1)
		if u.Domain != domain {
			requests += remotePenalty
		}
		return requests / float64(max(u.Slots, 1)) / max(u.successRate*u.successRate, minSuccess)
	}
	u := d.cheapestOrAvoided(n, j, func(u *upstream) bool {
		return j.fits(u) && d.fits(n, u, j.memory, plainCapacity(u)) && d.withinLimit(n, u, j.group)
	}, cost)
	if u == nil {
		return noMemory
	}
	d.allocate(n, j, u)
	return assigned
}

// plainCapacity returns how many requests a plain upstream receives at once:
// its slots and a few more, so that no slot is idle while an answer and the
// next request are in flight.
func plainCapacity(u *upstream) Tokens {
	return Tokens(u.Slots + (u.Slots+slotsPerExtra-1)/slotsPerExtra)
}

// domainOf returns the failure domain of a node, or an empty id if it is not known.
func (n *Node) domainOf(id NodeID) DomainID {
	if id == n.Self.ID {
		return n.Self.Domain
	}
	if m, ok := n.members.byID[id]; ok {
		return m.node.Domain
	}
	return ""
}

// fits reports whether an upstream has the version that a job needs.
func (j *dispatchJob) fits(u *upstream) bool {
	version, bound := j.version.Get()
	return !bound || u.Version == version
}

// fits reports whether an upstream has room for a job, by the allocation table.
func (d *dispatcher) fits(n *Node, u *upstream, need, room Tokens) bool {
	b := d.allocationOf(u)
	return u.fullUntil <= n.now && b.deniedUntil <= n.now && (room == 0 || b.memory+need <= room)
}

// withinLimit reports whether the limit of an upstream, if it has one, allows another
// placement now.
func (d *dispatcher) withinLimit(n *Node, u *upstream, g DispatchGroup) bool {
	ok, _ := u.ownerMaySend(n, g)
	return ok
}

// cheapestOrAvoided returns the cheapest upstream that is not avoided for its
// failures. If most of the group are avoided, it returns the cheapest of those when no
// other has room: when most upstreams lose answers, leaving them all out would serve
// hardly any request. Otherwise the job waits for those that are sound.
func (d *dispatcher) cheapestOrAvoided(n *Node, j *dispatchJob, may func(*upstream) bool, cost func(*upstream) float64) *upstream {
	u := d.cheapest(n, j, func(u *upstream) bool { return u.avoidUntil <= n.now && may(u) }, cost)
	if u == nil && d.mostAvoided(n, j.group) {
		u = d.cheapest(n, j, may, cost)
	}
	return u
}

// mostAvoided reports whether more than half of a group's upstreams are avoided for
// their failures.
func (d *dispatcher) mostAvoided(n *Node, g DispatchGroup) bool {
	usable, avoided := 0, 0
	for _, u := range n.forward.upstreams.byGroup[g] {
		if u.usable() {
			usable++
			if u.avoidUntil > n.now {
				avoided++
			}
		}
	}
	return 2*avoided > usable
}

// cheapest returns the cheapest upstream of a job's group that may take the
// job.
func (d *dispatcher) cheapest(n *Node, j *dispatchJob, may func(*upstream) bool, cost func(*upstream) float64) *upstream {
	s := &n.forward
	return cheapest(n, s.upstreams.byGroup[j.group], func(u *upstream) bool { return j.avoid.Has(u.ID) || !may(u) }, cost)
}

// allocate adds a placed job to the allocation table and notifies its entry.
func (d *dispatcher) allocate(n *Node, j *dispatchJob, u *upstream) {
	j.waiting = false
	j.placedAt = n.now
	j.decode = u.ID
	d.allocationOf(u).memory += j.memory
	d.allocationOf(u).requests++
	cost, _ := d.limitCost(n, j.group)
	u.takeAsOwner(cost)
	d.placementsOf(j.group).record(n.now)
	if s := d.sharesOf(n, j.group); s != nil {
		s.place(n, j)
		if j.queued {
			d.logDispatch(n, s, j)
		}
	}
	n.send(j.key.node, ForwardPlaced{ID: j.key.id, Decode: j.decode, Prefill: j.prefill, PrefillAtDecode: j.prefillAtDecode, Memory: j.memory})
}

// capacity returns how many requests a second a group can serve: the recent
// rate of its placements, or what its upstreams can serve by the measured
// costs, whichever is higher. The first is too low when a burst begins, the
// second when upstreams are slow. A node that has just started knows neither,
// and must not reject requests for lack of data.
func (d *dispatcher) capacity(n *Node, g DispatchGroup) float64 {
	if rate, _, all := d.limitedRate(n, g); all {
		return rate
	}
	recent := d.placementsOf(g).rate(n.now)
	c := n.roles.costsOf(g)
	if c.holdSeconds.count < minCostSamples || c.holdSeconds.mean <= 0 {
		return math.Inf(1)
	}
	available := 0
	for _, u := range n.forward.upstreams.byGroup[g] {
		if u.usable() && u.avoidUntil <= n.now && !n.roles.canServe(n, u, Prefill) {
			available++
		}
	}
	return max(recent, float64(available)/c.holdSeconds.mean)
}
