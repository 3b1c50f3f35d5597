package capacity

import (
	"time"

	"daisyshed.dev/core"
)

// Failure measures the loss of a failure domain, and a network partition that
// separates one region.
func Failure(seed uint64, emit func(Row)) {
	r := Report{part: "failure", emit: emit}
	measureDomainLoss(r, seed, TargetNodes, TargetRegions)
	measurePartition(r, seed, 64, 3, time.Hour)
	measurePartition(r, seed, TargetNodes, TargetRegions, 5*time.Minute)
}

// measureDomainLoss kills all nodes of one failure domain at once and measures
// how long the other nodes take to detect it.
func measureDomainLoss(r Report, seed uint64, nodes, regions int) {
	c := caseName(nodes, regions)
	f := idleFleet(seed, nodes, regions)
	region, lost := f.infos[regions-1].Region, f.infos[regions-1].Domain
	var numbers []int
	lostNodes := core.SetOf[core.NodeID]()
	for i, info := range f.infos {
		if info.Domain == lost {
			numbers = append(numbers, i)
			lostNodes.Add(info.ID)
		}
	}
	f.Reset()
	f.kill(numbers...)
	near, _ := f.runUntil(settleBound, func(n *node) bool { return n.info.Region != region || !n.considersAnyLive(lostNodes) })
	far, _ := f.runUntil(settleBound, func(n *node) bool { return !n.considersAnyLive(lostNodes) })
	known := near + far
	r.add(c, "nodes lost with a failure domain", float64(len(numbers)), "nodes")
	r.add(c, "time until the loss is known in its region", near.Seconds(), "s")
	r.add(c, "time until the loss is known by all", known.Seconds(), "s")
	n := float64(len(f.live()))
	control := f.Usage.Control()
	r.add(c, "control bytes per node meanwhile", float64(control.Bytes)/n/known.Seconds(), "B/s")
	r.add(c, "processor per node meanwhile", f.Usage.UpdateTime.Seconds()/n/known.Seconds()*100, "% of a core")
}

// considersAnyLive reports whether the node considers any of the given nodes
// alive or suspect.
func (n *node) considersAnyLive(ids core.Set[core.NodeID]) bool {
	for _, m := range n.queryStatus().Members {
		if ids.Has(m.Node.ID) && (m.Status == core.Alive || m.Status == core.Suspect) {
			return true
		}
	}
	return false
}

// measurePartition cuts one region off from all others for a time, then
// restores its links and measures how long the fleet takes to recover.
func measurePartition(r Report, seed uint64, nodes, regions int, d time.Duration) {
	c := caseName(nodes, regions) + ", cut for " + d.String()
	f := idleFleet(seed, nodes, regions)
	f.Reset()
	f.partitioned = f.infos[0].Region
	f.Run(d)
	f.reportPerNode(r, c, d)
	f.partitioned = ""
	f.Reset()
	back, reached := f.runUntil(2*time.Minute, func(n *node) bool { return n.regions() == regions })
	r.add(c, "time until every node sees every region again", back.Seconds(), "s")
	if !reached {
		r.add(c, "bound reached before every node sees every region", 1, "")
	}
}

// regions returns the number of regions in which the node knows a live node,
// its own included.
func (n *node) regions() int {
	seen := core.SetOf(n.info.Region)
	for _, m := range n.queryStatus().Members {
		if m.Status == core.Alive {
			seen.Add(m.Node.Region)
		}
	}
	return len(seen)
}
