package core

import (
	"math"
	"time"
)

const (
	// readAhead is how much reading may wait at a prefill engine when another
	// prompt is sent there: enough to keep it busy. Prompts beyond it wait with
	// the owner, where the urgent ones go first and no memory is held for them.
	readAhead = 150 * time.Millisecond
	// slotsPerSpare is how many slots of a plain upstream allow one request more.
	slotsPerSpare = 4
	// minSuccess keeps an upstream that failed all its requests from being left
	// out for good.
	minSuccess = 0.01
)

// assign chooses upstreams for a job, and reports whether there was room. For
// model engines, decode comes first: a prompt is read only where there is memory
// for what follows.
func (d *dispatcher) assign(n *Node, j *dispatchJob) bool {
	spec := n.forward.state.Services[j.group.Service]
	engine, generates := spec.Engine.Get()
	if !generates {
		return d.assignPlain(n, j)
	}
	c := n.roles.cost(j.group)
	decode := d.eitherWay(n, j, func(u *upstream) bool {
		free := u.Slots == 0 || d.book(u.ID).placed < u.Slots
		return free && n.roles.serves(n, u, Decode) && d.fits(n, u, j.memory, engine.Memory)
	}, func(u *upstream) float64 { return float64(d.book(u.ID).memory) })
	if decode == nil {
		c.lackedMemory = n.now
		return false
	}
	readers := 0
	prefill := d.eitherWay(n, j, func(u *upstream) bool {
		if !n.roles.serves(n, u, Prefill) || u.fullUntil > n.now {
			return false
		}
		readers++
		reading := d.book(u.ID).reading
		return reading == 0 || c.tokenRate > 0 && float64(reading)/c.tokenRate <= readAhead.Seconds()
	}, func(u *upstream) float64 {
		cost := float64(d.book(u.ID).reading)
		if u.Domain != decode.Domain {
			cost += remoteRead
		}
		return cost
	})
	if prefill == nil && readers > 0 {
		c.lackedRead = n.now
		return false
	}
	if prefill != nil {
		j.prefill = prefill.ID
		j.undisturbed = d.book(prefill.ID).reading == 0
		d.book(prefill.ID).reading += j.prompt
	}
	if engine.Memory > 0 {
		c.placed(j.memory-j.prompt, float64(j.memory)/float64(engine.Memory))
	}
	d.promise(n, j, decode)
	return true
}

// assignPlain chooses an upstream of a plain service, by its free slots and its
// success. Requests beyond the slots wait with the owner, where the urgent and
// the timely go first.
func (d *dispatcher) assignPlain(n *Node, j *dispatchJob) bool {
	j.memory = 1
	cost := func(u *upstream) float64 {
		return float64(d.book(u.ID).memory+1) / float64(max(u.Slots, 1)) / max(u.success*u.success, minSuccess)
	}
	u := d.eitherWay(n, j, func(u *upstream) bool { return d.fits(n, u, j.memory, slotRoom(u)) }, cost)
	if u == nil {
		return false
	}
	d.promise(n, j, u)
	return true
}

// slotRoom returns how many requests one plain upstream gets at once: its slots
// and a few more, so that none stands idle while an answer and the next request
// are on their way.
func slotRoom(u *upstream) Tokens { return Tokens(u.Slots + (u.Slots+slotsPerSpare-1)/slotsPerSpare) }

// fits reports whether an upstream has room for a job by the books.
func (d *dispatcher) fits(n *Node, u *upstream, need, room Tokens) bool {
	b := d.book(u.ID)
	return u.fullUntil <= n.now && b.deniedUntil <= n.now && (room == 0 || b.memory+need <= room)
}

// eitherWay returns the best upstream that is not put aside for its failures, or
// else the best of those that are: when most lose answers, leaving them all out
// would serve nobody.
func (d *dispatcher) eitherWay(n *Node, j *dispatchJob, may func(*upstream) bool, cost func(*upstream) float64) *upstream {
	u := d.cheapest(n, j, func(u *upstream) bool { return u.avoidUntil <= n.now && may(u) }, cost)
	if u == nil {
		u = d.cheapest(n, j, may, cost)
	}
	return u
}

// cheapest returns the best upstream of a job's group that may take it.
func (d *dispatcher) cheapest(n *Node, j *dispatchJob, may func(*upstream) bool, cost func(*upstream) float64) *upstream {
	s := &n.forward
	return cheapest(n, s.upstreams.byService[j.group.Service], func(u *upstream) bool {
		return !s.inGroup(j.group, u.ID) || j.avoid.Has(u.ID) || !may(u)
	}, cost)
}

// promise enters a job into the books and tells its entry.
func (d *dispatcher) promise(n *Node, j *dispatchJob, u *upstream) {
	j.waiting = false
	j.placedAt = n.now
	j.decode = u.ID
	d.book(u.ID).memory += j.memory
	d.book(u.ID).placed++
	d.rate(j.group).note(n.now)
	n.send(j.key.node, ForwardPlaced{ID: j.key.id, Decode: j.decode, Prefill: j.prefill, Memory: j.memory})
}

// capacity returns how many requests a second a group can serve: what it served
// of late, or what its upstreams can by the measured costs. The first falls
// short when a burst begins, the second when upstreams are slow. A node that has
// just started knows neither, and must not refuse for want of knowledge.
func (d *dispatcher) capacity(n *Node, g DispatchGroup) float64 {
	seen := d.rate(g).rate(n.now)
	c := n.roles.cost(g)
	if c.holdSeconds.count < rolesSamples || c.holdSeconds.mean <= 0 {
		return math.Inf(1)
	}
	able := 0
	for _, u := range n.forward.upstreams.byService[g.Service] {
		if u.usable() && u.avoidUntil <= n.now && n.forward.inGroup(g, u.ID) && !n.roles.serves(n, u, Prefill) {
			able++
		}
	}
	return max(seen, float64(able)/c.holdSeconds.mean)
}
