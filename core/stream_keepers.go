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

// streamKeepers returns the other nodes that keep the version of a stream: those with the highest
// scores, in different failure domains where there are as many, without members that may be
// gone.
func (n *Node) streamKeepers(stream StreamKey, count int) []NodeID {
	ranked := n.rankMembers(stream, count, (*member).mayKeep)
	return ranked[:min(count, len(ranked))]
}

// mayKeep reports whether a member can be notified of streams. Unconfirmed ones can: with hundreds
// of nodes it takes a while until all have exchanged heartbeats.
func (m *member) mayKeep() bool { return m.status == Alive && !m.node.Leaving }

// streamCandidates returns the other nodes that may know the version of a stream, the likeliest
// first. A node that dies is replaced by one whose score is lower, so that those that remain are
// found by nodes that know of its death and by those that do not. Members that may be gone are
// last: they may have been cut off.
func (n *Node) streamCandidates(stream StreamKey) []NodeID {
	rest := n.rankMembers(stream, 0, func(m *member) bool { return !m.mayKeep() })
	return append(n.rankMembers(stream, streamQueries, (*member).mayKeep), rest...)
}

// rankMembers returns the members that count, by descending score for a stream. The first ones,
// up to spread, are in different failure domains where there are as many.
func (n *Node) rankMembers(stream StreamKey, spread int, counts func(*member) bool) []NodeID {
	type scored struct {
		id     NodeID
		domain DomainID
		score  uint64
	}
	ranked := make([]scored, 0, len(n.members.byID))
	for id, m := range n.members.byID {
		if counts(m) {
			ranked = append(ranked, scored{id: id, domain: m.node.Domain, score: scoreOf(id, uint64(stream))})
		}
	}
	slices.SortFunc(ranked, func(a, b scored) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id)) })
	domains, first, rest := Set[DomainID]{}, []NodeID(nil), []NodeID(nil)
	for _, c := range ranked {
		if len(first) == spread || domains.Has(c.domain) {
			rest = append(rest, c.id)
			continue
		}
		domains.Add(c.domain)
		first = append(first, c.id)
	}
	return append(first, rest...)
}
