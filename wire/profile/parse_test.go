package profile_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/wire/profile"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const validDocuments = `# Pools of the writing team.
---
Pool:
  ID: scribe-decode
  Team: writing
  Role: Decode
  Model: plot-scribe-1
  Borrowed: true
  ReturnBy: 20s
  Fenced: true
---
Profile:
  ID: bill-summary
  Kind: Generate
  Model: plot-scribe-1
  PrefillPools: [scribe-prefill]
  DecodePools:
    - scribe-decode
  FirstTokenTarget: 540ms
  PerTokenTarget: 55ms
  MaxWait: 1m30s
  Priority: 2
  BorrowedShare: 0.25
  WasteWeight: 0
  Shares: {plot-7: 0.5, "plot 8": 1}
  MaxTokens: 256
---
Profile:
  ID: pay-post
  Kind: Service
  ServicePools: [plot-ledger]
  Withdrawn: [plot-ledger]
`

func faultsOf(t *testing.T, err error) profile.Faults {
	t.Helper()
	var faults profile.Faults
	if !errors.As(err, &faults) {
		t.Fatalf("got %v", err)
	}
	return faults
}

func TestParse(t *testing.T) {
	is := is.New(t)
	docs, err := profile.Parse("a.yaml", []byte(validDocuments))
	is.NoErr(err)
	is.Equal(len(docs), 3)
	is.Equal(docs[0].(profile.DocumentOfPool).Pool, core.Pool{
		ID: "scribe-decode", Team: "writing", Role: core.Decode, Model: "plot-scribe-1",
		Borrowed: true, ReturnBy: 20 * time.Second, Fenced: true,
	})
	p := docs[1].(profile.DocumentOfProfile)
	is.Equal(p.Profile, core.Profile{
		ID: "bill-summary", Kind: core.Generate, Model: "plot-scribe-1",
		PrefillPools: []core.PoolID{"scribe-prefill"}, DecodePools: []core.PoolID{"scribe-decode"},
		FirstTokenTarget: 540 * time.Millisecond, PerTokenTarget: 55 * time.Millisecond, MaxWait: 90 * time.Second,
		Priority: 2, BorrowedShare: 0.25, Shares: map[core.CustomerID]float64{"plot-7": 0.5, "plot 8": 1},
		DefaultShare: 1, MaxTokens: 256,
	})
	is.True(strings.HasPrefix(p.Source, "Profile:\n  ID: bill-summary\n"))
	is.True(strings.HasSuffix(p.Source, "MaxTokens: 256\n"))
	is.Equal(docs[2].Name(), "pay-post")
}

func TestReportsAllFaultsWithLines(t *testing.T) {
	is := is.New(t)
	_, err := profile.Parse("b.yaml", []byte(`Profile:
  ID: bad name
  Kind: Generates
  Nonsense: 1
  Model: m
  PrefillPools: pool-a
  DecodePools: []
  FirstTokenTarget: -1s
  PerTokenTarget: 55
  BorrowedShare: 1.5
  WasteWeight: high
  Shares: {a: 0}
  MaxTokens: 1.5
  Withdrawn: [elsewhere, elsewhere]
---
Pool:
  ID: p
  Role: Decode
  Borrowed: yes please
---
Profile:
  ID: q
  Kind: Service
