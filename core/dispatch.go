package core

import (
	"fmt"
	"hash/fnv"
	"math"
	"time"
)

const (
	// groupEngines bounds the engines of one group on average. One owner keeps
	// the books of a group, so this bounds an owner's work, whatever the number
	// of engines and nodes.
	groupEngines = 64
	// askTimeout is how long an entry waits for an owner's first answer. It
	// costs a request that much when the owner has died or stands still.
	askTimeout = 80 * time.Millisecond
	// ownerMuted is how long an owner that did not answer is not asked.
	ownerMuted = 2 * time.Second
	// jobLife is how long an owner keeps a job that it hears no more of. Streams
	// are shorter by far; the entry's death is noticed sooner.
	jobLife = 60 * time.Second
	// readAhead is how much reading may wait at a prefill engine when another
	// prompt is sent there: enough to keep it busy. Prompts beyond it wait with
	// the owner, where the urgent ones go first and no memory is held for them.
	readAhead = 150 * time.Millisecond
	// slotsPerSpare is how many slots of a plain upstream allow one request more.
	slotsPerSpare = 4
	// minSuccess keeps an upstream that failed all its requests from being left
	// out for good.
	minSuccess = 0.01
	// maxTurned bounds the prompts of refused callers that are remembered.
	maxTurned = 4096
	// deniedFor is how long an engine counts as full for its owner after it
	// denied a lease: somebody unknown holds memory there.
	deniedFor = 250 * time.Millisecond
)

// DispatchGroup is a part of a service's engines that one node places for.
type DispatchGroup struct {
	Service ServiceID
	Index   int
}

// PlaceForward asks the owner of a group to place a request. Times are given as
// what is left of them, since nodes do not compare clocks.
type PlaceForward struct {
	ID     ForwardID
	Group  DispatchGroup
	Prompt Tokens
	// Expected is the caller's estimate of the output and MaxOutput its bound.
	Expected  Tokens
	MaxOutput Tokens
	Rank      int
	// OnTime is how long the request may wait and still be on time; negative
	// if it is late already. Patience is how long its caller waits at all.
	OnTime    time.Duration
	Patience  time.Duration
	Objective time.Duration
	// Waited is the time since the request came. One that an engine denied a
	// lease keeps its place in the queue.
	Waited time.Duration
	// Prompted identifies the prompt, to know a caller who comes back.
	Prompted PromptKey
	// Attempt is the caller's id of its attempt, for the owner's log.
	Attempt string
	// Again says that the request has been sent to an engine before, so that
	// it is not refused any more for want of time.
	Again bool
	Avoid []EngineID
}

// ForwardQueued tells an entry that its request waits at the owner.
type ForwardQueued struct{ ID ForwardID }

// ForwardPlaced is an owner's choice of engines. Prefill may be empty. Memory is
// what is to be leased at the decode engine.
type ForwardPlaced struct {
	ID      ForwardID
	Decode  EngineID
	Prefill EngineID
	Memory  Tokens
}

// ForwardTurnedAway is an owner's refusal: the request would wait in vain.
type ForwardTurnedAway struct{ ID ForwardID }

// ForwardDenied tells an owner that an engine denied the lease.
type ForwardDenied struct {
	ID     ForwardID
	Engine EngineID
}

// ForwardPromptRead tells an owner that a prompt has been read.
type ForwardPromptRead struct{ ID ForwardID }

// RunOutcome says how a request's run went, as far as it tells of the upstream.
type RunOutcome int

// The outcomes of runs.
const (
	// RunUnknown tells nothing: the request did not get as far as that, or its
	// caller left.
	RunUnknown RunOutcome = iota
	// RunSucceeded means that the upstream answered.
	RunSucceeded
	// RunErred means that it answered with a failure of its own.
	RunErred
	// RunFailed means that it gave no usable answer.
	RunFailed
)

// ForwardReleased tells an owner that a request holds nothing any more.
type ForwardReleased struct {
	ID      ForwardID
	Outcome RunOutcome
	// Output is the length of a whole answer of a model engine, else zero.
	Output Tokens
}

// ForwardHeld tells a new owner what a request holds at an engine.
type ForwardHeld struct {
	ID     ForwardID
	Group  DispatchGroup
	Decode EngineID
	Memory Tokens
}

