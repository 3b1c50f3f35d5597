package core

import (
	"cmp"
	"maps"
	"slices"
)

func compareVersions(a, b ServiceVersion) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
}

// sortedVersions returns the keys of a map in order.
func sortedVersions[V any](m map[ServiceVersion]V) []ServiceVersion {
	return slices.SortedFunc(maps.Keys(m), compareVersions)
}

// streamKeepers returns the first nodes to keep the version of a stream: those with the highest
// scores, of as many failure domains as there are. A node that dies is replaced by one whose
// score is lower, so that those that remain are found by nodes that know of its death and by
// those that do not. More nodes are queried than notified, because views of the members differ.
func (n *Node) streamKeepers(stream StreamKey, count int) []NodeID {
	type scored struct {
		id     NodeID
		domain DomainID
		score  uint64
	}
	nodes := make([]scored, 0, len(n.members.byID)+1)
	add := func(id NodeID, domain DomainID) {
		nodes = append(nodes, scored{id: id, domain: domain, score: scoreOf(id, uint64(stream))})
	}
	add(n.Self.ID, n.Self.Domain)
	for id, m := range n.members.byID {
		// Unconfirmed members count: with hundreds of nodes it takes a while until all have
		// exchanged heartbeats.
		if m.status != Dead && m.status != Left && !m.node.Leaving {
			add(id, m.node.Domain)
		}
	}
	slices.SortFunc(nodes, func(a, b scored) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id)) })
	domains, keepers := Set[DomainID]{}, []NodeID(nil)
	var rest []NodeID
	for _, c := range nodes {
		switch {
		case len(keepers) == count:
		case domains.Has(c.domain):
			rest = append(rest, c.id)
		default:
			domains.Add(c.domain)
			keepers = append(keepers, c.id)
		}
	}
	missing := min(count-len(keepers), len(rest))
	return append(keepers, rest[:missing]...)
}
