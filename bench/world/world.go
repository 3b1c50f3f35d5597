package world

import (
	"math/rand/v2"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/standin/engine"
	"daisyshed.dev/standin/platform"
	"daisyshed.dev/wire/vmlist"
)

// World is a set of nodes, engines, plain services and callers with a common
// virtual time. The exported fields before Now are set before Open.
type World struct {
	// Seed determines all random choices, so that a run can be repeated.
	Seed uint64
	// Nodes, Engines and Services describe the entry nodes, the engines and the
	// plain services.
	Nodes    []core.NodeInfo
	Engines  []EngineSpec
	Services []ServiceSpec
	// Profiles and Pools are published before the nodes start.
	Profiles []core.Profile
	Pools    []core.Pool
	// Policy and Settings apply to every node.
	Policy   core.Policy
	Settings core.Settings
	// LinkDelay is the one-way delay between two nodes and between a node and an
	// upstream, and CallerDelay that between a caller and a node.
	LinkDelay   time.Duration
	CallerDelay time.Duration
	// ClockSpread bounds how far the rates of the nodes' clocks deviate from one.
	ClockSpread float64
	// LogDelay is the response time of the log and of the VM list.
	LogDelay time.Duration
	// PeerSize, if set, returns the encoded size of a message between nodes. It is
	// needed for ControlBytes.
	PeerSize func(core.PeerMessage) int
	// ObserveDecision, if set, is called for each decision of a node.
	ObserveDecision func(core.Decision)
	// ObserveParallel, if set, is called for each token that a node sends to a
	// caller which another node has been answering for longer than parallelBound.
	ObserveParallel func(core.NodeID, *Caller)

	// Now is the virtual time, and Steps the number of events executed.
	Now   core.Instant
	Steps uint64
	// Updates counts the messages that the nodes' cores handled. UpdateTime is
	// the wall-clock time spent handling them, measured only if MeasureTime is
	// set.
	Updates     uint64
	UpdateTime  time.Duration
	MeasureTime bool
	// Violations lists the invariants that the nodes reported as broken.
	Violations []Violation
	// ControlBytes counts the bytes that nodes sent each other, by the Go type of
	// the message.
	ControlBytes map[string]uint64

	queue        events
	lastSequence uint64
	rng          *rand.Rand
	nodes        map[core.NodeID]*node
	engines      map[core.EngineID]*engineRunner
	services     map[core.EngineID]*service
	log          platform.Log
	vms          platform.VMs
	cutLinks     map[link]bool
	// configRecords holds the records of the configuration stream, and
	// withdrawnAt when each withdrawn pool was withdrawn there.
	configRecords []core.LogRecord
	withdrawnAt   map[core.PoolID]core.Instant
	loss          float64
	duplication   float64
}

// EngineSpec describes one engine.
type EngineSpec struct {
	Upstream core.Upstream
	Settings engine.Settings
}

// ServiceSpec describes one plain service.
type ServiceSpec struct {
	Upstream core.Upstream
	// Time is how long a call takes at the service.
	Time time.Duration
}

// Violation is a broken invariant that a node reported.
type Violation struct {
	At   core.Instant
	Node core.NodeID
	core.Violation
}

// link is the direction from one node to another.
type link struct{ from, to core.NodeID }

// retention is how long the log keeps records.
const retention = 24 * time.Hour

// Open publishes the configuration and starts the engines, the plain services
// and the nodes. Nothing needs to be closed, because a world holds no resources
// besides memory.
func (w *World) Open() {
	w.Now = Start
	w.rng = rand.New(rand.NewPCG(w.Seed, 1))
	w.nodes = make(map[core.NodeID]*node)
	w.engines = make(map[core.EngineID]*engineRunner)
	w.services = make(map[core.EngineID]*service)
	w.withdrawnAt = make(map[core.PoolID]core.Instant)
	w.cutLinks = make(map[link]bool)
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
		Address: n.PeerAddress, CallerAddress: n.CallerAddress, State: vmState(n.Leaving),
	}
}

func upstreamVM(u core.Upstream, kind string) vmlist.VM {
	return vmlist.VM{
		ID: string(u.ID), Kind: kind, Pool: string(u.Pool), Domain: string(u.Domain), Region: string(u.Region),
		Address: string(u.ID), State: vmState(u.Leaving),
	}
}

func vmState(leaving bool) string {
	if leaving {
		return "Leaving"
	}
	return "Live"
}

// publishAll appends the pools and profiles to the configuration stream.
func (w *World) publishAll() {
	for _, p := range w.Pools {
		w.Publish(core.PoolPublished{Publication: core.PublicationID("pool-" + string(p.ID)), Operator: "world", Pool: p})
	}
	for _, p := range w.Profiles {
		w.Publish(core.ProfilePublished{Publication: core.PublicationID("profile-" + string(p.ID)), Operator: "world", Profile: p})
	}
}
