package core

import (
	"fmt"
	"time"
)

const (
	// maxTurned bounds the prompts of refused callers that are remembered.
	maxTurned = 4096
	// deniedFor is how long an engine counts as full for its owner after it
	// denied a lease: somebody unknown holds memory there.
	deniedFor = 250 * time.Millisecond
)

// place takes in a request: it is placed, queued, or turned away at once if it
// would wait in vain.
func (d *dispatcher) place(n *Node, from NodeID, m PlaceForward) {
	key := jobKey{node: from, id: m.ID}
	if old, ok := d.jobs[key]; ok {
		d.drop(n, old)
	}
	j := &dispatchJob{
		queueEntry: queueEntry{
			rank: m.Rank, arrived: n.now.Add(-m.Waited), onTimeBy: n.now.Add(m.OnTime), goneBy: n.now.Add(m.Patience), objective: m.Objective,
		},
		key: key, group: m.Group, prompt: m.Prompt, expected: m.Expected, prompted: m.Prompted, attempt: m.Attempt, first: n.now, again: m.Again, avoid: SetOf(m.Avoid...),
		waiting: true, since: n.now,
	}
	c := n.roles.cost(j.group)
	j.memory = c.outputs.reserve(n, m.Prompt, m.Expected, m.MaxOutput)
	j.setBack = c.setBack(n, j.memory-j.prompt, m.Objective)
	d.recognise(n, j, m)
	before := ahead(n.now, d.queue, j.queueEntry, func(q *dispatchJob) bool { return q.group == j.group })
	rate := d.capacity(n, j.group)
	if !j.again && n.uses(EarlyRefusal) && hopeless(n.now, j.queueEntry, before, rate) {
		d.log(n, j, fmt.Sprintf("hopeless: %d before it at %.1f/s, entry %s", before, rate, from))
		d.turnAway(n, j)
		return
	}
	d.jobs[key] = j
	d.queue = append(d.queue, j)
	d.pump(n)
	if j.waiting && d.jobs[key] == j {
		n.send(from, ForwardQueued{ID: m.ID})
	}
}

// recognise counts a request that was turned away before from when it first
// came. Its caller's deadline does not tell, since callers wait differently
// long.
func (d *dispatcher) recognise(n *Node, j *dispatchJob, m PlaceForward) {
	first, ok := d.turned[m.Prompted]
	if !ok || m.Prompted == 0 || !n.uses(KnownReturners) {
		return
	}
	delete(d.turned, m.Prompted)
	j.first = first
	j.onTimeBy = j.onTimeBy.Add(-n.now.Sub(first))
}

// log notes why a job is turned away.
func (d *dispatcher) log(n *Node, j *dispatchJob, why string) {
	n.do(LogDecision{Decision: Decision{
		At: n.now, Node: n.Self.ID, Step: "turn-away", Request: RequestID(j.attempt), Profile: ProfileID(j.group.Service),
		Reason: NoCapacity, Waited: n.now.Sub(j.arrived), Slack: j.onTimeBy.Sub(j.arrived), Detail: why,
		Version: n.forward.state.Version,
	}})
}

// turnAway refuses a job.
func (d *dispatcher) turnAway(n *Node, j *dispatchJob) {
	if j.prompted != 0 && len(d.turned) < maxTurned {
		d.turned[j.prompted] = j.first
	}
	n.send(j.key.node, ForwardTurnedAway{ID: j.key.id})
}

// pump places waiting jobs in order, as far as engines have memory.
func (d *dispatcher) pump(n *Node) {
	sortWaiting(n.now, d.queue)
	rest := d.queue[:0]
	for _, j := range d.queue {
		switch {
		case !j.again && j.expired(n.now):
			delete(d.jobs, j.key)
			d.log(n, j, fmt.Sprintf("expired with %d waiting, entry %s", len(d.queue), j.key.node))
			d.turnAway(n, j)
		case !d.assign(n, j):
			rest = append(rest, j)
		}
	}
	clear(d.queue[len(rest):])
	d.queue = rest
	if len(d.queue) > 0 && !d.pumpDue {
		d.pumpDue = true
		n.afterFunc(pumpEvery, func(n *Node) {
			d.pumpDue = false
			d.pump(n)
		})
	}
}
