package core

import (
	"time"

	"daisyshed.dev/core/fairshare"
)

// groupShares is how an owner divides the room of a group of upstreams between tenants and
// ranks. It is lost with the owner; the next one starts with equal counters.
type groupShares struct {
	queue   fairshare.Queue
	returns fairshare.Returns
	// unpredicted counts the jobs on upstreams that the forecast lacks.
	unpredicted int
	// jobs are the waiting jobs of the group, with requests and order while they are ordered.
	jobs     []*dispatchJob
	requests []fairshare.Request
	order    []fairshare.Ordered
}

// jobShare is what a job counts in the division of its group's room.
type jobShare struct {
	// cost is what the job costs its tenant, which has the given weight.
	cost, weight float64
	// charged says that the cost has been charged. The job is predicted to end at the instant
	// endsAt if forecast is set, and counted as one of the others if unpredicted is.
	charged, forecast, unpredicted bool
	endsAt                         time.Duration
	// owed says that the job is owed to its rank.
	owed bool
}

// sharesOf returns the division of a group's room; nil if it is not divided.
func (d *dispatcher) sharesOf(n *Node, g DispatchGroup) *groupShares {
	if !n.forward.divides(g.Service) || !n.uses(FairShares) && !n.uses(RankShares) {
		return nil
	}
	s, ok := d.shares[g]
	if !ok {
		s = &groupShares{queue: fairshare.Queue{Counters: &d.counters, ByTenant: n.uses(FairShares), ByRank: n.uses(RankShares)}}
		d.shares[g] = s
	}
	return s
}

// instant returns the present for package fairshare.
func (n *Node) instant() time.Duration { return time.Duration(n.now) }

// arrive records a job that arrives at the group. first says that it is the first attempt of a caller,
// which has not been placed before.
func (s *groupShares) arrive(n *Node, j *dispatchJob, first bool) {
	now, t := n.instant(), fairshare.Tenant(j.tenant)
	j.share.weight, j.share.cost = n.forward.weights.of(j.tenant, j.usage, j.memory)
	s.queue.Counters.Arrived(now, t, j.share.weight)
	s.queue.Counters.UsedElsewhere(now, t, n.usage.usedElsewhere(j.tenant))
	if first && !j.sentBefore {
		s.queue.Demand.Arrived(now, t, j.rank)
	}
}

// place charges a placed job to its tenant, and predicts when it ends.
func (s *groupShares) place(n *Node, j *dispatchJob) {
	now := n.instant()
	j.share.charged = true
	s.queue.Counters.Charge(now, fairshare.Tenant(j.tenant), j.share.cost)
	s.serve(n, j, 1)
	c := n.roles.costsOf(j.group)
	if c.tokenSeconds.count < minCostSamples {
		s.hold(j)
		return
	}
	j.share.forecast, j.share.endsAt = true, s.queue.Forecast.Add(now, now+c.duration(float64(j.memory-j.prompt)))
}

// hold counts a job that is on an upstream for an unknown time: one that an earlier owner placed,
// or that was placed before it was measured how long others take.
func (s *groupShares) hold(j *dispatchJob) {
	j.share.unpredicted = true
	s.unpredicted++
}

// release removes a job that has been on an upstream.
func (s *groupShares) release(n *Node, j *dispatchJob) {
	if j.share.forecast {
		j.share.forecast = false
		s.queue.Forecast.Remove(n.instant(), j.share.endsAt)
	}
	if j.share.unpredicted {
		j.share.unpredicted = false
		s.unpredicted--
	}
}

// duration returns how long a request with an output of the given length takes.
func (c *engineCosts) duration(output float64) time.Duration {
	return seconds(c.prefillSeconds() + c.tokenSeconds.mean*output)
}

// refund takes back what a job was charged whose lease was denied.
func (s *groupShares) refund(n *Node, j *dispatchJob) {
	if j.share.charged {
		j.share.charged = false
		s.queue.Counters.Charge(n.instant(), fairshare.Tenant(j.tenant), -j.share.cost)
		s.serve(n, j, -1)
	}
}

// serve counts a job as served; a number of -1 takes it back. One that was sent before has been
// counted.
func (s *groupShares) serve(n *Node, j *dispatchJob, number float64) {
	if !j.sentBefore {
		s.queue.Demand.Served(n.instant(), fairshare.Tenant(j.tenant), j.rank, number)
	}
}

// shared returns the job as package fairshare orders it.
func (j *dispatchJob) shared(now Instant) fairshare.Request {
	r := fairshare.Request{
		Tenant: fairshare.Tenant(j.tenant), Rank: j.rank, Late: j.late(now), Prior: j.sentBefore,
		At: time.Duration(j.arrived.Add(j.lengthPenalty)), Cost: j.share.cost, Objective: j.objective, Left: j.latestOnTime.Sub(now),
	}
	if r.Late {
		r.Left = min(j.callerDeadline, j.arrived.Add(fractionOf(j.objective, lateWaitObjectives))).Sub(now)
	}
	return r
}

// sortQueue sorts the queue into the order in which jobs are placed. The order between groups
// does not matter, because they have no upstream in common. It returns the divided groups of
// which no job can be placed, whose jobs it does not sort.
func (d *dispatcher) sortQueue(n *Node) (full []DispatchGroup) {
	if !n.forward.dividesAny() {
		sortWaiting(n.now, d.queue)
		return nil
	}
	var divided []*groupShares
	var group DispatchGroup
	var s *groupShares
	rest := d.queue[:0]
	for i, j := range d.queue {
		if i == 0 || j.group != group {
			group, s = j.group, d.sharesOf(n, j.group)
		}
		if s == nil {
			rest = append(rest, j)
			continue
		}
		if len(s.jobs) == 0 {
			divided = append(divided, s)
		}
		s.jobs = append(s.jobs, j)
	}
	sortWaiting(n.now, rest)
	d.queue = rest
	for _, s := range divided {
		if d.mayPlaceAny(n, s.jobs) {
			s.sort(n)
			for _, o := range s.order {
				d.queue = append(d.queue, s.jobs[o.Index])
			}
		} else {
			full = append(full, s.jobs[0].group)
			d.queue = append(d.queue, s.jobs...)
		}
		s.forgetJobs()
	}
	return full
}

// forgetJobs empties the list of jobs that are being ordered.
func (s *groupShares) forgetJobs() {
	clear(s.jobs)
	s.jobs = s.jobs[:0]
}

// sort orders the waiting jobs of the group.
func (s *groupShares) sort(n *Node) {
	s.requests = s.requests[:0]
	for _, j := range s.jobs {
		s.requests = append(s.requests, j.shared(n.now))
	}
	s.order = s.queue.Order(n.instant(), s.requests, s.order[:0])
	for _, o := range s.order {
		s.jobs[o.Index].share.owed = o.Owed
	}
}
