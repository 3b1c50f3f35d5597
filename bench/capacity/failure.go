package capacity

import (
	"time"

	"daisyshed.dev/core"
)

// Failure measures the loss of a failure domain and of the links of a region.
func Failure(seed uint64, emit func(Row)) {
	r := Report{part: "failure", emit: emit}
	domainLoss(r, seed, TargetNodes, TargetRegions)
	regionCut(r, seed, 64, 3, time.Hour)
	regionCut(r, seed, TargetNodes, TargetRegions, 5*time.Minute)
}

// domainLoss kills all nodes of one failure domain at once.
func domainLoss(r Report, seed uint64, nodes, regions int) {
	c := caseOf(nodes, regions)
	f := quietFleet(seed, nodes, regions)
	region, lost := f.infos[regions-1].Region, f.infos[regions-1].Domain
	var numbers []int
	gone := core.SetOf[core.NodeID]()
	for i, info := range f.infos {
		if info.Domain == lost {
			numbers = append(numbers, i)
			gone.Add(info.ID)
		}
	}
	f.Reset()
	f.kill(numbers...)
	near, _ := f.until(settleBound, func(n *node) bool { return n.info.Region != region || !n.believesAny(gone) })
	far, _ := f.until(settleBound, func(n *node) bool { return !n.believesAny(gone) })
	known := near + far
	r.add(c, "nodes lost with a failure domain", float64(len(numbers)), "nodes")
	r.add(c, "time until the loss is known in its region", near.Seconds(), "s")
	r.add(c, "time until the loss is known by all", known.Seconds(), "s")
	n := float64(len(f.live()))
	control := f.Usage.Control()
	r.add(c, "control bytes per node meanwhile", float64(control.Bytes)/n/known.Seconds(), "B/s")
	r.add(c, "processor per node meanwhile", f.Usage.UpdateTime.Seconds()/n/known.Seconds()*100, "% of a core")
}

// believesAny reports whether a node holds any of the given ones for live.
func (n *node) believesAny(ids core.Set[core.NodeID]) bool {
	for _, m := range n.look().Members {
		if ids.Has(m.Node.ID) && (m.Status == core.Alive || m.Status == core.Suspect) {
			return true
		}
	}
	return false
}

// regionCut parts one region from all others for a time and mends it.
func regionCut(r Report, seed uint64, nodes, regions int, d time.Duration) {
	c := caseOf(nodes, regions) + ", cut for " + d.String()
	f := quietFleet(seed, nodes, regions)
	f.Reset()
	f.parted = f.infos[0].Region
	f.Run(d)
	f.perNode(r, c, d)
	f.parted = ""
	f.Reset()
	back, whole := f.until(2*time.Minute, func(n *node) bool { return n.regions() == regions })
	r.add(c, "time until every node sees every region again", back.Seconds(), "s")
	if !whole {
		r.add(c, "bound reached before every node sees every region", 1, "")
	}
}

// regions returns the number of regions in which a node knows a live node.
func (n *node) regions() int {
	seen := core.SetOf(n.info.Region)
	for _, m := range n.look().Members {
		if m.Status == core.Alive {
			seen.Add(m.Node.Region)
		}
	}
	return len(seen)
}
