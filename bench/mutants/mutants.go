// Package mutants is the mutation test of the soak's checks: each mutant breaks
// one mechanism of the core, and the soak must detect it. A check that passes on
// every broken core proves nothing.
package mutants

import "daisyshed.dev/core"

// Mutant is a deliberate fault in the source of package core.
type Mutant struct {
	Name string
	// Promise is the promise that the fault must violate.
	Promise core.Promise
	Edits   []Edit
	// Only names the kinds of fault that the soak injects; empty means all.
	Only []string
}

// Edit replaces Old, which must occur exactly once in File, by New. File is
// relative to the directory of package core.
type Edit struct {
	File string
	Old  string
	New  string
}

// All lists the mutants, at least one for each promise.
var All = []Mutant{
	{Name: "entry-forgets-release", Promise: core.MemoryReleased, Edits: []Edit{{
		"release.go",
		"	if r.placed.Decode != \"\" && r.phase != prefilling {\n		n.release(r.placed.Decode, r.allocation)\n	}\n",
		"",
	}}},
	{Name: "owner-keeps-orphans", Promise: core.MemoryReleased, Edits: []Edit{
		{"compare.go", "	if j.decode != \"\" {\n		n.release(j.decode, a)\n	}\n", ""},
		{"compare.go", "				n.release(b.upstream.ID, h.Allocation)\n", ""},
	}},
	{Only: []string{"desert"}, Name: "two-entries-answer", Promise: core.AnsweredOnce, Edits: []Edit{
		{"supersede.go", "	if ok && r.isCurrentAttempt(b.Allocation) {\n		s.yield(n, r)\n	}\n", "	_, _ = r, ok\n"},
		{"supersede.go", "	case b.Retry && !same", "	case false && !same"},
	}},
	{Name: "failed-stream-dropped", Promise: core.AnswerWhole, Edits: []Edit{{
		"entry_step.go",
		"	s.retry(n, r, m.Engine)\n",
		"	s.endAttempt(n, r, Failed, m.Engine, r.emitted)\n	delete(s.requests, r.request.Request)\n",
	}}},
	{Name: "unknown-called-not-run", Promise: core.NotRunTrue, Edits: []Edit{{
		"once_writer.go",
		"s.decide(n, r, KeyResult{Outcome: Unknown}, UpstreamFailed)",
		"s.decide(n, r, KeyResult{Outcome: NotRun}, UpstreamFailed)",
	}}},
	{Name: "lost-reply-sent-again", Promise: core.AtMostOnce, Edits: []Edit{{
		"once_writer.go",
		"	if !m.NotRun {\n",
		"	if false {\n",
	}}},
	{Only: []string{"partition"}, Name: "second-intent-dispatches", Promise: core.AtMostOnce, Edits: []Edit{
		{"once_fold.go", "	if st.logged && !s.retentionPassed(st.at, at) {\n		return\n	}\n", ""},
		{"once_fold.go", "	case st.run != nil:\n		s.lost(n, st)\n", ""},
	}},
	{Name: "withdrawn-pool-used", Promise: core.WithdrawnIdle, Edits: []Edit{
		{"placement.go", "pool.ID != b.upstream.Pool || pool.Withdrawn ||", "pool.ID != b.upstream.Pool ||"},
		{"entry_step.go", "	return !n.owner.withdrawnFor(n, engine, profile, withdrawalGrace)\n", "	return true\n"},
	}},
	{Name: "drain-cuts-streams", Promise: core.DrainGraceful, Edits: []Edit{{
		"drain.go",
		"		n.send(j.entry, MoveAway{Allocation: j.allocation, By: by.Sub(n.now)})\n",
		"		s.releaseEnded(n, j.allocation)\n",
	}}},
	{Name: "configuration-goes-back", Promise: core.ConfigurationMonotone, Edits: []Edit{{
		"fold.go",
		"	if r.Offset == f.offset+1 {\n",
		"	if r.Offset > 0 {\n",
	}}},
	{Name: "stale-base-accepted", Promise: core.ConfigurationMonotone, Edits: []Edit{{
		"fold.go",
		"	if p.Base != current.Revision {\n		f.reject(RejectedPublication{\n			Publication: p.Publication, Offset: offset, Operator: p.Operator,\n			Profile:",
		"	if false {\n		f.reject(RejectedPublication{\n			Publication: p.Publication, Offset: offset, Operator: p.Operator,\n			Profile:",
	}}},
}
