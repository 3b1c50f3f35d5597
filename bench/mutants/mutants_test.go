package mutants_test

import (
	"testing"

	"daisyshed.dev/bench/mutants"
	"daisyshed.dev/core"
	"github.com/matryer/is"
)

// Guards against mutants that no longer apply because the source of core has
// changed, and against promises that no mutant violates.
func TestEveryMutantAppliesToCore(t *testing.T) {
	is := is.New(t)
	broken := make(map[core.Promise]bool)
	for _, m := range mutants.All {
		_, err := m.Overlay("../../core", t.TempDir())
		is.NoErr(err)
		broken[m.Promise] = true
	}
	for p := core.MemoryReleased; p <= core.ConfigurationMonotone; p++ {
		is.True(broken[p]) // each promise has a mutant that violates it
	}
}

// Guards against hosted mutants that no longer apply because the source has changed.
func TestEveryHostedMutantApplies(t *testing.T) {
	is := is.New(t)
	for _, m := range mutants.Hosted {
		_, err := m.Overlay("../..", t.TempDir())
		is.NoErr(err)
		is.True(m.Rule != "")
	}
}
