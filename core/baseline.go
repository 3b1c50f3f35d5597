package core

import "slices"

// placeBaseline places a request as routers without an allocation table do, as a
// baseline for measurements: the prefill engine is picked at random or by reports
// that are out of date, and the decode engine only when the prefill is done.
func (s *owner) placeBaseline(n *Node, g *group, it *queued) {
	b := s.pickByPolicy(n, s.usableTables(n, g, &it.profile, Prefill, it.place.Avoid), func(b *allocationTable) int {
		return int(b.report.Queued)
	})
	if b == nil {
		s.rejectQueued(n, g, it, NoUpstream)
		return
	}
	s.dispatch(n, g, it, placementChoice{prefill: b, start: n.now, firstToken: n.now})
}

// usableTables returns the allocation tables of the engines of a group that may
// serve a profile in a role, without those to avoid.
func (s *owner) usableTables(n *Node, g *group, profile *Profile, role Role, avoid []EngineID) []*allocationTable {
	var tables []*allocationTable
	for _, id := range g.engines {
		b, ok := s.allocationTables[id]
		if !ok || b.role != role || slices.Contains(avoid, id) {
			continue
		}
		pool, _ := n.config.pool(b.upstream.Pool)
		if s.usable(n, b, pool, profile) {
			tables = append(tables, b)
		}
	}
	return tables
}

// pickByPolicy chooses an engine by the placement policy: one at random, or the
// less loaded of two.
func (s *owner) pickByPolicy(n *Node, tables []*allocationTable, load func(*allocationTable) int) *allocationTable {
	if len(tables) == 0 {
		return nil
	}
	first := tables[n.rng.IntN(len(tables))]
	if n.Policy.Placement == RandomChoice {
		return first
	}
	second := tables[n.rng.IntN(len(tables))]
	if load(second) < load(first) {
		return second
	}
	return first
}

// decodeAfterPrefill chooses a decode engine when a prefill is done. It returns an
// empty id if no engine is usable.
func (s *owner) decodeAfterPrefill(n *Node, r *servedRequest) EngineID {
	g, ok := s.groups[r.group]
	profile, known := n.config.profile(r.request.Profile)
	if !ok || !known {
		return ""
	}
	b := s.pickByPolicy(n, s.usableTables(n, g, &profile, Decode, r.avoid), func(b *allocationTable) int {
		return b.report.Running
	})
	if b == nil {
		return ""
	}
	if j, ok := s.jobs[r.allocation]; ok {
		s.moveDecodeJob(j, b)
	}
	return b.upstream.ID
}

// moveDecodeJob moves a job's decode memory to another engine's allocation table.
func (s *owner) moveDecodeJob(j *job, b *allocationTable) {
	if old, ok := s.allocationTables[j.decode]; ok {
		delete(old.jobs, j.allocation)
		old.reservedPieces -= j.memory.Pieces()
		old.batch--
	}
	j.decode = b.upstream.ID
	b.jobs[j.allocation] = j
	b.reservedPieces += j.memory.Pieces()
	b.batch++
}
