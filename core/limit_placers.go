package core

import (
	"cmp"
	"slices"
	"time"
)

const (
	// placerEvery is the period at which a node that places requests on a group with limited
	// upstreams announces itself, and placerValid for how long an announcement counts.
	placerEvery = 250 * time.Millisecond
	placerValid = time.Second
	// placerTargets is how many of the nodes that may own a group get the announcements.
	placerTargets = 8
	// minPlacerDemand is the least number of requests a second that a placer counts for.
	minPlacerDemand = 0.1
)

// PlacerAnnounced says that a node places requests on a group that has limited upstreams.
// Demand is how many it gets a second.
type PlacerAnnounced struct {
	Group  DispatchGroup
	Demand float64
}

func (PlacerAnnounced) isPeerBody() {}

// limitPlacers are the nodes that place requests on a group with limited upstreams. There is
// one, unless nodes differ in which of them are alive: soon after many have started, or while
// one is suspected. Several divide the limits by their demand.
type limitPlacers struct {
	arrivals   placementRate
	announcing bool
	others     map[NodeID]announcedPlacer
}

type announcedPlacer struct {
	demand  float64
	heardAt Instant
}

// recordLimitDemand records a request for a group, and has this node announce itself if the
// group has limited upstreams.
func (d *dispatcher) recordLimitDemand(n *Node, g DispatchGroup) {
	if len(n.forward.upstreams.limited) == 0 || !slices.ContainsFunc(n.forward.upstreams.byGroup[g], func(u *upstream) bool {
		_, limited := u.limit().Get()
		return limited
	}) {
		return
	}
	p := getOrCreate(d.placers, g)
	p.arrivals.record(n.now)
	if !p.announcing {
		p.announcing = true
		p.announce(n, g)
	}
}

// announce announces this node to the nodes that may place requests on the group too, until
// it gets none any more.
func (p *limitPlacers) announce(n *Node, g DispatchGroup) {
	demand := p.arrivals.measured(n.now)
	if demand == 0 {
		p.announcing = false
		return
	}
	for _, id := range p.targets(n, g) {
		n.send(id, PlacerAnnounced{Group: g, Demand: demand})
	}
	n.afterFunc(placerEvery, func(n *Node) { p.announce(n, g) })
}

// targets returns the nodes that are the likeliest owners of the group, whether this node
// takes them for alive or has not heard of them yet, and the placers that it knows of.
func (p *limitPlacers) targets(n *Node, g DispatchGroup) []NodeID {
	key := hash64(g.key())
	var ids []NodeID
	for id, m := range n.members.byID {
		if m.status != Dead && m.status != Left {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b NodeID) int {
		return cmp.Or(cmp.Compare(scoreOf(b, key), scoreOf(a, key)), cmp.Compare(a, b))
	})
	targets := SetOf(ids[:min(len(ids), placerTargets)]...)
	for id, other := range p.others {
		if n.now.Sub(other.heardAt) < placerValid {
			targets.Add(id)
		}
	}
	return targets.Sorted()
}

// handlePlacerAnnounced handles the announcement of another placer.
func (d *dispatcher) handlePlacerAnnounced(n *Node, from NodeID, m PlacerAnnounced) {
	p := getOrCreate(d.placers, m.Group)
	if p.others == nil {
		p.others = map[NodeID]announcedPlacer{}
	}
	for id, other := range p.others {
		if n.now.Sub(other.heardAt) >= placerValid {
			delete(p.others, id)
		}
	}
	p.others[from] = announcedPlacer{demand: m.Demand, heardAt: n.now}
}

// limitShare returns the share of the limits of a group's upstreams that this node may use.
func (d *dispatcher) limitShare(n *Node, g DispatchGroup) float64 {
	p, ok := d.placers[g]
	if !ok || len(p.others) == 0 {
		return 1
	}
	own := max(p.arrivals.measured(n.now), minPlacerDemand)
	sum := own
	for _, other := range p.others {
		if n.now.Sub(other.heardAt) < placerValid && other.demand > 0 {
			sum += other.demand
		}
	}
	return own / sum
}
