package capacity

import (
	"fmt"
	"time"

	"daisyshed.dev/bench/world"
	"daisyshed.dev/core"
)

const (
	// linkDelay is the one-way delay between two nodes of one region, and
	// regionDelay that between two regions.
	linkDelay   = 500 * time.Microsecond
	regionDelay = 20 * time.Millisecond
	// logDelay is the time that the log and the VM list take to answer.
	logDelay = 5 * time.Millisecond
	// maxDomains is the number of failure domains in each of the first
	// largeRegions regions; the others have one less, so that six regions have
	// 22.
	maxDomains   = 4
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
	// Upstreams are the upstreams in the VM list.
	Upstreams []core.Upstream
	// Roles maps pools to the roles of their engines.
	Roles map[core.PoolID]core.Role
	// Settings are the settings of every node.
	Settings core.Settings

	// Usage counts what the nodes have done since the last Reset.
	Usage Usage

	infos   []core.NodeInfo
	clock   world.World
	nodes   map[core.NodeID]*node
	log     map[core.StreamID]*stream
	engines map[core.EngineID]*engine
	// partitioned is the region that is cut off from all others, if any.
	partitioned core.RegionID
	// listSize is the encoded size of the VM list, or zero until it is computed.
	listSize int
	// answered counts the calls whose answer says that they ran.
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
	domains := maxDomains
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

// Run advances virtual time.
func (f *Fleet) Run(d time.Duration) { f.clock.Run(f.clock.Now.Add(d).Sub(world.Start)) }

// Now returns the virtual time.
func (f *Fleet) Now() core.Instant { return f.clock.Now }

// Reset clears Usage.
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

// hash returns the 64-bit FNV-1a hash of a string.
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

// kill stops the nodes with the given numbers without a shutdown.
func (f *Fleet) kill(numbers ...int) {
	for _, i := range numbers {
		f.nodes[f.infos[i].ID].stopped = true
	}
}

// restart starts the nodes with the given numbers again, with new incarnations.
func (f *Fleet) restart(numbers ...int) {
	for _, i := range numbers {
		f.start(f.infos[i])
	}
}

// runUntil advances virtual time in small steps until all live nodes satisfy
// the condition. It returns the time that this took; once the bound has passed,
// it returns the bound and whether the condition is satisfied then.
func (f *Fleet) runUntil(bound time.Duration, condition func(*node) bool) (time.Duration, bool) {
	began := f.clock.Now
	for f.clock.Now.Sub(began) < bound {
		if f.allLive(condition) {
			return f.clock.Now.Sub(began), true
		}
		f.Run(untilStep)
	}
	return bound, f.allLive(condition)
}

// untilStep is the resolution of measured times.
const untilStep = 50 * time.Millisecond

// allLive reports whether all live nodes satisfy the condition.
func (f *Fleet) allLive(condition func(*node) bool) bool {
	for _, n := range f.live() {
		if !condition(n) {
			return false
		}
	}
	return true
}

// delay returns the one-way delay between two nodes.
func (f *Fleet) delay(from, to core.NodeInfo) time.Duration {
	if from.Region != to.Region {
		return regionDelay
	}
	return linkDelay
}

// linkCut reports whether the partition cuts the link between two nodes.
func (f *Fleet) linkCut(from, to core.NodeInfo) bool {
	return f.partitioned != "" && from.Region != to.Region && (from.Region == f.partitioned || to.Region == f.partitioned)
}
