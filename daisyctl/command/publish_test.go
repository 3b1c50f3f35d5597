package command_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyctl/command"
	"daisyshed.dev/wire/platformlog"
	"github.com/matryer/is"
)

const ledgerDocuments = `Pool:
  ID: plot-ledger
  Team: accounts
  Role: Plain
---
Profile:
  ID: pay-post
  Kind: Service
  ServicePools: [plot-ledger]
`

// publish runs "profile publish" as operator ann.
func publish(log *fakeLog, file string, more ...string) commandResult {
	return run(append([]string{"--log", log.URL, "--operator", "ann", "profile", "publish", file}, more...)...)
}

func TestPublishTwice(t *testing.T) {
	is := is.New(t)
	log := newFakeLog(t)
	file := writeDocuments(t, ledgerDocuments)
	first := publish(log, file, "--no-wait")
	is.Equal(first.code, command.ExitOK)
	is.True(strings.Contains(first.stdout, "pool plot-ledger: accepted as revision 1 at offset 1"))
	is.True(strings.Contains(first.stdout, "profile pay-post: accepted as revision 1 at offset 2"))
	second := publish(log, file, "--no-wait")
	is.Equal(second.code, command.ExitOK)
	is.True(strings.Contains(second.stdout, "nothing to publish"))
	is.Equal(log.appends, 1)
}

func TestRaceOfTwoPublishers(t *testing.T) {
	is := is.New(t)
	log := newFakeLog(t)
	is.Equal(publish(log, writeDocuments(t, ledgerDocuments), "--no-wait").code, command.ExitOK)
	theirs := writeDocuments(t, strings.Replace(ledgerDocuments, "Service\n", "Service\n  Priority: 7\n", 1))
	mine := writeDocuments(t, strings.Replace(ledgerDocuments, "Service\n", "Service\n  Repeatable: true\n", 1))
	var theirResult commandResult
	log.beforeAppend = func() { theirResult = publish(log, theirs, "--no-wait", "--operator", "bob") }
	myResult := publish(log, mine, "--no-wait")
	is.Equal(theirResult.code, command.ExitOK)
	is.Equal(myResult.code, command.ExitConflict)
	is.True(strings.Contains(myResult.stdout, "written against revision 1 but revision 2 by bob is in force"))
	is.True(strings.Contains(myResult.stdout, "  - Priority: 7\n  + Repeatable: true\n"))
	is.True(strings.Contains(myResult.stderr, "profile pay-post"))
	shown := run("--log", log.URL, "profile", "history", "pay-post")
	is.True(strings.Contains(shown.stdout, "conflict with revision 2"))
}

func TestWrittenAgainstAnOldRevision(t *testing.T) {
	is := is.New(t)
	log := newFakeLog(t)
	file := writeDocuments(t, ledgerDocuments)
	is.Equal(publish(log, file, "--no-wait").code, command.ExitOK)
	is.Equal(publish(log, file, "--no-wait", "--base", "0").code, command.ExitConflict)
}

func TestPublicationIsFoundAfterLostReply(t *testing.T) {
	is := is.New(t)
	log := newFakeLog(t)
	log.loseReplies = 1
	got := publish(log, writeDocuments(t, ledgerDocuments), "--no-wait")
	is.Equal(got.code, command.ExitOK)
	is.Equal(log.appends, 1) // found by its publication ID, not appended again
	is.Equal(len(log.entries), 2)
	is.True(strings.Contains(got.stdout, "accepted as revision 1 at offset 2"))
}

func TestRejectedAppendIsRetried(t *testing.T) {
	is := is.New(t)
	log := newFakeLog(t)
	log.rejectAppends = 1
	is.Equal(publish(log, writeDocuments(t, ledgerDocuments), "--no-wait").code, command.ExitOK)
	is.Equal(log.appends, 2)
}

func TestNothingPublished(t *testing.T) {
	is := is.New(t)
	log := newFakeLog(t)
	log.rejectAppends = 1000
	got := publish(log, writeDocuments(t, ledgerDocuments), "--no-wait")
	is.Equal(got.code, command.ExitFailed)
	is.True(strings.Contains(got.stderr, "nothing was published"))
}

func TestUnknownPublishOutcome(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	log := newFakeLog(t)
	log.loseReplies = 1
	log.failRead = func(w http.ResponseWriter) {
		w.WriteHeader(http.StatusServiceUnavailable)
		cancel()
	}
	got := runUntil(ctx, "--log", log.URL, "profile", "publish", "--no-wait", writeDocuments(t, ledgerDocuments))
	is.Equal(got.code, command.ExitUnknown)
	is.True(strings.Contains(got.stderr, "it is not known whether the log holds the publication"))
	for _, entry := range log.entries {
		is.True(strings.Contains(got.stderr, string(publicationOf(entry))))
	}
	is.Equal(log.appends, 1) // not appended again while the outcome of the first append is unknown
}

