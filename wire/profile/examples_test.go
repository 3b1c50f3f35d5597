package profile_test

import (
	"os"
	"testing"

	"daisyshed.dev/core"
	"daisyshed.dev/wire/profile"
	"github.com/matryer/is"
)

func TestExamples(t *testing.T) {
	for user, want := range map[string][]string{
		"prairie": {"bill-summary", "dispute-note", "rebate-check", "pay-post", "balance-read"},
		"sarhad":  {"finding-draft", "booking", "certificate", "status-read"},
	} {
		t.Run(user, func(t *testing.T) {
			is := is.New(t)
			pools := map[core.PoolID]core.Pool{}
			for _, d := range parseExample(t, user, "pools.yaml") {
				pools[d.(profile.DocumentOfPool).Pool.ID] = d.(profile.DocumentOfPool).Pool
			}
			var names []string
			for _, d := range parseExample(t, user, "profiles.yaml") {
				names = append(names, d.Name())
				is.NoErr(profile.CheckDocumentPools(d.(profile.DocumentOfProfile), pools))
			}
			is.Equal(names, want)
		})
	}
}

// TestOnlyReadsInExamplesAreRepeatable checks the examples against the users'
// requirement that reads may be repeated and no other call may.
func TestOnlyReadsInExamplesAreRepeatable(t *testing.T) {
	for user, reads := range map[string]string{"prairie": "balance-read", "sarhad": "status-read"} {
		for _, d := range parseExample(t, user, "profiles.yaml") {
			is := is.New(t)
			is.Equal(d.(profile.DocumentOfProfile).Profile.Repeatable, d.Name() == reads)
		}
	}
}

func parseExample(t *testing.T, user, file string) []profile.Document {
	t.Helper()
	path := "testdata/examples/" + user + "/" + file
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	documents, err := profile.Parse(path, data)
	if err != nil {
		t.Fatal(err)
	}
	return documents
}
