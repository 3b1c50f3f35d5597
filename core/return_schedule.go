package core

import (
	"time"

	"daisyshed.dev/core/fairshare"
)

// returnSchedule tells rejected callers when to return.
//
// Load pattern: a crest of some seconds at twice the capacity. The callers that it
// rejects would return together, be late, and meet the next crest or each other. They
// are told to return in the order in which they were rejected, as fast as late requests
// can be served beside new arrivals.
type returnSchedule struct {
	// next is when the caller rejected last returns.
	next Instant
}

// assign returns the retry delay of a rejected caller, between minRetryShare of the
// longest delay that the caller honours and all of it.
func (r *returnSchedule) assign(now Instant, rate float64, longest time.Duration) time.Duration {
	earliest, latest := now.Add(fractionOf(longest, minRetryShare)), now.Add(longest)
	r.next = min(max(r.next.Add(time.Duration(float64(time.Second)/rate)), earliest), latest)
	return r.next.Sub(now)
}

// retryAfter returns the retry delay for a rejected job, or zero to leave it to the
// entry.
func (d *dispatcher) retryAfter(n *Node, j *dispatchJob) time.Duration {
	if !n.uses(ReturnSchedule) {
		return 0
	}
	longest := fractionOf(j.callerDeadline.Sub(n.now), maxRetryShare)
	if rate, _, all := d.limitedRate(n, j.group); all {
		return d.returnAfter(n, j, rate, longest)
	}
	_, generates := n.forward.state.Services[j.group.Service].Engine.Get()
	if !generates {
		return 0
	}
	rate := max(d.capacity(n, j.group)-getOrCreate(d.onTimeArrivals, j.group).measured(n.now), minPlacementRate)
	return d.returnAfter(n, j, rate, longest)
}

// returnAfter assigns the retry delay of a rejected job, at the rate at which returning callers
// can be served. In a divided group, tenants and ranks have returns of their own.
func (d *dispatcher) returnAfter(n *Node, j *dispatchJob, rate float64, longest time.Duration) time.Duration {
	s := d.sharesOf(n, j.group)
	if s == nil {
		return max(getOrCreate(d.returns, j.group).assign(n.now, rate, longest), 0)
	}
	now := n.instant()
	earliest, latest := now+fractionOf(longest, minRetryShare), now+longest
	return max(s.returns.Assign(now, fairshare.Tenant(j.tenant), j.rank, j.share.weight, rate, earliest, latest)-now, 0)
}
