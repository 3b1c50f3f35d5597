package core

import (
	"time"

	"daisyshed.dev/core/fairshare"
)

// jobTTL is how long an owner keeps a job of which it receives no release.
// Streams are much shorter, and the death of an entry is detected sooner.
const jobTTL = 60 * time.Second

// jobKey identifies a request by the node that received it and the id that it
// has there.
type jobKey struct {
	node NodeID
	id   ForwardID
}

// dispatchJob is a request that this node places, for another node or for
// itself.
type dispatchJob struct {
	queueEntry
	key jobKey
	// promptKey identifies the prompt, and firstArrived is when a request with
	// it first arrived.
	promptKey    PromptKey
	firstArrived Instant
	attempt      string
	group        DispatchGroup
	prompt       Tokens
	// expected is the caller's estimate of the output, and memory what the
	// request is expected to need when it ends.
	expected   Tokens
	memory     Tokens
	sentBefore bool
	share      jobShare
	avoid      Set[EngineID]
	// version is the software version that the upstream must have; None for any.
	version Option[SoftwareVersion]
	// decode and prefill are the engines on which the job is allocated.
	decode  EngineID
	prefill EngineID
	waiting bool
	// queued is set once the job has had to wait for a place.
	queued  bool
	addedAt Instant
	// queryAge is the age at which the entry is next asked whether it holds the job.
	queryAge time.Duration
	// placedAt is when the job was placed. prefillIdle says that its prefill
	// engine had no other prompt then.
	placedAt    Instant
	prefillIdle bool
	// maxPause is the longest pause between two events of an answer that is on time; zero
	// if unknown. prefillAtDecode says that the decode engine prefills the prompt itself.
	maxPause        time.Duration
	prefillAtDecode bool
	// tenant is charged with usage units of its cap, by this node or before, if charged is set.
	tenant  TenantID
	usage   Tokens
	charged bool
}

// engineAllocation is what an owner has allocated on one engine.
type engineAllocation struct {
	memory        Tokens
	prefillTokens Tokens
	// requests is the number of requests on the engine, for engines with few
	// slots.
	requests int
	// prefillUntil is until when the engine, which decodes, prefills no further prompt
	// itself.
	prefillUntil Instant
	// deniedUntil is until when the engine counts as full although the
	// allocation table shows room, because it denied a lease.
	deniedUntil Instant
}

// dispatcher places requests on the engines of the groups that this node owns.
// Its allocation table is exact for what it placed itself. Requests that other
// nodes placed show only as denied leases, because each engine decides itself
// whether to grant a lease.
type dispatcher struct {
	jobs        map[jobKey]*dispatchJob
	queue       []*dispatchJob
	allocations map[EngineID]*engineAllocation
	placements  map[DispatchGroup]*placementRate
	// rejectedPrompts holds when the prompts of rejected requests first
	// arrived, so that callers who retry are recognised.
	rejectedPrompts map[PromptKey]Instant
	// onTimeArrivals holds each group's rate of requests that arrived in time, and
	// returns when its rejected callers are told to return.
	onTimeArrivals map[DispatchGroup]*placementRate
	returns        map[DispatchGroup]*returnSchedule
	placeScheduled bool
	// counters are the virtual token counters of tenants, and shares the division of groups
	// whose room is divided.
	counters fairshare.Counters
	shares   map[DispatchGroup]*groupShares
	// placers holds the nodes that place requests on the groups with limited upstreams.
	placers map[DispatchGroup]*limitPlacers
	// failedAt are the upstreams at which a node has failed since its last success.
	failedAt map[NodeID]map[EngineID]Instant
}

func (d *dispatcher) start(n *Node) {
	d.jobs = map[jobKey]*dispatchJob{}
	d.allocations = map[EngineID]*engineAllocation{}
	d.placements = map[DispatchGroup]*placementRate{}
	d.rejectedPrompts = map[PromptKey]Instant{}
	d.onTimeArrivals = map[DispatchGroup]*placementRate{}
	d.returns = map[DispatchGroup]*returnSchedule{}
	d.shares = map[DispatchGroup]*groupShares{}
	d.placers = map[DispatchGroup]*limitPlacers{}
	d.failedAt = map[NodeID]map[EngineID]Instant{}
	n.every(jobTTL/4, func(n *Node) { d.evictStale(n) })
	n.every(queryCheckEvery, func(n *Node) { d.queryPlacements(n) })
}

func (d *dispatcher) allocation(id EngineID) *engineAllocation { return getOrCreate(d.allocations, id) }

// allocationOf returns the allocation of an upstream without a map lookup, because all
// engines of a group are scanned for each placement.
func (d *dispatcher) allocationOf(u *upstream) *engineAllocation {
	if u.allocation == nil {
		u.allocation = d.allocation(u.ID)
	}
	return u.allocation
}

func (d *dispatcher) placementsOf(g DispatchGroup) *placementRate {
	return getOrCreate(d.placements, g)
}

// handleDenied handles the report that an engine denied a lease for a job that this
// node placed there. One that gave no usable answer counts as failing: a dead engine
// holds nothing, and would be the first choice again and again.
func (d *dispatcher) handleDenied(n *Node, from NodeID, m ForwardDenied) {
	u, listed := n.forward.upstreams.byID[m.Engine]
	if !m.Failed || from == n.Self.ID || listed && d.recordReportedFailure(n, from, u) {
		d.allocation(m.Engine).deniedUntil = n.now.Add(n.jitter(deniedFor))
	}
	if j, ok := d.jobs[jobKey{node: from, id: m.ID}]; ok {
		if s, ok := d.shares[j.group]; ok {
			s.refund(n, j)
		}
	}
	d.handleReleased(n, from, ForwardReleased{ID: m.ID})
}

