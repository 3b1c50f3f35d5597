package core

import (
	"slices"
	"time"
)

const (
	// queryCheckEvery is the period at which an owner looks for placements to query.
	queryCheckEvery = 250 * time.Millisecond
	// A placement is first queried after queryObjectives objectives of its request, but not
	// before minQueryAge, and then each time that its age has doubled.
	queryObjectives = 4
	minQueryAge     = 500 * time.Millisecond
)

// PlacementsQuery asks an entry which of the placements it holds no more. Messages may be lost,
// and a release that was lost leaves its places occupied at the owner.
type PlacementsQuery struct{ IDs []ForwardID }

// PlacementsEnded answers a PlacementsQuery with the placements that the sender does not hold.
type PlacementsEnded struct{ IDs []ForwardID }

func (PlacementsQuery) isPeerBody() {}
func (PlacementsEnded) isPeerBody() {}

// queryPlacements queries the entries of jobs that have been placed for longer than usual.
func (d *dispatcher) queryPlacements(n *Node) {
	ids := map[NodeID][]ForwardID{}
	for key, j := range d.jobs {
		since := max(j.placedAt, j.addedAt)
		if j.waiting || n.now.Sub(since) < max(j.queryAge, queryObjectives*j.objective, minQueryAge) {
			continue
		}
		j.queryAge = 2 * n.now.Sub(since)
		ids[key.node] = append(ids[key.node], key.id)
	}
	for _, id := range sortedKeys(ids) {
		slices.Sort(ids[id])
		n.send(id, PlacementsQuery{IDs: ids[id]})
	}
}

// handlePlacementsEnded releases what the jobs of an entry occupy that it holds no more. How
// they went is not known.
func (d *dispatcher) handlePlacementsEnded(n *Node, from NodeID, m PlacementsEnded) {
	for _, id := range m.IDs {
		if j, ok := d.jobs[jobKey{node: from, id: id}]; ok {
			d.remove(n, j)
		}
	}
	d.placeWaiting(n)
}

// handlePlacementsQuery answers an owner that queries placements.
func (s *forwards) handlePlacementsQuery(n *Node, from NodeID, m PlacementsQuery) {
	var ended []ForwardID
	for _, id := range m.IDs {
		f, current := s.placed(id)
		held := current && f.owner == from || f.holdsSilently(from, id)
		if !held {
			ended = append(ended, id)
		}
	}
	if len(ended) > 0 {
		n.send(from, PlacementsEnded{IDs: ended})
	}
}
