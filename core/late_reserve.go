package core

import "time"

// lateReserveTime is the time whose arrivals of requests that can be on time find free
// memory when late requests are placed.
const lateReserveTime = 200 * time.Millisecond

// lateRoom decides whether late requests may be placed during one pass over the queue.
//
// Load pattern: a burst is over, and its rejected callers return, while new arrivals
// alone nearly fill the engines. Whenever no request that can still be on time is queued,
// a late one would be placed and hold its memory for seconds. New arrivals would find no
// memory and become late too, and the overload would persist after its cause is gone.
// Late requests therefore leave some places free for new arrivals (trunk reservation).
type lateRoom struct {
	places map[DispatchGroup]int
}

// has reports whether a job may be placed now, as far as its lateness matters. Streams
// that were placed before go on: their callers may have part of the answer.
func (r *lateRoom) has(n *Node, d *dispatcher, j *dispatchJob) bool {
	c := n.roles.costsOf(j.group)
	engine, generates := n.forward.state.Services[j.group.Service].Engine.Get()
	if !j.late(n.now) || j.sentBefore || !generates || !n.uses(LateReserve) || c.memoryShares.mean <= 0 {
		return true
	}
	if r.places == nil {
		r.places = map[DispatchGroup]int{}
	}
	places, counted := r.places[j.group]
	if !counted {
		places = d.freePlaces(n, j.group, engine, Tokens(c.memoryShares.mean*float64(engine.KVCapacityTokens)))
		places -= int(getOrCreate(d.onTimeArrivals, j.group).measured(n.now) * lateReserveTime.Seconds())
	}
	r.places[j.group] = places - 1
	return places > 0
}

// freePlaces returns how many requests of the given size the decode engines of a group
// have memory for.
func (d *dispatcher) freePlaces(n *Node, g DispatchGroup, engine EngineSpec, size Tokens) int {
	if engine.KVCapacityTokens == 0 || size <= 0 {
		return 0
	}
	c, places := n.roles.costsOf(g), 0
	for _, u := range n.forward.upstreams.byGroup[g] {
		if !u.open(n.now) || u.avoidUntil > n.now || !n.roles.canServe(n, u, Decode) {
			continue
		}
		a := d.allocationOf(u)
		if free := engine.KVCapacityTokens - a.memory - c.overrunReserve(n, a.requests+1); free > 0 && a.deniedUntil <= n.now {
			places += int(free / size)
		}
	}
	return places
}

// prospects returns how many requests a new one would wait for, and at which rate they
// are placed. A late request waits for late ones, which get the places that requests that
// can be on time leave over.
func (d *dispatcher) prospects(n *Node, j *dispatchJob) (before int, rate float64) {
	rate = d.capacity(n, j.group)
	late := j.late(n.now) && n.uses(LateReserve)
	if late {
		rate = max(rate-getOrCreate(d.onTimeArrivals, j.group).measured(n.now), 0)
	}
	return ahead(n.now, d.queue, j.queueEntry, func(q *dispatchJob) bool {
		return q.group == j.group && (!late || q.late(n.now))
	}), rate
}