// handlePrefillDone handles the report that a prefill engine has finished a prompt or
// failed. A dead one would otherwise get a prompt each time its backlog is released.
func (d *dispatcher) handlePrefillDone(n *Node, from NodeID, m ForwardPromptRead) {
	if j, ok := d.jobs[jobKey{node: from, id: m.ID}]; ok {
		u, listed := n.forward.upstreams.byID[j.prefill]
		if decode, ok := n.forward.upstreams.byID[j.decode]; ok && !m.Failed {
			d.recordReportedSuccess(n, from, decode)
		}
		switch {
		case m.Failed && listed && from != n.Self.ID:
			d.recordReportedFailure(n, from, u)
		case !m.Failed && j.prefillIdle && j.prefill != "":
			n.roles.costsOf(j.group).observePrefill(j.prompt, n.now.Sub(j.placedAt))
		}
		d.releasePrefill(j)
		d.placeWaiting(n)
	}
}

func (d *dispatcher) releasePrefill(j *dispatchJob) {
	if j.prefill != "" {
		d.allocation(j.prefill).prefillTokens -= j.prompt
		j.prefill = ""
	}
}

// handleReleased handles the report that a request holds nothing any more.
func (d *dispatcher) handleReleased(n *Node, from NodeID, m ForwardReleased) {
	n.usage.cancel(jobKey{node: from, id: m.ID})
	if j, ok := d.jobs[jobKey{node: from, id: m.ID}]; ok {
		if m.NotRun {
			d.refund(n, j)
		}
		d.recordOutcome(n, from, j, m.Outcome)
		d.recordCost(n, j, m.Output)
		d.remove(n, j)
		d.placeWaiting(n)
	}
}

// recordOutcome records how another node's run went at an upstream. This node's
// own runs are recorded as they end.
func (d *dispatcher) recordOutcome(n *Node, from NodeID, j *dispatchJob, outcome RunOutcome) {
	u, ok := n.forward.upstreams.byID[j.decode]
	if !ok || from == n.Self.ID {
		return
	}
	switch outcome {
	case RunFailed:
		d.recordReportedFailure(n, from, u)
	case RunSucceeded:
		d.recordReportedSuccess(n, from, u)
		fallthrough
	default:
		u.recordOutcome(n, outcome)
	}
}

// recordCost records how long a job occupied its engine or slot, if it got as
// far as a run.
func (d *dispatcher) recordCost(n *Node, j *dispatchJob, output Tokens) {
	if j.decode == "" || j.placedAt == 0 || j.prefill != "" || j.prefillAtDecode {
		return
	}
	c, held := n.roles.costsOf(j.group), n.now.Sub(j.placedAt)
	if _, generates := n.forward.state.Services[j.group.Service].Engine.Get(); generates {
		if output > 0 {
			c.observeOutput(output, held)
			c.outputs.observe(j.expected, output)
		}
		return
	}
	if u, ok := n.forward.upstreams.byID[j.decode]; ok {
		c.observeHold(1/float64(max(plainCapacity(u), 1)), held)
	}
}

// remove removes a job from the allocation table and the queue.
func (d *dispatcher) remove(n *Node, j *dispatchJob) {
	delete(d.jobs, j.key)
	d.releasePrefill(j)
	if j.decode != "" {
		d.allocation(j.decode).memory -= j.memory
		d.allocation(j.decode).requests--
		j.decode = ""
		if s, ok := d.shares[j.group]; ok {
			s.release(n, j)
		}
	}
	if j.waiting {
		rest := d.queue[:0]
		for _, q := range d.queue {
			if q != j {
				rest = append(rest, q)
			}
		}
		clear(d.queue[len(rest):])
		d.queue = rest
	}
}

// handleHeld adds a request that an earlier owner placed to the allocation table, with
// the memory that it holds.
func (d *dispatcher) handleHeld(n *Node, from NodeID, m ForwardHeld) {
	key := jobKey{node: from, id: m.ID}
	if _, ok := d.jobs[key]; ok {
		return
	}
	j := &dispatchJob{key: key, group: m.Group, memory: m.Memory, decode: m.Decode, addedAt: n.now}
	d.jobs[key] = j
	if s := d.sharesOf(n, m.Group); s != nil {
		s.hold(j)
	}
	d.allocation(m.Decode).memory += m.Memory
	d.allocation(m.Decode).requests++
}

// memberDied removes the jobs of a node that died or restarted.
func (d *dispatcher) memberDied(n *Node, id NodeID) {
	delete(d.failedAt, id)
	for key, j := range d.jobs {
		if key.node == id {
			d.remove(n, j)
		}
	}
	d.placeWaiting(n)
}

// evictStale removes jobs that were not released within jobTTL, and prompts
// whose callers did not retry within it.
func (d *dispatcher) evictStale(n *Node) {
	for _, j := range d.jobs {
		if n.now.Sub(j.addedAt) > jobTTL {
			d.remove(n, j)
		}
	}
	for key, first := range d.rejectedPrompts {
		if n.now.Sub(first) > jobTTL {
			delete(d.rejectedPrompts, key)
		}
	}
}

// memberDied releases everything that an incarnation of a node held.
func (n *Node) memberDied(id NodeID, incarnation Incarnation) {
	n.owner.memberDied(n, id, incarnation)
	if n.Hosted {
		n.dispatcher.memberDied(n, id)
		n.forward.keeperDied(id)
	}
}
