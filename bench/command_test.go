package main

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"daisyshed.dev/bench/experiment"
	"daisyshed.dev/bench/scenario"
	"github.com/matryer/is"
)

func TestResultsAreWrittenInOrder(t *testing.T) {
	is := is.New(t)
	cmd := command{
		Scenario: []string{"prairie-peak"}, Policy: []string{"random", "daisyshed"}, Seed: []uint64{1, 2},
		Duration: 2 * time.Second, Workers: 2,
	}
	var out bytes.Buffer
	is.NoErr(cmd.run(&out))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 4)
	var last experiment.Result
	is.NoErr(json.Unmarshal([]byte(lines[3]), &last))
	is.Equal(last.Policy, "daisyshed")
	is.Equal(last.Seed, uint64(2))
}

func TestUnknownNamesAreRejected(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.True((&command{}).run(&out) != nil)
	is.True((&command{Scenario: []string{"nowhere"}}).run(&out) != nil)
	is.True((&command{Scenario: []string{"prairie-peak"}, Policy: []string{"none"}}).run(&out) != nil)
	is.Equal(out.Len(), 0)
}

func TestHelpListsScenariosAndPolicies(t *testing.T) {
	is := is.New(t)
	help := describe()
	for _, s := range scenario.All() {
		is.True(strings.Contains(help, "  "+s.Name+"\n"))
	}
	for _, p := range experiment.Policies() {
		is.True(strings.Contains(help, "  "+p.Name+"\n"))
	}
}
