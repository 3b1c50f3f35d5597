package core

import (
	"fmt"
	"time"
)

const (
	// maxRejectedPrompts bounds the number of rejected callers' prompts that
	// are remembered.
	maxRejectedPrompts = 4096
	// deniedFor is how long an engine counts as full for its owner after it
	// denied a lease: a request that the owner does not know of holds memory
	// there.
	deniedFor = 250 * time.Millisecond
)

// handlePlaceForward handles a placement request: the request is rejected if it is over the usage cap of
// its tenant. Otherwise it is placed or queued, or rejected at once if it cannot expect to be served in
// time.
func (d *dispatcher) handlePlaceForward(n *Node, from NodeID, m PlaceForward) {
	key := jobKey{node: from, id: m.ID}
	n.usage.cancel(key)
	if old, ok := d.jobs[key]; ok {
		if d.answerAgain(n, old, m) {
			return
		}
		m.Charged = m.Charged || old.charged
		d.remove(n, old)
	}
	first := m.Waited == 0
	n.usage.admitPlacement(n, from, m, func(n *Node, from NodeID, m PlaceForward) { d.acceptPlacement(n, from, m, first) })
}

// acceptPlacement places, queues or rejects a request that is not over the usage cap of its tenant. first
// says that its entry asks for a placement for the first time.
func (d *dispatcher) acceptPlacement(n *Node, from NodeID, m PlaceForward, first bool) {
	key := jobKey{node: from, id: m.ID}
	j := &dispatchJob{
		queueEntry: queueEntry{
			rank: m.Rank, arrived: n.now.Add(-m.Waited), latestOnTime: n.now.Add(m.OnTime), callerDeadline: n.now.Add(m.Patience), objective: m.Objective,
		},
		key: key, group: m.Group, prompt: m.Prompt, expected: m.Expected, promptKey: m.PromptKey, attempt: m.Attempt, firstArrived: n.now, sentBefore: m.Again, avoid: SetOf(m.Avoid...), version: m.Version, maxPause: m.MaxPause,
		waiting: true, addedAt: n.now, tenant: m.Tenant, usage: m.Usage, charged: m.Charged,
	}
	d.recordLimitDemand(n, j.group)
	c := n.roles.costsOf(j.group)
	j.memory = c.outputs.expectedMemory(n, m.Prompt, m.Expected, m.MaxOutput)
	j.lengthPenalty = c.lengthPenaltyOf(n, j.memory-j.prompt, m.Objective)
	returning := d.recogniseReturning(n, j, m)
	shares := d.sharesOf(n, j.group)
	if shares != nil {
		shares.arrive(n, j, first && !returning)
	}
	if !j.late(n.now) && !j.sentBefore {
		getOrCreate(d.onTimeArrivals, j.group).record(n.now)
	}
	if cause, why := d.rejectsArrival(n, j, shares != nil); cause != NoCause {
		d.logRejection(n, j, cause, why)
		d.reject(n, j)
		return
	}
	d.jobs[key] = j
	d.queue = append(d.queue, j)
	d.placeWaiting(n)
	j.queued = j.waiting
	if shares != nil && j.waiting && d.jobs[key] == j {
		d.displace(n, shares, j)
	}
	if j.waiting && d.jobs[key] == j {
		n.send(from, ForwardQueued{ID: m.ID})
	}
}

// rejectsArrival returns why a job is rejected when it arrives; NoCause if it is not. In a
// divided group, jobs that cannot expect a place are found once they are queued.
func (d *dispatcher) rejectsArrival(n *Node, j *dispatchJob, divided bool) (cause TurnAwayCause, why string) {
	if divided && len(n.forward.upstreams.limited) == 0 {
		return NoCause, ""
	}
	before, rate := d.prospects(n, j)
	if why, exceeds := d.exceedsLimits(n, j, before); exceeds {
		return ExceedsLimits, why
	}
	if !divided && !j.sentBefore && n.uses(EarlyRefusal) && exceedsDeadline(n.now, j.queueEntry, before, rate) {
		return ExceedsDeadline, fmt.Sprintf("exceeds deadline: %d before it at %.1f/s", before, rate)
	}
	return NoCause, ""
}

// recogniseReturning handles a caller who retries after a rejection: whether
// its request is on time counts from when it first arrived. The caller's
// deadline does not show this, because callers differ in how long they wait. It reports whether
// the caller is one.
func (d *dispatcher) recogniseReturning(n *Node, j *dispatchJob, m PlaceForward) bool {
	first, ok := d.rejectedPrompts[m.PromptKey]
	if !ok || m.PromptKey == 0 || !n.uses(KnownReturners) {
		return false
	}
	delete(d.rejectedPrompts, m.PromptKey)
	j.firstArrived = first
	j.latestOnTime = j.latestOnTime.Add(-n.now.Sub(first))
	return true
}

// logRejection logs why a job is rejected.
func (d *dispatcher) logRejection(n *Node, j *dispatchJob, cause TurnAwayCause, why string) {
	n.do(LogDecision{Decision: Decision{
		At: n.now, Node: n.Self.ID, Step: "turn-away", Request: RequestID(j.attempt), Profile: ProfileID(j.group.Service),
		Reason: NoCapacity, Cause: cause, Customer: CustomerID(j.tenant), Rank: j.rank, Waited: n.now.Sub(j.arrived), Slack: j.latestOnTime.Sub(j.arrived),
		Detail: why + ", entry " + string(j.key.node), Version: n.forward.state.Version,
	}})
}

// reject notifies the entry that its request is rejected, and remembers the
// prompt so that a retry is recognised.
func (d *dispatcher) reject(n *Node, j *dispatchJob) {
	if j.promptKey != 0 && len(d.rejectedPrompts) < maxRejectedPrompts {
		d.rejectedPrompts[j.promptKey] = j.firstArrived
	}
	n.send(j.key.node, ForwardTurnedAway{ID: j.key.id, RetryAfter: d.retryAfter(n, j)})
	if !j.sentBefore {
		d.refund(n, j)
	}
}

// placeWaiting places waiting jobs in order, as far as engines have room, and
// rejects those that have expired.
func (d *dispatcher) placeWaiting(n *Node) {
	pass := placementPass{full: d.sortQueue(n)}
	rest := d.queue[:0]
	for _, j := range d.queue {
		switch {
		case !j.sentBefore && j.expired(n.now):
			delete(d.jobs, j.key)
			d.logRejection(n, j, NotPlacedInTime, fmt.Sprintf("expired with %d waiting", len(d.queue)))
			d.reject(n, j)
		case !pass.place(n, d, j):
			rest = append(rest, j)
		}
	}
	clear(d.queue[len(rest):])
	d.queue = rest
	if len(d.queue) > 0 && !d.placeScheduled {
		d.placeScheduled = true
		n.afterFunc(d.waitForLimits(n, placeEvery), func(n *Node) {
			d.placeScheduled = false
			d.placeWaiting(n)
		})
	}
}