---
Else: {}
`))
	type at struct {
		line  int
		field string
	}
	var have []at
	for _, f := range faultsOf(t, err) {
		is.Equal(f.File, "b.yaml")
		is.True(f.Problem != "")
		if len(have) == 0 || have[len(have)-1] != (at{f.Line, f.Field}) {
			have = append(have, at{f.Line, f.Field})
		}
	}
	is.Equal(have, []at{
		{2, "ID"},
		{3, "Kind"},
		{4, "Nonsense"},
		{6, "PrefillPools"},
		{7, "DecodePools"},
		{8, "FirstTokenTarget"},
		{9, "PerTokenTarget"},
		{10, "BorrowedShare"},
		{11, "WasteWeight"},
		{12, "Shares"},
		{13, "MaxTokens"},
		{14, "Withdrawn"},
		{16, "Team"},
		{16, "Model"},
		{19, "Borrowed"},
		{21, "ServicePools"},
		{25, "Else"},
	})
}

func TestBrokenFiles(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		line int
	}{
		"empty":          {"", 1},
		"comment":        {"# nothing\n", 1},
		"not YAML":       {"Pool:\n  ID: [a\n", 2},
		"field twice":    {"Pool:\n  ID: a\n  ID: b\n  Team: t\n  Role: Plain\n", 3},
		"list":           {"- a\n", 1},
		"two keys":       {"Pool: {}\nProfile: {}\n", 1},
		"not a mapping":  {"Pool: 3\n", 1},
		"document twice": {"Pool: {ID: a, Team: t, Role: Plain}\n---\nPool: {ID: a, Team: t, Role: Plain}\n", 3},
		"too long":       {strings.Repeat("#", profile.MaxFileBytes+1), 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := profile.Parse("f", []byte(c.text))
			faults := faultsOf(t, err)
			is.Equal(len(faults), 1)
			is.Equal(faults[0].Line, c.line)
		})
	}
}

func TestCheckAgainstPools(t *testing.T) {
	is := is.New(t)
	docs, err := profile.Parse("c.yaml", []byte(validDocuments))
	is.NoErr(err)
	d := docs[1].(profile.DocumentOfProfile)
	pools := map[core.PoolID]core.Pool{
		"scribe-prefill": {ID: "scribe-prefill", Role: core.Prefill, Model: "plot-scribe-1"},
		"scribe-decode":  {ID: "scribe-decode", Role: core.Decode, Model: "plot-scribe-1"},
	}
	is.NoErr(profile.CheckDocumentPools(d, pools))
	pools["scribe-decode"] = core.Pool{ID: "scribe-decode", Role: core.Plain}
	delete(pools, "scribe-prefill")
	faults := faultsOf(t, profile.CheckDocumentPools(d, pools))
	is.Equal(len(faults), 3) // unknown pool; wrong role; wrong model
	is.Equal([]int{faults[0].Line, faults[1].Line, faults[2].Line}, []int{16, 17, 17})
	is.Equal(len(faultsOf(t, profile.CheckPools(d.Profile, pools))), 3)
}

func TestDiffAndSet(t *testing.T) {
	is := is.New(t)
	docs, err := profile.Parse("d.yaml", []byte(validDocuments))
	is.NoErr(err)
	before := docs[1].(profile.DocumentOfProfile).Profile
	after, err := profile.SetField(before, "Withdrawn", "[scribe-decode]")
	is.NoErr(err)
	after, err = profile.SetField(after, "MaxTokens", "64")
	is.NoErr(err)
	is.Equal(len(before.Withdrawn), 0)
	is.Equal(profile.Diff(before, after), []profile.Change{
		{Field: "MaxTokens", From: "256", To: "64"},
		{Field: "Withdrawn", From: "", To: "[scribe-decode]"},
	})
	_, err = profile.SetField(before, "Nonsense", "1")
	is.True(err != nil)
	_, err = profile.SetPoolField(core.Pool{}, "Withdrawn", "perhaps")
	is.Equal(faultsOf(t, err)[0].Field, "Withdrawn")
}

func TestTextRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		name := rapid.StringMatching(`[A-Za-z0-9][A-Za-z0-9._@/-]{0,8}`)
		p := core.Profile{
			ID: core.ProfileID(name.Draw(t, "id")), Kind: core.Generate, Model: core.ModelID(name.Draw(t, "model")),
			PrefillPools:     []core.PoolID{core.PoolID(name.Draw(t, "prefill"))},
			DecodePools:      []core.PoolID{core.PoolID(name.Draw(t, "decode"))},
			FirstTokenTarget: time.Duration(rapid.Int64Min(1).Draw(t, "first")),
			PerTokenTarget:   time.Duration(rapid.Int64Min(1).Draw(t, "per")),
			Priority:         rapid.Int().Draw(t, "priority"),
			BorrowedShare:    rapid.Float64Range(0, 1).Draw(t, "borrowed"),
			DefaultShare:     1,
			Shares:           map[core.CustomerID]float64{core.CustomerID(rapid.StringMatching(`.{1,6}`).Draw(t, "customer")): 0.5},
			MaxTokens:        core.Tokens(rapid.IntRange(1, 1<<20).Draw(t, "tokens")),
		}
		text := profile.Format(p)
		docs, err := profile.Parse("t", []byte(text))
		if err != nil {
			t.Fatalf("%v in\n%s", err, text)
		}
		is.Equal(docs[0].(profile.DocumentOfProfile).Profile, p)
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validDocuments))
	f.Add([]byte("Pool: {ID: &a x, Team: *a}\n"))
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = profile.Parse("f", data) })
}