func (PlaceForward) isPeerBody()      {}
func (ForwardQueued) isPeerBody()     {}
func (ForwardPlaced) isPeerBody()     {}
func (ForwardTurnedAway) isPeerBody() {}
func (ForwardDenied) isPeerBody()     {}
func (ForwardPromptRead) isPeerBody() {}
func (ForwardReleased) isPeerBody()   {}
func (ForwardHeld) isPeerBody()       {}

// groupsOf returns how many groups a service's engines form.
func (s *forwards) groupsOf(id ServiceID) int {
	return max(1, (len(s.upstreams.byService[id])+groupEngines-1)/groupEngines)
}

// inGroup reports whether an engine belongs to a group.
func (s *forwards) inGroup(g DispatchGroup, id EngineID) bool {
	groups := s.groupsOf(g.Service)
	return groups == 1 || int(hashOf(string(id))%uint64(groups)) == g.Index
}

// groupOwner returns the live node that places for a group: the one with the
// highest score, so that a change of one node moves only its own groups.
func (s *forwards) groupOwner(n *Node, g DispatchGroup) NodeID {
	key := fmt.Sprintf("%s/%d/", g.Service, g.Index)
	best, score := n.Self.ID, hashOf(key+string(n.Self.ID))
	if n.leaving {
		best, score = "", 0
	}
	for id, m := range n.members.byID {
		if !m.serving() || m.status != Alive {
			continue
		}
		if h := hashOf(key + string(id)); h > score || h == score && id < best {
			best, score = id, h
		}
	}
	return best
}

func hashOf(s string) uint64 {
	h := fnv.New64a()
	// A hash takes every write.
	_, _ = h.Write([]byte(s))
	// The last bytes of similar names barely reach fnv's high bits.
	v := h.Sum64()
	v ^= v >> 33
	v *= 0xff51afd7ed558ccd
	return v ^ v>>33
}

// jobKey names a request of a node.
type jobKey struct {
	node NodeID
	id   ForwardID
}

// dispatchJob is a request that this node places for another, or for itself.
type dispatchJob struct {
	queueEntry
	key jobKey
	// prompted identifies the prompt, and first is when a request with it first
	// came.
	prompted PromptKey
	first    Instant
	attempt  string
	group    DispatchGroup
	prompt   Tokens
	// expected is the caller's estimate of the output, and memory what the
	// request is expected to need at its end.
	expected Tokens
	memory   Tokens
	again    bool
	avoid    Set[EngineID]
	// decode and prefill are the engines in whose books the job stands.
	decode  EngineID
	prefill EngineID
	waiting bool
	since   Instant
	// placedAt is when the job was placed, and undisturbed says that its
	// prefill engine had no other prompt then.
	placedAt    Instant
	undisturbed bool
}

// engineBook is what an owner has promised of one engine.
type engineBook struct {
	memory  Tokens
	reading Tokens
	// deniedUntil is until when the engine counts as full although the book
	// says otherwise.
	deniedUntil Instant
}

// dispatcher places requests at the engines of the groups that this node owns.
// Its books are exact for what it placed; what others placed shows in denied
// leases, because an engine itself is the last guard of its memory.
type dispatcher struct {
	jobs   map[jobKey]*dispatchJob
	queue  []*dispatchJob
	books  map[EngineID]*engineBook
	grants map[DispatchGroup]*grants
	// turned holds when prompts first came whose requests were turned away, so
	// that their callers are known when they come back.
	turned  map[PromptKey]Instant
	pumpDue bool
}

func (d *dispatcher) start(n *Node) {
	d.jobs = map[jobKey]*dispatchJob{}
	d.books = map[EngineID]*engineBook{}
	d.grants = map[DispatchGroup]*grants{}
	d.turned = map[PromptKey]Instant{}
	n.every(jobLife/4, func(n *Node) { d.sweep(n) })
}

func (d *dispatcher) book(id EngineID) *engineBook {
	b, ok := d.books[id]
	if !ok {
		b = &engineBook{}
		d.books[id] = b
	}
	return b
}

func (d *dispatcher) rate(g DispatchGroup) *grants {
	r, ok := d.grants[g]
	if !ok {
		r = &grants{}
		d.grants[g] = r
	}
	return r
}

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
	entries := make([]queueEntry, 0, len(d.queue))
	for _, q := range d.queue {
		if q.group == j.group {
			entries = append(entries, q.queueEntry)
		}
	}
	before, rate := ahead(n.now, entries, j.queueEntry), d.capacity(n, j.group)
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
		return n.roles.serves(n, u, Decode) && d.fits(n, u, j.memory, engine.Memory)
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

