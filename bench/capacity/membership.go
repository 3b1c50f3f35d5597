package capacity

import (
	"fmt"
	"slices"
	"time"

	"daisyshed.dev/core"
)

// sizes are the fleet sizes at which costs are compared, each with the number
// of regions that the nodes are spread over.
var sizes = []struct{ nodes, regions int }{{8, 1}, {64, 1}, {64, 3}, {410, 6}}

const (
	// warmUp is the time in which a new fleet becomes idle, and window the
	// period over which its usage is measured.
	warmUp = 2 * time.Minute
	window = time.Minute
	// settleBound is the longest wait for all nodes to detect a change.
	settleBound = 2 * time.Minute
)

func caseName(nodes, regions int) string { return fmt.Sprintf("%d nodes, %d regions", nodes, regions) }

// Membership measures the cost of heartbeats, and of the failure and restart of
// a node.
func Membership(seed uint64, emit func(Row)) {
	for _, s := range sizes {
		measureMembership(Report{part: "membership", emit: emit}, seed, s.nodes, s.regions)
	}
}

func measureMembership(r Report, seed uint64, nodes, regions int) {
	c := caseName(nodes, regions)
	before := heap()
	f := idleFleet(seed, nodes, regions)
	r.add(c, "memory per node", float64(heap()-before)/float64(nodes), "B")
	f.Reset()
	f.Run(window)
	baseline := f.Usage.Control()
	f.reportPerNode(r, c, window)
	f.measureNodeFailure(r, c, baseline)
}

// idleFleet returns a fleet in which all nodes have started and nothing changes
// any more. Its VM list has a single upstream, because nodes take a list
// without upstreams for incomplete.
func idleFleet(seed uint64, nodes, regions int) *Fleet {
	f := &Fleet{Seed: seed, Size: nodes, Regions: regions, Upstreams: []core.Upstream{{ID: "ledger-0", Pool: "ledger"}}}
	f.Open()
	f.Run(warmUp)
	return f
}

// reportPerNode reports the mean usage per live node.
func (f *Fleet) reportPerNode(r Report, c string, over time.Duration) {
	n := float64(len(f.live()))
	control := f.Usage.Control()
	r.add(c, "control messages per node", float64(control.Messages)/n/over.Seconds(), "1/s")
	r.add(c, "control bytes per node", float64(control.Bytes)/n/over.Seconds(), "B/s")
	for _, kind := range sortedKinds(f.Usage.Kinds) {
		k := f.Usage.Kinds[kind]
		r.add(c, kind+" bytes per node", float64(k.Bytes)/n/over.Seconds(), "B/s")
		r.add(c, kind+" per node", float64(k.Messages)/n/over.Seconds(), "1/s")
	}
	r.add(c, "processor per node", f.Usage.UpdateTime.Seconds()/n/over.Seconds()*100, "% of a core")
}

func sortedKinds(kinds map[string]Count) []string {
	var names []string
	for kind := range kinds {
		names = append(names, kind)
	}
	slices.Sort(names)
	return names
}

// measureNodeFailure kills a node, restarts it, and reports the traffic beyond
// that of an idle fleet.
func (f *Fleet) measureNodeFailure(r Report, c string, baseline Count) {
	killed := len(f.infos) / 2
	id, region := f.infos[killed].ID, f.infos[killed].Region
	f.Reset()
	began := f.Now()
	f.kill(killed)
	near, _ := f.runUntil(settleBound, func(n *node) bool { return n.info.Region != region || !n.considersLive(id, 0) })
	r.add(c, "time until a death is known in its region", near.Seconds(), "s")
	far, _ := f.runUntil(settleBound, func(n *node) bool { return !n.considersLive(id, 0) })
	r.add(c, "time until a death is known by all", (near + far).Seconds(), "s")
	f.restart(killed)
	start := f.nodes[id].core.Incarnation
	back, _ := f.runUntil(settleBound, func(n *node) bool { return n.info.ID == id || !n.hasMember(id) || n.considersLive(id, start) })
	r.add(c, "time until its return is known by all", back.Seconds(), "s")
	f.Run(window)
	over := f.Now().Sub(began).Seconds()
	extra := float64(f.Usage.Control().Bytes) - float64(baseline.Bytes)*over/window.Seconds()
	each := extra / float64(len(f.infos)) / 2
	r.add(c, "extra bytes per node and VM change", each, "B")
	r.add(c, "extra bytes per node at the target's churn", each*TargetVMChanges/day.Seconds(), "B/s")
}

// considersLive reports whether the node considers another node alive or
// suspect, with an incarnation of at least start.
func (n *node) considersLive(id core.NodeID, start core.Incarnation) bool {
	for _, m := range n.queryStatus().Members {
		if m.Node.ID == id {
			return (m.Status == core.Alive || m.Status == core.Suspect) && m.Incarnation >= start
		}
	}
	return false
}

// hasMember reports whether another node is in the node's member list.
func (n *node) hasMember(id core.NodeID) bool {
	return slices.ContainsFunc(n.queryStatus().Members, func(m core.MemberStatusEntry) bool { return m.Node.ID == id })
}
