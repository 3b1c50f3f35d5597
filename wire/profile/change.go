package profile

import (
	"strings"

	"daisyshed.dev/core"
	"github.com/goccy/go-yaml/parser"
)

// Change is a field in which two values differ. From and To are YAML, empty if the
// field is not set.
type Change struct {
	Field string
	From  string
	To    string
}

// Diff returns the fields in which two profiles differ.
func Diff(from, to core.Profile) []Change { return diff(profileFields, &from, &to) }

// DiffPool returns the fields in which two pools differ.
func DiffPool(from, to core.Pool) []Change { return diff(poolFields, &from, &to) }

func diff[T any](fields []field[T], from, to *T) []Change {
	var out []Change
	for _, f := range fields {
		before, after := f.format(from), f.format(to)
		if before != after {
			out = append(out, Change{Field: f.name, From: before, To: after})
		}
	}
	return out
}

// Format formats a profile as a document that [Parse] accepts.
func Format(p core.Profile) string { return formatDocument("Profile", profileFields, &p) }

// FormatPool formats a pool as a document that [Parse] accepts.
func FormatPool(p core.Pool) string { return formatDocument("Pool", poolFields, &p) }

func formatDocument[T any](kind string, fields []field[T], v *T) string {
	var b strings.Builder
	b.WriteString(kind + ":\n")
	for _, f := range fields {
		if s := f.format(v); s != "" {
			b.WriteString("  " + f.name + ": " + s + "\n")
		}
	}
	return b.String()
}

// SetField returns the profile with one field set to a YAML value. Its error is a
// [Faults].
func SetField(p core.Profile, name, value string) (core.Profile, error) {
	err := setField(profileFields, &p, name, value)
	return p, err
}

// SetPoolField returns the pool with one field set to a YAML value. Its error is a
// [Faults].
func SetPoolField(p core.Pool, name, value string) (core.Pool, error) {
	err := setField(poolFields, &p, name, value)
	return p, err
}

func setField[T any](fields []field[T], v *T, name, value string) error {
	f, ok := findField(fields, name)
	if !ok {
		return Faults{{Field: name, Problem: "is not a known field; known fields are " + strings.Join(fieldNames(fields), ", ")}}
	}
	tree, err := parser.ParseBytes([]byte(value), 0)
	if err != nil || len(tree.Docs) != 1 || tree.Docs[0].Body == nil {
		return Faults{{Field: name, Problem: "must be a single YAML value"}}
	}
	if problem := f.parse(v, tree.Docs[0].Body); problem != "" {
		return Faults{{Field: name, Problem: problem}}
	}
	return nil
}
