package core

import "time"

// jobLife is how long an owner keeps a job that it hears no more of. Streams are
// shorter by far; the entry's death is noticed sooner.
const jobLife = 60 * time.Second

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
	// placed is how many requests it has, for engines with few slots.
	placed int
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

func (d *dispatcher) book(id EngineID) *engineBook { return made(d.books, id) }

func (d *dispatcher) rate(g DispatchGroup) *grants { return made(d.grants, g) }

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
		d.book(j.decode).placed--
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
	d.book(m.Decode).placed++
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
