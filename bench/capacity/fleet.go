package capacity

import (
	"fmt"
	"time"

	"daisyshed.dev/bench/world"
	"daisyshed.dev/core"
)

const (
	// linkDelay is the time one way between two failure domains, and
	// regionDelay that between two regions.
	linkDelay   = 500 * time.Microsecond
	regionDelay = 20 * time.Millisecond
	// logDelay is the time that the log and the VM list take for an answer.
	logDelay = 5 * time.Millisecond
	// mostDomains is the number of failure domains of the first largeRegions
	// regions; the others have one less, so that six regions have 22.
	mostDomains  = 4
	largeRegions = 4
)

// Fleet drives the real cores of many nodes on one virtual clock. Exported
// fields are set before Open.
type Fleet struct {
	// Seed makes the run repeatable.
	Seed uint64
	// Size is the number of nodes, spread over Regions regions.
	Size    int
	Regions int
	// Upstreams are what the VM list shows beside the nodes.
	Upstreams []core.Upstream
	// Roles gives the roles of pools.
	Roles map[core.PoolID]core.Role
	// Settings are those of every node.
	Settings core.Settings

	// Usage adds up what the nodes did since the last Reset.
	Usage Usage

	infos   []core.NodeInfo
	clock   world.World
	nodes   map[core.NodeID]*node
	log     map[core.StreamID]*stream
	engines map[core.EngineID]*engine
	parted  core.RegionID
	// listSize is the size of the VM list, once it was worked out.
	listSize int
	// answered counts the answers to plain calls that ran.
	answered int
}

// Open starts all nodes.
func (f *Fleet) Open() {
	f.clock.Now = world.Start
	f.nodes = make(map[core.NodeID]*node)
	f.log = make(map[core.StreamID]*stream)
	f.engines = make(map[core.EngineID]*engine)
	f.Usage = newUsage()
	for i := range f.Size {
		f.infos = append(f.infos, nodeInfo(i, f.Regions))
	}
	for _, u := range f.Upstreams {
		f.engines[u.ID] = &engine{upstream: u, role: f.Roles[u.Pool]}
	}
	for i, info := range f.infos {
		f.clock.After(time.Duration(i)*time.Millisecond, func() { f.start(info) })
	}
}

func nodeInfo(i, regions int) core.NodeInfo {
	number := i % regions
	region := core.RegionID(fmt.Sprintf("region-%d", number))
	domains := mostDomains
	if number >= largeRegions {
		domains--
	}
	return core.NodeInfo{
		ID:            core.NodeID(fmt.Sprintf("entry-%03d", i)),
		Region:        region,
		Domain:        core.DomainID(fmt.Sprintf("%s-%d", region, i/regions%domains)),
		PeerAddress:   fmt.Sprintf("10.%d.%d.%d:7400", i%regions, i>>8, i&255),
		CallerAddress: fmt.Sprintf("10.%d.%d.%d:7300", i%regions, i>>8, i&255),
	}
}

// Run lets virtual time pass.
func (f *Fleet) Run(d time.Duration) { f.clock.Run(f.clock.Now.Add(d).Sub(world.Start)) }

// Now returns the virtual time.
func (f *Fleet) Now() core.Instant { return f.clock.Now }

// Reset starts to count anew.
func (f *Fleet) Reset() { f.Usage = newUsage() }

func (f *Fleet) start(info core.NodeInfo) {
	n := &node{fleet: f, info: info, core: &core.Node{
		Self:        info,
		Incarnation: core.Incarnation(f.clock.Now),
		Seed:        f.Seed ^ hash(string(info.ID)),
		Settings:    f.Settings,
	}}
	f.nodes[info.ID] = n
	n.receive(core.VMList{Nodes: f.infos, Upstreams: f.Upstreams})
}

func hash(s string) uint64 {
	h := uint64(14695981039346656037)
	for _, c := range []byte(s) {
		h = (h ^ uint64(c)) * 1099511628211
	}
	return h
}

// live returns the running nodes in the order of their numbers.
func (f *Fleet) live() []*node {
	var nodes []*node
	for _, info := range f.infos {
		if n, ok := f.nodes[info.ID]; ok && !n.stopped {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// kill ends the nodes numbered.
func (f *Fleet) kill(numbers ...int) {
	for _, i := range numbers {
		f.nodes[f.infos[i].ID].stopped = true
	}
}

// restart starts nodes again.
func (f *Fleet) restart(numbers ...int) {
	for _, i := range numbers {
		f.start(f.infos[i])
	}
}

// until runs in small steps until all live nodes satisfy a condition, and
// returns the time that took, or false once the bound has passed.
func (f *Fleet) until(bound time.Duration, holds func(*node) bool) (time.Duration, bool) {
	began := f.clock.Now
	for f.clock.Now.Sub(began) < bound {
		if f.all(holds) {
			return f.clock.Now.Sub(began), true
		}
		f.Run(untilStep)
	}
	return bound, f.all(holds)
}

// untilStep is the resolution of measured times.
const untilStep = 50 * time.Millisecond

func (f *Fleet) all(holds func(*node) bool) bool {
	for _, n := range f.live() {
		if !holds(n) {
			return false
		}
	}
	return true
}

func (f *Fleet) delay(from, to core.NodeInfo) time.Duration {
	if from.Region != to.Region {
		return regionDelay
	}
	return linkDelay
}

// cut reports whether a link is cut.
func (f *Fleet) cut(from, to core.NodeInfo) bool {
	return f.parted != "" && from.Region != to.Region && (from.Region == f.parted || to.Region == f.parted)
}
