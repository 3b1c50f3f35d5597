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

const ledger = `Pool:
  ID: plot-ledger
  Team: accounts
  Role: Plain
---
Profile:
  ID: pay-post
  Kind: Service
  ServicePools: [plot-ledger]
`

func publish(log *fakeLog, file string, more ...string) done {
	return run(append([]string{"--log", log.URL, "--operator", "ann", "profile", "publish", file}, more...)...)
}

func TestPublishTwice(t *testing.T) {
	is := is.New(t)
	log := newFakeLog(t)
	file := write(t, ledger)
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
	is.Equal(publish(log, write(t, ledger), "--no-wait").code, command.ExitOK)
	theirs := write(t, strings.Replace(ledger, "Service\n", "Service\n  Priority: 7\n", 1))
	mine := write(t, strings.Replace(ledger, "Service\n", "Service\n  Repeatable: true\n", 1))
	var other done
	log.beforeAppend = func() { other = publish(log, theirs, "--no-wait", "--operator", "bob") }
	own := publish(log, mine, "--no-wait")
	is.Equal(other.code, command.ExitOK)
	is.Equal(own.code, command.ExitConflict)
	is.True(strings.Contains(own.stdout, "written against revision 1 but revision 2 by bob is in force"))
	is.True(strings.Contains(own.stdout, "  - Priority: 7\n  + Repeatable: true\n"))
	is.True(strings.Contains(own.stderr, "profile pay-post"))
	shown := run("--log", log.URL, "profile", "history", "pay-post")
	is.True(strings.Contains(shown.stdout, "conflict with revision 2"))
}

func TestWrittenAgainstAnOldRevision(t *testing.T) {
	is := is.New(t)
	log := newFakeLog(t)
	file := write(t, ledger)
	is.Equal(publish(log, file, "--no-wait").code, command.ExitOK)
	is.Equal(publish(log, file, "--no-wait", "--base", "0").code, command.ExitConflict)
}

func TestLostReplyIsFoundAgain(t *testing.T) {
	is := is.New(t)
	log := newFakeLog(t)
	log.loseReplies = 1
	got := publish(log, write(t, ledger), "--no-wait")
	is.Equal(got.code, command.ExitOK)
	is.Equal(log.appends, 1) // found by its publication id, not sent again
	is.Equal(len(log.entries), 2)
	is.True(strings.Contains(got.stdout, "accepted as revision 1 at offset 2"))
}

func TestRefusedAppendIsTriedAgain(t *testing.T) {
	is := is.New(t)
	log := newFakeLog(t)
	log.refuse = 1
	is.Equal(publish(log, write(t, ledger), "--no-wait").code, command.ExitOK)
	is.Equal(log.appends, 2)
}

func TestNothingPublished(t *testing.T) {
	is := is.New(t)
	log := newFakeLog(t)
	log.refuse = 1000
	got := publish(log, write(t, ledger), "--no-wait")
	is.Equal(got.code, command.ExitFailed)
	is.True(strings.Contains(got.stderr, "nothing was published"))
}

func TestUnknownWhetherPublished(t *testing.T) {
	is := is.New(t)
	ctx, timeIsUp := context.WithCancel(t.Context())
	log := newFakeLog(t)
	log.loseReplies = 1
	log.failRead = func(w http.ResponseWriter) {
		w.WriteHeader(http.StatusServiceUnavailable)
		timeIsUp()
	}
	got := runUntil(ctx, "--log", log.URL, "profile", "publish", "--no-wait", write(t, ledger))
	is.Equal(got.code, command.ExitUnknown)
	is.True(strings.Contains(got.stderr, "it is not known whether the log holds the publication"))
	for _, entry := range log.entries {
		is.True(strings.Contains(got.stderr, string(publicationOf(entry))))
	}
	is.Equal(log.appends, 1) // never sent again without knowing
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
	file := write(t, "Profile:\n  ID: a\n  Kind: Service\n  ServicePools: [nowhere]\n")
	got := publish(log, file)
	is.Equal(got.code, command.ExitInvalid)
	is.True(strings.Contains(got.stderr, file+":4: ServicePools: names the pool nowhere, which is not published"))
	is.Equal(log.appends, 0)
}

func TestRevise(t *testing.T) {
	is := is.New(t)
	log := newFakeLog(t)
	is.Equal(publish(log, write(t, ledger), "--no-wait").code, command.ExitOK)
	got := run("--log", log.URL, "pool", "revise", "plot-ledger", "--set", "Withdrawn=true", "--no-wait")
	is.Equal(got.code, command.ExitOK)
	shown := run("--log", log.URL, "pool", "show", "plot-ledger")
	is.Equal(shown.stdout, "# revision 2\nPool:\n  ID: plot-ledger\n  Team: accounts\n  Role: Plain\n  Withdrawn: true\n")
	diff := run("--log", log.URL, "pool", "diff", "plot-ledger")
	is.True(strings.Contains(diff.stdout, "+ Withdrawn: true"))
	is.Equal(run("--log", log.URL, "pool", "revise", "plot-ledger", "--set", "Withdrawn=perhaps").code, command.ExitInvalid)
	is.Equal(run("--log", log.URL, "pool", "revise", "nothing", "--set", "Withdrawn=true").code, command.ExitFailed)
}

func node(id core.NodeID, offset core.Offset, members ...core.MemberStatusEntry) core.Status {
	return core.Status{Node: core.NodeInfo{ID: id, Domain: "d-" + core.DomainID(id)}, ConfigOffset: offset, Members: members}
}

func TestWaitsUntilInForce(t *testing.T) {
	is := is.New(t)
	log := newFakeLog(t)
	a := newFakeDaemon(t, node("a", 2, core.MemberStatusEntry{Node: core.NodeInfo{ID: "b"}, Status: core.Alive, ConfigOffset: 1},
		core.MemberStatusEntry{Node: core.NodeInfo{ID: "gone"}, Status: core.Dead}))
	b := newFakeDaemon(t, node("b", 2))
	got := publish(log, write(t, ledger), "--daemon", a, "--daemon", b)
	is.Equal(got.code, command.ExitOK)
	is.True(strings.Contains(got.stdout, "offset 2 is in force on 2 of 2 live nodes"))
}

func TestNamesNodesNotInForce(t *testing.T) {
	is := is.New(t)
	log := newFakeLog(t)
	status := node("a", 2, core.MemberStatusEntry{
		Node: core.NodeInfo{ID: "late", Domain: "west-3"}, Status: core.Suspect, ConfigOffset: 1,
	})
	ctx, timeIsUp := context.WithCancel(t.Context())
	var asked atomic.Int32
	a := serveDaemon(t, func() core.Status {
		if asked.Add(1) == 3 {
			timeIsUp()
		}
		return status
	}, nil)
	got := runUntil(ctx, "--log", log.URL, "--daemon", a, "--daemon", "http://127.0.0.1:1", "--json",
		"profile", "publish", write(t, ledger))
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
