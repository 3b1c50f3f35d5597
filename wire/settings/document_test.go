package settings_test

import (
	"errors"
	"testing"
	"time"

	"daisyshed.dev/wire/settings"
	"github.com/matryer/is"
)

type sheet struct {
	Name  string
	Count int
	Wait  time.Duration
	Parts []part
	Group part
}

type part struct{ Name string }

func faults(t *testing.T, err error) settings.Faults {
	t.Helper()
	var f settings.Faults
	if !errors.As(err, &f) {
		t.Fatalf("not Faults: %v", err)
	}
	return f
}

func TestReadsAllKinds(t *testing.T) {
	is := is.New(t)
	s := sheet{Count: 7}
	d := settings.Parse("f", []byte("Name: n\nWait: 250ms\nParts:\n  - Name: a\n  - Name: b\nGroup:\n  Name: g\n"), &s)
	is.NoErr(d.Err())
	is.Equal(s, sheet{Name: "n", Count: 7, Wait: 250 * time.Millisecond, Parts: []part{{"a"}, {"b"}}, Group: part{"g"}})
}

func TestReportsAllFaultsWithLineAndField(t *testing.T) {
	is := is.New(t)
	var s sheet
	d := settings.Parse("f", []byte("Nmae: n\nCount: many\nWait: 5\nParts:\n  - Name: a\n  - Nom: b\nGroup: text\nCount: 2\n"), &s)
	d.AddFaultOnce("Group.Name", "is missing")
	got := faults(t, d.Err())
	want := []struct {
		line  int
		field string
	}{{1, "Nmae"}, {2, "Count"}, {3, "Wait"}, {6, "Parts[1].Nom"}, {7, "Group"}, {7, "Group.Name"}, {8, "Count"}}
	is.Equal(len(got), len(want))
	for i, w := range want {
		is.Equal(got[i].File, "f")
		is.Equal(got[i].Line, w.line)
		is.Equal(got[i].Field, w.field)
	}
}

func TestNotYAMLIsOneFault(t *testing.T) {
	is := is.New(t)
	var s sheet
	d := settings.Parse("f", []byte("Name: n\nParts: {]\n"), &s)
	d.AddFaultOnce("Count", "is missing")
	got := faults(t, d.Err())
	is.Equal(len(got), 1)
	is.Equal(got[0].Line, 2)
}

type outer struct {
	Role   string
	Hidden int `yaml:"-"`
	inner  `yaml:",inline"`
	Parts  []part
	Group  part
}

type inner struct {
	Pieces int
	Role   int `yaml:"-"`
}

func TestInlineAndHiddenFields(t *testing.T) {
	is := is.New(t)
	var s outer
	is.NoErr(settings.Parse("f", []byte("Role: r\nPieces: 3\n"), &s).Err())
	is.Equal(s, outer{Role: "r", inner: inner{Pieces: 3}})
	is.Equal(faults(t, settings.Parse("f", []byte("Hidden: 1\n"), &s).Err())[0].Problem,
		"is not a known field; known fields are Role, Pieces, Parts, Group")
	is.Equal(settings.Names(&s), []string{"Role", "Pieces", "Parts", "Parts[].Name", "Group.Name"})
}

func TestOneFaultPerField(t *testing.T) {
	is := is.New(t)
	var s sheet
	d := settings.Parse("f", []byte("Count: many\n"), &s)
	d.AddFaultOnce("Count", "must be positive")
	d.AddFaultOnce("Name", "is missing")
	is.Equal(d.Err().Error(), "f:1: Count: must be a whole number\nf:1: Name: is missing")
}

func TestOneDocumentOnly(t *testing.T) {
	for name, text := range map[string]string{
		"two": "Name: a\n---\nName: b\n", "empty": "", "comment": "# nothing\n", "list": "- a\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var s sheet
			is.Equal(len(faults(t, settings.Parse("f", []byte(text), &s).Err())), 1)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("Name: n\nParts:\n  - Name: a\n"))
	f.Add([]byte("Name: &a [*a]\n? {}\n: 1\n"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var s sheet
		_ = settings.Parse("f", data, &s).Err()
	})
}
