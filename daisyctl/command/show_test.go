package command_test

import (
	"strings"
	"testing"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyctl/command"
	"github.com/matryer/is"
)

func TestHelpListsAllCommands(t *testing.T) {
	is := is.New(t)
	got := run("--help")
	is.Equal(got.code, command.ExitOK)
	for _, want := range []string{"profile publish", "pool revise", "upstream list", "explain", "Exit codes:"} {
		is.True(strings.Contains(got.stdout, want))
	}
}

func TestEveryCommandHasHelp(t *testing.T) {
	for _, group := range []string{"profile", "pool"} {
		for _, name := range []string{"publish", "revise", "validate", "diff", "history", "list", "show"} {
			checkHelp(t, group, name)
		}
	}
	checkHelp(t, "upstream", "list")
	for _, name := range []string{"status", "explain", "watch", "addresses", "completion"} {
		checkHelp(t, name)
	}
}

// checkHelp checks that a command is listed and prints its own help.
func checkHelp(t *testing.T, words ...string) {
	t.Helper()
	is := is.New(t)
	name := strings.Join(words, " ")
	all := run("--help").stdout
	is.True(strings.Contains(all, "\n  "+name+" ")) // listed among all commands
	got := run(append(words, "--help")...)
	is.Equal(got.code, command.ExitOK)
	is.Equal(got.stderr, "")
	is.True(strings.Contains(got.stdout, "daisyctl [OPTIONS] "+name))
	is.True(strings.Contains(got.stdout, "Exit codes:"))
}

func TestCompletion(t *testing.T) {
	is := is.New(t)
	script := run("completion", "bash")
	is.Equal(script.code, command.ExitOK)
	is.True(strings.Contains(script.stdout, "GO_FLAGS_COMPLETION=1"))
	t.Setenv("GO_FLAGS_COMPLETION", "1")
	is.Equal(run("pro").stdout, "profile\n")
	is.Equal(run("pool", "re").stdout, "revise\n")
	is.Equal(run("profile", "publish", "--no").stdout, "--no-wait\n")
	is.Equal(run("upstream", "").stdout, "list\n")
}

func TestInvalidUse(t *testing.T) {
	settings := writeDocuments(t, "Log: http://127.0.0.1:1\nNonsense: 1\nDaemons: 5\n")
	for name, args := range map[string][]string{
		"no command":       {},
		"unknown command":  {"nonsense"},
		"no log":           {"profile", "list"},
		"bad URL":          {"--log", "nonsense", "profile", "list"},
		"settings":         {"--settings", settings, "status"},
		"missing settings": {"--settings", settings + "x", "status"},
		"two questions":    {"explain", "r", "--profile", "p"},
		"no question":      {"explain"},
		"other shell":      {"completion", "zsh"},
		"no period":        {"watch", "--every", "0s"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := run(args...)
			is.Equal(got.code, command.ExitInvalid)
			is.True(got.stderr != "")
		})
	}
	is := is.New(t)
	faults := run("--settings", settings, "status").stderr
	is.True(strings.Contains(faults, settings+":2: Nonsense"))
	is.True(strings.Contains(faults, settings+":3: Daemons"))
}

func TestNoDaemonAnswers(t *testing.T) {
	is := is.New(t)
	got := run("--daemon", "http://127.0.0.1:1", "status")
	is.Equal(got.code, command.ExitFailed)
	is.True(strings.Contains(got.stderr, "no daemon answered"))
}

// busyNodeStatus returns a status in which one decode engine is full and the other
// unreachable.
func busyNodeStatus() core.Status {
	s := nodeStatus("a", 4)
	s.Profiles = []core.ProfileEntry{{Profile: core.Profile{
		ID: "bill-summary", Model: "m", PrefillPools: []core.PoolID{"pre"}, DecodePools: []core.PoolID{"dec"},
	}}}
	s.Upstreams = []core.UpstreamStatus{
		{Upstream: core.Upstream{ID: "p1", Pool: "pre"}, Owned: true, Reachable: true, Role: core.Prefill, Model: "m"},
		{Upstream: core.Upstream{ID: "d1", Pool: "dec"}, Owned: true, Reachable: true, Role: core.Decode, Model: "m", Pieces: 40, Booked: 40},
		{Upstream: core.Upstream{ID: "d2", Pool: "dec"}, Owned: true, Reachable: false, Role: core.Decode, Model: "m", Pieces: 40},
	}
	return s
}

func TestExplainHypothetical(t *testing.T) {
	is := is.New(t)
	url := newFakeDaemon(t, busyNodeStatus())
	got := run("--daemon", url, "explain", "--profile", "bill-summary", "--tokens", "5000")
	is.Equal(got.code, command.ExitOK)
	is.True(strings.Contains(got.stdout, "(2 pieces) would be refused now: no Decode upstream could serve it"))
	is.True(strings.Contains(got.stdout, "it has 0 of 40 pieces left, 2 are needed"))
	is.True(strings.Contains(got.stdout, "it is unreachable"))
	is.Equal(run("--daemon", url, "explain", "--profile", "nothing").code, command.ExitFailed)
}

func TestExplainRequest(t *testing.T) {
	is := is.New(t)
	finishDecision := core.Decision{Request: "r", Attempt: 1, Step: "finish", Actual: 310 * time.Millisecond, Tokens: 12}
	placeDecision := core.Decision{
		Request: "r", Attempt: 1, Step: "place", Prefill: "p1", Decode: "d1", Predicted: 300 * time.Millisecond,
		Candidates: []core.Candidate{{Engine: "d1"}, {Engine: "d2", Rejected: "full"}},
	}
	url := newFakeDaemon(t, busyNodeStatus(), finishDecision)
	other := newFakeDaemon(t, busyNodeStatus(), placeDecision)
	got := run("--daemon", url, "--daemon", other, "explain", "r")
	is.Equal(got.code, command.ExitOK)
	is.True(strings.Index(got.stdout, "place r") < strings.Index(got.stdout, "finish r"))
	is.True(strings.Contains(got.stdout, "candidate: d1, predicted 0s, chosen")) // decode candidates are marked as chosen too
	is.True(strings.Contains(got.stdout, "candidate: d2, predicted 0s, passed over: full"))
	is.True(strings.Contains(got.stdout, "first token measured: 310ms"))
	is.Equal(run("--daemon", url, "explain", "nothing").code, command.ExitFailed)
}

func TestUpstreamList(t *testing.T) {
	is := is.New(t)
	got := run("--daemon", newFakeDaemon(t, busyNodeStatus()), "upstream", "list")
	is.Equal(got.code, command.ExitOK)
	is.Equal(strings.Count(got.stdout, "\n"), 4)
	is.True(strings.Contains(got.stdout, "unreachable"))
}
