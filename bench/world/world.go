package world

import (
	"math/rand/v2"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/standin/engine"
	"daisyshed.dev/standin/platform"
	"daisyshed.dev/wire/vmlist"
)

// World is a set of nodes, engines, plain services and callers on one virtual
// clock. Exported fields are set before Open.
type World struct {
	// Seed makes the run repeatable.
	Seed uint64
	// Nodes are the entry VMs, Engines the engines and Services the plain
	// services, by their descriptions.
	Nodes    []core.NodeInfo
	Engines  []EngineSpec
	Services []ServiceSpec
	// Profiles and Pools are in force from the start.
	Profiles []core.Profile
	Pools    []core.Pool
	// Policy and Settings are those of every node.
	Policy   core.Policy
	Settings core.Settings
	// LinkDelay is the time one way between two failure domains, and
	// CallerDelay that between a caller and a node.
	LinkDelay   time.Duration
	CallerDelay time.Duration
	// ClockSpread bounds how far the rates of the nodes' clocks are from one.
	ClockSpread float64
	// LogDelay is the time that the log takes for an answer.
	LogDelay time.Duration
	// PeerSize, if set, returns the bytes of a message between nodes.
	PeerSize func(core.PeerMessage) int
	// Observe, if set, sees each decision.
	Observe func(core.Decision)
	// Parallel, if set, hears of a node that goes on answering a caller which
	// another node has been answering for a while.
	Parallel func(core.NodeID, *Caller)

	// Now is the virtual time, Steps the number of events carried out.
	Now   core.Instant
	Steps uint64
	// Updates counts calls of the nodes' cores, and UpdateTime the processor
	// time spent in them where MeasureTime is set.
	Updates     uint64
	UpdateTime  time.Duration
	MeasureTime bool
	// Violations are those that the nodes reported.
	Violations []Violation
	// ControlBytes counts what nodes sent each other, by kind of message.
	ControlBytes map[string]uint64

	queue    events
	order    uint64
	rng      *rand.Rand
	nodes    map[core.NodeID]*node
	engines  map[core.EngineID]*engineRunner
	services map[core.EngineID]*service
	log      platform.Log
	vms      platform.VMs
	cuts     map[cut]bool
	// records are those of the configuration stream, withdrawn the pools
	// withdrawn there.
	records   []core.LogRecord
	withdrawn map[core.PoolID]core.Instant
	loss      float64
	dup       float64
}

// EngineSpec describes one engine.
type EngineSpec struct {
	Upstream core.Upstream
	Settings engine.Settings
}

// ServiceSpec describes one plain service.
type ServiceSpec struct {
	Upstream core.Upstream
	// Time is how long a call takes.
	Time time.Duration
}

// Violation is an invariant that a node found broken.
type Violation struct {
	At   core.Instant
	Node core.NodeID
	core.Violation
}

// cut is a direction in which nothing arrives.
type cut struct{ from, to core.NodeID }

// retention is how long the world's log keeps records.
const retention = 24 * time.Hour

// Open starts the nodes and engines. The closing function frees nothing that
// outlives the process; it is there for runtimes with real resources.
func (w *World) Open() {
	w.Now = Start
	w.rng = rand.New(rand.NewPCG(w.Seed, 1))
	w.nodes = make(map[core.NodeID]*node)
	w.engines = make(map[core.EngineID]*engineRunner)
	w.services = make(map[core.EngineID]*service)
	w.withdrawn = make(map[core.PoolID]core.Instant)
	w.cuts = make(map[cut]bool)
	w.ControlBytes = make(map[string]uint64)
	w.log = platform.Log{Retention: retention}
	w.vms = platform.VMs{Listed: w.vmList()}
	w.publishAll()
	for _, e := range w.Engines {
		w.openEngine(e)
	}
	for _, s := range w.Services {
		w.services[s.Upstream.ID] = &service{spec: s}
	}
	for _, n := range w.Nodes {
		w.StartNode(n)
	}
}

func (w *World) vmList() []vmlist.VM {
	var vms []vmlist.VM
	for _, n := range w.Nodes {
		vms = append(vms, nodeVM(n))
	}
	for _, e := range w.Engines {
		vms = append(vms, upstreamVM(e.Upstream, "Engine"))
	}
	for _, s := range w.Services {
		vms = append(vms, upstreamVM(s.Upstream, "Service"))
	}
	return vms
}

func nodeVM(n core.NodeInfo) vmlist.VM {
	return vmlist.VM{
		ID: string(n.ID), Kind: "Entry", Domain: string(n.Domain), Region: string(n.Region),
		Address: n.PeerAddress, CallerAddress: n.CallerAddress, State: liveOrLeaving(n.Leaving),
	}
}

func upstreamVM(u core.Upstream, kind string) vmlist.VM {
	return vmlist.VM{
		ID: string(u.ID), Kind: kind, Pool: string(u.Pool), Domain: string(u.Domain), Region: string(u.Region),
		Address: string(u.ID), State: liveOrLeaving(u.Leaving),
	}
}

func liveOrLeaving(leaving bool) string {
	if leaving {
		return "Leaving"
	}
	return "Live"
}

// publishAll puts the profiles and pools into the log.
func (w *World) publishAll() {
	for _, p := range w.Pools {
		w.Publish(core.PoolPublished{Publication: core.PublicationID("pool-" + string(p.ID)), Operator: "world", Pool: p})
	}
	for _, p := range w.Profiles {
		w.Publish(core.ProfilePublished{Publication: core.PublicationID("profile-" + string(p.ID)), Operator: "world", Profile: p})
	}
}