// denied takes in that an engine denied a lease that this node promised.
func (d *dispatcher) denied(n *Node, from NodeID, m ForwardDenied) {
	d.book(m.Engine).deniedUntil = n.now.Add(n.jitter(deniedFor))
	d.released(n, from, ForwardReleased{ID: m.ID})
}

// promptRead takes in that a prefill engine is done with a prompt.
func (d *dispatcher) promptRead(n *Node, from NodeID, m ForwardPromptRead) {
	if j, ok := d.jobs[jobKey{node: from, id: m.ID}]; ok {
		if j.undisturbed && j.prefill != "" {
			n.roles.cost(j.group).promptRead(j.prompt, n.now.Sub(j.placedAt))
		}
		d.leavePrefill(j)
		d.pump(n)
	}
}

func (d *dispatcher) leavePrefill(j *dispatchJob) {
	if j.prefill != "" {
		d.book(j.prefill).reading -= j.prompt
		j.prefill = ""
	}
}

// released takes in that a request holds nothing any more.
func (d *dispatcher) released(n *Node, from NodeID, m ForwardReleased) {
	if j, ok := d.jobs[jobKey{node: from, id: m.ID}]; ok {
		d.judge(n, from, j, m.Outcome)
		d.measure(n, j, m.Output)
		d.drop(n, j)
		d.pump(n)
	}
}

// judge notes how another node's run went at an upstream; this node's own runs
// are noted as they end.
func (d *dispatcher) judge(n *Node, from NodeID, j *dispatchJob, outcome RunOutcome) {
	u, ok := n.forward.upstreams.byID[j.decode]
	if !ok || from == n.Self.ID {
		return
	}
	u.note(n, outcome)
}

// measure notes what a job cost, if it got as far as a run.
func (d *dispatcher) measure(n *Node, j *dispatchJob, output Tokens) {
	if j.decode == "" || j.placedAt == 0 || j.prefill != "" {
		return
	}
	c, held := n.roles.cost(j.group), n.now.Sub(j.placedAt)
	if _, generates := n.forward.state.Services[j.group.Service].Engine.Get(); generates {
		if output > 0 {
			c.generated(output, held)
			c.outputs.note(j.expected, output)
		}
		return
	}
	if u, ok := n.forward.upstreams.byID[j.decode]; ok {
		c.released(1/float64(max(slotRoom(u), 1)), held)
	}
}

// drop takes a job out of the books and the queue.
func (d *dispatcher) drop(_ *Node, j *dispatchJob) {
	delete(d.jobs, j.key)
	d.leavePrefill(j)
	if j.decode != "" {
		d.book(j.decode).memory -= j.memory
		j.decode = ""
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

// held takes in what a request holds that an earlier owner placed.
func (d *dispatcher) held(n *Node, from NodeID, m ForwardHeld) {
	key := jobKey{node: from, id: m.ID}
	if _, ok := d.jobs[key]; ok {
		return
	}
	d.jobs[key] = &dispatchJob{key: key, group: m.Group, memory: m.Memory, decode: m.Decode, since: n.now}
	d.book(m.Decode).memory += m.Memory
}

// memberDied drops the jobs of a node that died or restarted.
func (d *dispatcher) memberDied(n *Node, id NodeID) {
	for key, j := range d.jobs {
		if key.node == id {
			d.drop(n, j)
		}
	}
	d.pump(n)
}

// sweep drops jobs that nobody has spoken of for too long, and prompts whose
// callers did not come back.
func (d *dispatcher) sweep(n *Node) {
	for _, j := range d.jobs {
		if n.now.Sub(j.since) > jobLife {
			d.drop(n, j)
		}
	}
	for key, first := range d.turned {
		if n.now.Sub(first) > jobLife {
			delete(d.turned, key)
		}
	}
}

// memberDied lets everything that a start of a node held be released.
func (n *Node) memberDied(id NodeID, incarnation Incarnation) {
	n.owner.memberDied(n, id, incarnation)
	if n.Hosted {
		n.dispatcher.memberDied(n, id)
	}
}
