package mutants

import "daisyshed.dev/core"

// HostedMutant is a deliberate fault of the hosted daemon, which the soak of real
// processes must detect. The files of its edits are relative to the repository.
type HostedMutant struct {
	Mutant
	// Rule is the rule that the soak's judge must find broken.
	Rule string
	// Faults selects faults of the soak as hosted.Size does, and Seeds the seeds to try; those of the
	// command line if there are none.
	Faults []string
	Seeds  []uint64
}

// lateSeeds are seeds of the soak that begin with a node that is cut off during a release.
var lateSeeds = []uint64{421112, 421127, 421147, 421162, 421172, 421177, 421187}

// rebornSeeds are seeds of the soak for engines that start again under their ids.
var rebornSeeds = []uint64{421201, 421202, 421203, 421205}

// powerSeeds are seeds of the soak that begin with a loss of power of all nodes during a release.
var powerSeeds = []uint64{510008, 510013, 510023, 510028, 510038}

// strandedSeeds are seeds of the soak for nodes that reach no upstream.
var strandedSeeds = []uint64{422005, 422006, 422008, 422009}

// keyedSeeds are seeds of the soak whose desired state has tenants.
var keyedSeeds = []uint64{16, 20, 22}

// The edits that remove the ingress server's own checks, which would prevent what a
// mutant of the core does.
var (
	withoutRunCheck = Edit{
		File: "daisyshed/ingress/takeover.go", Old: "	case c.Once && len(x.unproven) > 0:\n", New: "	case false:\n",
	}
	withoutPromiseCheck = Edit{
		File: "daisyshed/ingress/exchange.go", Old: "	if c.NotRun && len(x.unproven) > 0 {\n", New: "	if false {\n",
	}
)

// afterRead replaces the line of the ingress server that follows the reading of a request,
// such that one request in a hundred ends there with the given statement.
func afterRead(statement string) Edit {
	line := "	x.forward.ID = core.ForwardID(s.lastID.Add(1))\n"
	return Edit{
		File: "daisyshed/ingress/server.go", Old: line, New: line + "	if x.forward.ID%100 == 0 {\n		" + statement + "\n	}\n",
	}
}

// withoutPeerQuery removes the queries to peers for the desired state.
var withoutPeerQuery = Edit{
	File: "core/state_query.go", Old: "		s.sendQuery(n, s.holder, StateQuery{})\n", New: "",
}

// withoutOwnRenewal makes nodes renew their reads of the desired state only if a peer
// names a later version.
var withoutOwnRenewal = Edit{
	File: "core/state_proof.go", Old: "		n.do(RenewStateRead{Latest: n.forward.lag.behind()})\n", New: "",
}