func publicationOf(entry platformlog.Entry) core.PublicationID {
	switch r := platformlog.Decode(entry.Data).(type) {
	case core.ProfilePublished:
		return r.Publication
	case core.PoolPublished:
		return r.Publication
	default:
		return "none"
	}
}

func TestInvalidDocuments(t *testing.T) {
	is := is.New(t)
	log := newFakeLog(t)
	file := writeDocuments(t, "Profile:\n  ID: a\n  Kind: Service\n  ServicePools: [nowhere]\n")
	got := publish(log, file)
	is.Equal(got.code, command.ExitInvalid)
	is.True(strings.Contains(got.stderr, file+":4: ServicePools: names the pool nowhere, which is not published"))
	is.Equal(log.appends, 0)
}

func TestRevise(t *testing.T) {
	is := is.New(t)
	log := newFakeLog(t)
	is.Equal(publish(log, writeDocuments(t, ledgerDocuments), "--no-wait").code, command.ExitOK)
	got := run("--log", log.URL, "pool", "revise", "plot-ledger", "--set", "Withdrawn=true", "--no-wait")
	is.Equal(got.code, command.ExitOK)
	shown := run("--log", log.URL, "pool", "show", "plot-ledger")
	is.Equal(shown.stdout, "# revision 2\nPool:\n  ID: plot-ledger\n  Team: accounts\n  Role: Plain\n  Withdrawn: true\n")
	diff := run("--log", log.URL, "pool", "diff", "plot-ledger")
	is.True(strings.Contains(diff.stdout, "+ Withdrawn: true"))
	is.Equal(run("--log", log.URL, "pool", "revise", "plot-ledger", "--set", "Withdrawn=perhaps").code, command.ExitInvalid)
	is.Equal(run("--log", log.URL, "pool", "revise", "nothing", "--set", "Withdrawn=true").code, command.ExitFailed)
}

func nodeStatus(id core.NodeID, offset core.Offset, members ...core.MemberStatusEntry) core.Status {
	return core.Status{Node: core.NodeInfo{ID: id, Domain: "d-" + core.DomainID(id)}, ConfigOffset: offset, Members: members}
}

func TestWaitsUntilInForce(t *testing.T) {
	is := is.New(t)
	log := newFakeLog(t)
	a := newFakeDaemon(t, nodeStatus("a", 2, core.MemberStatusEntry{Node: core.NodeInfo{ID: "b"}, Status: core.Alive, ConfigOffset: 1},
		core.MemberStatusEntry{Node: core.NodeInfo{ID: "gone"}, Status: core.Dead}))
	b := newFakeDaemon(t, nodeStatus("b", 2))
	got := publish(log, writeDocuments(t, ledgerDocuments), "--daemon", a, "--daemon", b)
	is.Equal(got.code, command.ExitOK)
	is.True(strings.Contains(got.stdout, "offset 2 is in force on 2 of 2 live nodes"))
}

func TestReportsNodesWhereNotInForce(t *testing.T) {
	is := is.New(t)
	log := newFakeLog(t)
	status := nodeStatus("a", 2, core.MemberStatusEntry{
		Node: core.NodeInfo{ID: "late", Domain: "west-3"}, Status: core.Suspect, ConfigOffset: 1,
	})
	ctx, cancel := context.WithCancel(t.Context())
	var statusRequests atomic.Int32
	a := serveDaemon(t, func() core.Status {
		if statusRequests.Add(1) == 3 {
			cancel()
		}
		return status
	}, nil)
	got := runUntil(ctx, "--log", log.URL, "--daemon", a, "--daemon", "http://127.0.0.1:1", "--json",
		"profile", "publish", writeDocuments(t, ledgerDocuments))
	is.Equal(got.code, command.ExitNotInForce)
	var report struct {
		Rollout struct {
			Nodes []struct {
				Node    string
				InForce bool
			}
			Unreachable []struct{ URL string }
		}
	}
	is.NoErr(json.Unmarshal([]byte(got.stdout), &report))
	is.Equal(len(report.Rollout.Nodes), 2)
	is.Equal(report.Rollout.Nodes[1].Node, "late")
	is.True(!report.Rollout.Nodes[1].InForce)
	is.Equal(report.Rollout.Unreachable[0].URL, "http://127.0.0.1:1")
}
