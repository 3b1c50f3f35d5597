package core

import (
	"fmt"

	"daisyshed.dev/core/fairshare"
)

// displace rejects the waiting jobs of a divided group that cannot be placed in time now that
// another one has arrived. That may be the new one, or others that go behind it.
//
// Load pattern: more urgent requests, or those of tenants within their share, arrive faster
// than places become free. Less urgent ones and those of other tenants would wait for almost
// their whole objective and be rejected then.
func (d *dispatcher) displace(n *Node, s *groupShares, arrived *dispatchJob) {
	room, known := d.roomOf(n, s, arrived.group)
	if !known || !n.uses(EarlyRefusal) {
		return
	}
	for _, j := range d.queue {
		if j.group == arrived.group {
			s.jobs = append(s.jobs, j)
		}
	}
	s.sort(n)
	for _, r := range s.queue.Hopeless(n.instant(), s.requests, s.order, room) {
		j, cause := s.jobs[r.Index], Displaced
		if j == arrived {
			cause = ExceedsDeadline
		}
		d.logRejection(n, j, cause, fmt.Sprintf("%d before it, %.1f places in %v%s", r.Ahead, r.Places, s.requests[r.Index].Left, s.describe(n, j)))
		d.remove(n, j)
		d.reject(n, j)
	}
	s.forgetJobs()
}

// roomOf returns what a group has room for, and whether that is known: an owner that has just
// started must not reject requests for lack of data.
func (d *dispatcher) roomOf(n *Node, s *groupShares, g DispatchGroup) (room fairshare.Room, known bool) {
	if rate, _, all := d.limitedRate(n, g); all {
		return fairshare.Room{Rate: rate}, true
	}
	c := n.roles.costsOf(g)
	engine, generates := n.forward.state.Services[g.Service].Engine.Get()
	if !generates {
		return fairshare.Room{Rate: d.capacity(n, g)}, c.holdSeconds.count >= minCostSamples
	}
	size := Tokens(c.memoryShares.mean * float64(engine.KVCapacityTokens))
	took := c.duration(c.outputLengths.mean)
	if size <= 0 || took <= 0 || c.tokenSeconds.count < minCostSamples {
		return fairshare.Room{}, false
	}
	room.Free = float64(d.freePlaces(n, g, engine, size))
	room.Rate = float64(s.unpredicted) / took.Seconds()
	return room, true
}

// describe describes for the log why a job goes where it does in the order.
func (s *groupShares) describe(n *Node, j *dispatchJob) string {
	text := ""
	if over := s.queue.Counters.Overuse(n.instant(), fairshare.Tenant(j.tenant)); over > 0 {
		text = fmt.Sprintf(", its tenant was served %.2f of its share beyond it", over)
	}
	if j.share.owed {
		text += ", owed to its rank"
	}
	return text
}

// logDispatch logs that a job of a divided group is placed that has waited.
func (d *dispatcher) logDispatch(n *Node, s *groupShares, j *dispatchJob) {
	n.do(LogDecision{Decision: Decision{
		At: n.now, Node: n.Self.ID, Step: "dispatch", Request: RequestID(j.attempt), Profile: ProfileID(j.group.Service), Customer: CustomerID(j.tenant), Rank: j.rank,
		Prefill: j.prefill, Decode: j.decode, Waited: n.now.Sub(j.arrived), Slack: j.latestOnTime.Sub(j.arrived), Tokens: j.memory,
		Detail: fmt.Sprintf("of %d waiting, entry %s%s", len(d.queue), j.key.node, s.describe(n, j)), Version: n.forward.state.Version,
	}})
}