// Hosted lists the mutants of the hosted daemon.
var Hosted = []HostedMutant{
	{Rule: "REFUSED", Mutant: Mutant{Name: "unproven-rejection-relayed", Promise: core.NotRunTrue, Edits: []Edit{{
		"daisyshed/ingress/relay.go", "case !r.Repeatable && platform.PromisesNotRun(", "case false && platform.PromisesNotRun(",
	}}}},
	{Rule: "TWICE", Mutant: Mutant{Name: "any-503-proves-not-run", Promise: core.AtMostOnce, Edits: []Edit{{
		"platform/upstream.go", "	case h.Get(headerNotRun) != \"\":\n", "	case h.Get(headerNotRun) != \"\" || status == http.StatusServiceUnavailable:\n",
	}}}},
	{Rule: "TWICE", Mutant: Mutant{Name: "lost-answer-counts-as-unsent", Promise: core.AtMostOnce, Edits: []Edit{{
		"daisyshed/upstream/client.go", "return nil, &NoResponseError{Relay: cn.relay, Cause: err}", "return nil, &UnsentError{Relay: cn.relay, Cause: err}",
	}}}},
	{Rule: "TWICE", Mutant: Mutant{Name: "failed-run-is-repeated", Promise: core.AtMostOnce, Edits: []Edit{
		{"core/forward.go", "	default:\n		return f.unprovenRuns() == 0\n", "	default:\n		return true\n"},
		withoutRunCheck,
	}}},
	{Rule: "REFUSED", Mutant: Mutant{Name: "failed-run-called-not-run", Promise: core.NotRunTrue, Edits: []Edit{
		{"core/forward.go", "	case f.unprovenRuns() == 0 && !f.emitted:\n", "	case !f.emitted:\n"},
		withoutPromiseCheck,
	}}},
	{Rule: "log of", Mutant: Mutant{Name: "core-repeats-failed-run", Promise: core.AtMostOnce, Edits: []Edit{{
		"core/forward.go", "	default:\n		return f.unprovenRuns() == 0\n", "	default:\n		return true\n",
	}}}},
	{Rule: "LOST", Mutant: Mutant{Name: "stop-cuts-requests", Promise: core.DrainGraceful, Edits: []Edit{{
		"daisyshed/httpserver/stop.go", "	for tcp.CloseIdle(l) > 0 {\n", "	for tcp.CloseIdle(l) < 0 {\n",
	}}}},
	{Rule: "LOST", Mutant: Mutant{Name: "read-request-aborted", Promise: core.AnswerWhole, Edits: []Edit{
		afterRead("panic(http.ErrAbortHandler)"),
	}}},
	{Rule: "LOST", Mutant: Mutant{Name: "read-request-gets-empty-200", Promise: core.AnswerWhole, Edits: []Edit{
		afterRead("return"),
	}}},
	{Rule: "LOST", Mutant: Mutant{Name: "silence-ends-run", Promise: core.AnswerWhole, Edits: []Edit{{
		"daisyshed/ingress/takeover.go", "	x.server.SendToCore(core.ForwardStalled{ID: x.forward.ID, Send: r.Send, Engine: r.Engine})\n",
		"	x.failRun(r, TakeoverTimeoutError{}, 0)\n",
	}}}},
	{Rule: "CONFIG", Mutant: Mutant{Name: "hung-reads-stay", Promise: core.ConfigurationMonotone, Edits: []Edit{
		{"core/state_renewal.go", "		n.do(RenewStateRead{Latest: behind})\n", ""},
		withoutOwnRenewal,
		withoutPeerQuery,
	}}},
	{Rule: "CONFIG", Mutant: Mutant{Name: "silent-links-stay", Promise: core.ConfigurationMonotone, Edits: []Edit{
		{"daisyshed/peer/transport.go", "		t.Meter.PeerFault(&SilentError{To: to, After: after})\n", "		if true {\n			return\n		}\n"},
		withoutOwnRenewal,
	}}},
	{Rule: "CONFIG", Mutant: Mutant{Name: "whole-transfer-bounded", Promise: core.ConfigurationMonotone, Edits: []Edit{
		{"platform/store_transfer.go", "func() { stall.Reset(s.Timeout) }", "func() {}"},
		withoutPeerQuery,
	}}},
	{Rule: "ORDER", Mutant: Mutant{Name: "resumption-at-any-version", Promise: core.AnswerWhole, Edits: []Edit{{
		"core/forward.go", "		s.resume(n, f, attempt)\n", "		_ = attempt\n		s.requestPlacement(n, f)\n",
	}}}},
	{Rule: "ORDER", Mutant: Mutant{Name: "break-changes-version", Promise: core.AnswerWhole, Edits: []Edit{{
		"core/stream_version.go", "	f.version = Some(run.version)\n", "",
	}}}},
	{Rule: "ORDER", Mutant: Mutant{Name: "unknown-version-resumed", Promise: core.AnswerWhole, Edits: []Edit{
		{"core/stream_resume.go", "f.ID)\n	s.queryKeepers(n, f)\n", "f.ID)\n	s.endLookup(f)\n	s.requestPlacement(n, f)\n"},
	}}},
	{Rule: "ORDER", Faults: []string{"nothing else"}, Seeds: lateSeeds, Mutant: Mutant{Name: "sole-version-without-proof", Promise: core.AnswerWhole, Edits: []Edit{{
		"core/stream_search.go", "	n.feed.proveAfter(n, at, timeout, func(n *Node, proven bool) {\n",
		"	withoutProof := func(then func(*Node, bool)) { then(n, true) }\n	withoutProof(func(n *Node, proven bool) {\n",
	}}}},
	{Rule: "ORDER", Faults: []string{"power lost"}, Seeds: powerSeeds, Mutant: Mutant{Name: "versions-forgotten-after-the-timeout", Promise: core.AnswerWhole, Edits: []Edit{{
		"core/resume_window.go", "	return v.resumeWindow(o) + n.Settings.DrainDelay\n", "	return 6 * time.Second\n",
	}}}},
	{Rule: "ORDER", Faults: []string{"reborn"}, Seeds: rebornSeeds, Mutant: Mutant{Name: "engines-not-verified", Promise: core.AnswerWhole, Edits: []Edit{
		{"core/held_connection.go", "	return bound\n", "	return bound && false\n"},
		{"core/held_connection.go", "	born, ok := said.Get()\n", "	born, ok := said.Get()\n	ok = false\n"},
		{"core/stream_origin.go", "	if o == nil || o.lost {\n", "	if true {\n"},
		{"core/stream_origin.go", "	if o == nil {\n		then(n)\n", "	if true {\n		then(n)\n"},
	}}},
	{Rule: "RECOVER", Faults: []string{"stranded"}, Seeds: strandedSeeds, Mutant: Mutant{Name: "no-relays", Promise: core.AnswerWhole, Edits: []Edit{{
		"core/relay_choice.go", "	use := UseRelays{Relays: c.usable(n), First: n.isolation.isolated}\n", "	use := UseRelays{}\n",
	}}}},
	{Rule: "RECOVER", Faults: []string{"stranded"}, Seeds: strandedSeeds, Mutant: Mutant{Name: "open-connections-count-as-answered", Promise: core.AnswerWhole, Edits: []Edit{{
		"daisyshed/upstream/observe.go", "			result = c.awaitClose(o.conn)\n", "			result = core.Answered\n			_ = o.conn.Close()\n",
	}}}},
	{Rule: "RECOVER", Faults: []string{"stranded"}, Seeds: strandedSeeds, Mutant: Mutant{Name: "isolated-owners-stay", Promise: core.AnswerWhole, Edits: []Edit{{
		"core/dispatch_group.go", "n.isolation.isolated; !isolated {\n", "n.isolation.isolated; !isolated || true {\n",
	}}}},
	{Rule: "BUDGET", Mutant: Mutant{Name: "ends-of-engines-forgotten", Promise: core.AnswerWhole, Edits: []Edit{{
		"core/crash_suspects.go", "	for _, key := range blocked {\n", "	blocked = nil\n	for _, key := range blocked {\n",
	}}}},
	{Rule: "BUDGET", Mutant: Mutant{Name: "whole-requests-not-suspected", Promise: core.AnswerWhole, Edits: []Edit{{
		"core/prompt_start.go", "	if f.Key == \"\" || m.Step", "	if f.Key != \"\" || m.Step",
	}}}},
	{Rule: "BUDGET", Mutant: Mutant{Name: "ends-known-to-one-node", Promise: core.AnswerWhole, Edits: []Edit{
		{"core/crash_spread.go", "	n.broadcast(SuspectsReported{Crashes: []CrashReport{report}})\n", ""},
		{"core/crash_spread.go", "		for range reportTargets {\n", "		for range 0 {\n"},
	}}},
	{Rule: "LIMIT", Mutant: Mutant{Name: "limits-not-read", Promise: core.AnswerWhole, Edits: []Edit{{
		"core/limit_spread.go", "	if m.NamesLimit && !usable {\n", "	if m.NamesLimit || !usable {\n",
	}}}},
	{Rule: "LIMIT", Mutant: Mutant{Name: "placements-not-counted", Promise: core.AnswerWhole, Edits: []Edit{{
		"core/upstream_limit.go", "		u.signals.use.owner -= cost\n", "",
	}}}},
	{Rule: "KEY", Seeds: keyedSeeds, Mutant: Mutant{Name: "key-passed-on", Promise: core.AnswerWhole, Edits: []Edit{{
		"platform/upstream.go", "	h[headerCredential], h[headerTenant] = nil, nil\n", "	h[headerTenant] = nil\n",
	}}}},
	{Rule: "KEY", Seeds: keyedSeeds, Mutant: Mutant{Name: "keys-never-removed", Promise: core.ConfigurationMonotone, Edits: []Edit{{
		"core/forward.go", "newRouteTable(d.Routes), newTenantTable(d.Tenants)\n",
		"newRouteTable(d.Routes), newTenantTable(append(d.Tenants, s.former...))\n	s.former = append(s.former, d.Tenants...)\n",
	}, {
		"core/forward.go", "	tenants       tenantTable\n", "	tenants       tenantTable\n	former        []Tenant\n",
	}}}},
	{Rule: "KEY", Faults: []string{"keys change"}, Seeds: keyedSeeds, Mutant: Mutant{Name: "keys-of-cut-off-nodes-accepted", Promise: core.ConfigurationMonotone, Edits: []Edit{{
		"core/key_proof.go", "	return s.lag.behind() || n.members.inMinority(n)\n", "	return false\n",
	}}}},
	{Rule: "MIXED", Faults: []string{"endless"}, Mutant: Mutant{Name: "part-of-an-answer-passed", Promise: core.AnswerWhole, Edits: []Edit{{
		"daisyshed/upstream/client.go", "	if b.response.Unframed && !b.delivery.Confirm(b.conn) {\n", "	if false {\n",
	}}}},
	{Rule: "MIXED", Faults: []string{"endless"}, Mutant: Mutant{Name: "invalid-heads-passed", Promise: core.AnswerWhole, Edits: []Edit{{
		"daisyshed/upstream/limits.go", "	return http1.CheckHead(response)\n", "	return nil\n",
	}}}},
	{Rule: "MEMORY", Mutant: Mutant{Name: "head-without-limit", Promise: core.AnswerWhole, Edits: []Edit{{
		"daisyshed/upstream/limits.go", "	if l.limit == 0 {\n", "	if true {\n",
	}}}},
}
