// Package mutants breaks the core on purpose, one mechanism at a time, and
// shows that the randomised runs notice. A check that no broken core fails
// proves nothing.
package mutants

import "daisyshed.dev/core"

// Mutant is one deliberate fault in the core's source.
type Mutant struct {
	Name string
	// Promise is the one that the fault must break.
	Promise core.Promise
	Edits   []Edit
}

// Edit replaces Old, which stands once in File, by New. File is in the core's
// folder.
type Edit struct {
	File string
	Old  string
	New  string
}

// All are the mutants, at least one for each promise.
var All = []Mutant{
	{"entry-forgets-release", core.MemoryReleased, []Edit{{
		"release.go",
		"	if r.placed.Decode != \"\" && r.phase != prefilling {\n		n.release(r.placed.Decode, r.allocation)\n	}\n",
		"",
	}}},
	{"owner-keeps-orphans", core.MemoryReleased, []Edit{
		{"compare.go", "	if j.decode != \"\" {\n		n.release(j.decode, a)\n	}\n", ""},
		{"compare.go", "				n.release(b.upstream.ID, h.Allocation)\n", ""},
	}},
	{"two-entries-answer", core.AnsweredOnce, []Edit{
		{"supersede.go", "	if ok && s.live(b.Allocation) {\n		s.yieldTo(n, r)\n	}\n", "	_, _ = r, ok\n"},
		{"supersede.go", "	case b.Retry && !same", "	case false && !same"},
	}},
	{"failed-stream-dropped", core.AnswerWhole, []Edit{{
		"entry_step.go",
		"	s.retry(n, r, m.Engine)\n",
		"	s.end(n, r, Failed, m.Engine, r.emitted)\n	delete(s.serving, r.request.Request)\n",
	}}},
	{"unknown-called-not-run", core.NotRunTrue, []Edit{{
		"once_writer.go",
		"s.decide(n, r, KeyResult{Outcome: Unknown}, UpstreamFailed)",
		"s.decide(n, r, KeyResult{Outcome: NotRun}, UpstreamFailed)",
	}}},
	{"lost-reply-sent-again", core.AtMostOnce, []Edit{{
		"once_writer.go",
		"	if !m.NotRun {\n",
		"	if false {\n",
	}}},
	{"second-intent-dispatches", core.AtMostOnce, []Edit{{
		"once_fold.go",
		"	if st.logged && !s.outlived(st.at, at) {\n		return\n	}\n",
		"",
	}}},
	{"withdrawn-pool-used", core.WithdrawnIdle, []Edit{
		{"placement.go", "!ok || pool.Withdrawn ||", "!ok ||"},
		{"entry_step.go", "	return !n.owner.withdrawnFor(n, engine, profile, withdrawalGrace)\n", "	return true\n"},
	}},
	{"drain-cuts-streams", core.DrainGraceful, []Edit{{
		"drain.go",
		"		n.send(j.entry, MoveAway{Allocation: j.allocation, By: by.Sub(n.now)})\n",
		"		s.releaseOver(n, j.allocation)\n",
	}}},
	{"configuration-goes-back", core.ConfigurationMonotone, []Edit{{
		"fold.go",
		"	if r.Offset == f.offset+1 {\n",
		"	if r.Offset > 0 {\n",
	}}},
	{"stale-base-accepted", core.ConfigurationMonotone, []Edit{{
		"fold.go",
		"	if p.Base != current.Revision {\n		f.reject(RejectedPublication{\n			Publication: p.Publication, Offset: offset, Operator: p.Operator,\n			Profile:",
		"	if false {\n		f.reject(RejectedPublication{\n			Publication: p.Publication, Offset: offset, Operator: p.Operator,\n			Profile:",
	}}},
}
