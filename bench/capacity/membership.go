package capacity

import (
	"fmt"
	"slices"
	"time"

	"daisyshed.dev/core"
)

// sizes are the numbers of nodes at which slopes are measured, with the
// regions that they are spread over.
var sizes = []struct{ nodes, regions int }{{8, 1}, {64, 1}, {64, 3}, {410, 6}}

const (
	// warmUp is the time in which a fleet comes to rest, and window the time
	// over which it is counted.
	warmUp = 2 * time.Minute
	window = time.Minute
	// settleBound bounds the time for which a change is followed.
	settleBound = 2 * time.Minute
)

func caseOf(nodes, regions int) string { return fmt.Sprintf("%d nodes, %d regions", nodes, regions) }

// Membership measures heartbeats, and what the death and the return of a node
// cost.
func Membership(seed uint64, emit func(Row)) {
	for _, s := range sizes {
		membershipAt(Report{part: "membership", emit: emit}, seed, s.nodes, s.regions)
	}
}

func membershipAt(r Report, seed uint64, nodes, regions int) {
	c := caseOf(nodes, regions)
	before := heap()
	f := quietFleet(seed, nodes, regions)
	r.add(c, "memory per node", float64(heap()-before)/float64(nodes), "B")
	f.Reset()
	f.Run(window)
	quiet := f.Usage.Control()
	f.perNode(r, c, window)
	f.death(r, c, quiet)
}

// quietFleet returns a fleet that has come to rest, with no more upstreams than
// nodes need to take the VM list for complete.
func quietFleet(seed uint64, nodes, regions int) *Fleet {
	f := &Fleet{Seed: seed, Size: nodes, Regions: regions, Upstreams: []core.Upstream{{ID: "ledger-0", Pool: "ledger"}}}
	f.Open()
	f.Run(warmUp)
	return f
}

// perNode reports what each node spent.
func (f *Fleet) perNode(r Report, c string, over time.Duration) {
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

// death kills a node and starts it again, and compares with a quiet fleet.
func (f *Fleet) death(r Report, c string, quiet Count) {
	victim := len(f.infos) / 2
	id, region := f.infos[victim].ID, f.infos[victim].Region
	f.Reset()
	began := f.Now()
	f.kill(victim)
	near, _ := f.until(settleBound, func(n *node) bool { return n.info.Region != region || !n.believes(id, 0) })
	r.add(c, "time until a death is known in its region", near.Seconds(), "s")
	far, _ := f.until(settleBound, func(n *node) bool { return !n.believes(id, 0) })
	r.add(c, "time until a death is known by all", (near + far).Seconds(), "s")
	f.restart(victim)
	start := f.nodes[id].core.Incarnation
	back, _ := f.until(settleBound, func(n *node) bool { return n.info.ID == id || !n.knows(id) || n.believes(id, start) })
	r.add(c, "time until its return is known by all", back.Seconds(), "s")
	f.Run(window)
	over := f.Now().Sub(began).Seconds()
	extra := float64(f.Usage.Control().Bytes) - float64(quiet.Bytes)*over/window.Seconds()
	each := extra / float64(len(f.infos)) / 2
	r.add(c, "extra bytes per node and VM change", each, "B")
	r.add(c, "extra bytes per node at the target's churn", each*TargetVMChanges/day.Seconds(), "B/s")
}

// believes reports whether a node holds a start of another for live.
func (n *node) believes(id core.NodeID, start core.Incarnation) bool {
	for _, m := range n.look().Members {
		if m.Node.ID == id {
			return (m.Status == core.Alive || m.Status == core.Suspect) && m.Incarnation >= start
		}
	}
	return false
}

// knows reports whether a node has another in its view.
func (n *node) knows(id core.NodeID) bool {
	return slices.ContainsFunc(n.look().Members, func(m core.MemberStatusEntry) bool { return m.Node.ID == id })
}
