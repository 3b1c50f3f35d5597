package command_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"daisyshed.dev/daisyctl/command"
	"github.com/matryer/is"
)

const (
	stateInForce = "../../examples/hosted/in-force.json"
	nextState    = "../../examples/hosted/next.json"
)

func TestStateCheckComparesWithTheStateInForce(t *testing.T) {
	is := is.New(t)
	got := run("state", "check", "--nodes", "65", "--against", stateInForce, nextState)
	is.Equal(got.code, command.ExitOK)
	is.Equal(got.stdout, `warning  service ledger-canary, MaxConns: 40 connections do not suffice for 65 nodes, which need up to 65 at one upstream.
warning  tenant zeta, Burst: Neither the burst nor the usage of a second, at most 24000 tokens, amounts to the largest request of 29292 tokens.
change   state, Version: The version is raised from 7 to 8.
change   route r-read, Service: The route is moved from ledger to ledger by 0.9, ledger-canary by 0.1.
change   route r-read, TimeoutMs: The timeout is raised from 800ms to 1.2s.
change   service ledger-canary: The service is added.
change   tenant zeta, ApiKeys: 1 key added and 0 removed, which leaves 2.
change   tenant zeta, RatePerS: The cap is lowered from 36000 to 24000 tokens a second.
change   tenant zeta, Burst: The burst is lowered from 36000 to 24000 tokens.
`+nextState+`: 0 errors, 2 warnings, 7 changes from `+stateInForce+"\n")
	is.Equal(run("state", "check", "--strict", nextState).code, command.ExitInvalid)
	is.Equal(run("state", "check", "--strict", stateInForce).code, command.ExitOK)
}

// Programs go by the exit code and the JSON, which must name the place of each error.
func TestStateCheckFailsOnErrors(t *testing.T) {
	is := is.New(t)
	got := run("--json", "state", "check", "--against", nextState, stateInForce)
	is.Equal(got.code, command.ExitInvalid)
	var report struct {
		Errors   int
		Findings []struct{ Severity, Part, Field, Text string }
		Changes  []struct{ Part, Name, Field, From, To string }
	}
	is.NoErr(json.Unmarshal([]byte(got.stdout), &report))
	is.Equal(report.Errors, 1)
	is.Equal(report.Findings[0].Severity+" "+report.Findings[0].Part+" "+report.Findings[0].Field, "error state Version")
	is.Equal(report.Changes[2].Field+" "+report.Changes[2].From+" "+report.Changes[2].To, "TimeoutMs 1.2s 800ms")
	is.True(strings.Contains(got.stderr, "1 error, 0 warnings"))
	for _, args := range [][]string{{"none.json"}, {"--against", "none.json", nextState}, {"--nodes", "-1", nextState}} {
		is.Equal(run(append([]string{"state", "check"}, args...)...).code, command.ExitInvalid)
	}
}

// A state that nodes cannot decode is not in force, so that a comparison with it would mislead.
func TestStateCheckReadsStandardInput(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "rejected.json")
	is.NoErr(os.WriteFile(path, []byte(`{"Version": 3, "Routes": [{"Kind": "unknown"}]}`), 0o600))
	in, err := os.Open(path)
	is.NoErr(err)
	defer func(stdin *os.File) { os.Stdin = stdin }(os.Stdin)
	os.Stdin = in
	got := run("state", "check")
	is.Equal(got.code, command.ExitInvalid)
	is.True(strings.Contains(got.stdout, "error    route in row 0, Kind: The kind is none that nodes know"))
	got = run("state", "check", "--against", path, nextState)
	is.Equal(got.code, command.ExitInvalid)
	is.True(strings.Contains(got.stderr, "cannot be in force"))
}
