package profile

import (
	"fmt"
	"strings"

	"daisyshed.dev/core"
	"daisyshed.dev/wire/settings"
	"github.com/goccy/go-yaml/ast"
)

// MaxFileBytes bounds a file of documents.
const MaxFileBytes = 1 << 20

// Document is one profile or pool as an operator wrote it.
type Document interface {
	// Name returns the profile's or the pool's id.
	Name() string
	isDocument()
}

// OneProfile is a profile with its text.
type OneProfile struct {
	Profile core.Profile
	Source  string
	place   settings.Place
}

// OnePool is a pool with its text.
type OnePool struct {
	Pool   core.Pool
	Source string
	place  settings.Place
}

// Name returns the profile's id.
func (d OneProfile) Name() string { return string(d.Profile.ID) }

// Name returns the pool's id.
func (d OnePool) Name() string { return string(d.Pool.ID) }

func (OneProfile) isDocument() {}
func (OnePool) isDocument()    {}

// Parse reads the documents of a file. Each is a mapping with the one key
// Profile or Pool. Its error is a [Faults] with all that is wrong in the file.
func Parse(file string, data []byte) ([]Document, error) {
	if len(data) > MaxFileBytes {
		return nil, Faults{{File: file, Line: 1, Problem: fmt.Sprintf("is longer than %d bytes", MaxFileBytes)}}
	}
	split, err := settings.Split(file, data)
	if err != nil {
		return nil, err
	}
	p := fileParser{text: string(data)}
	for _, d := range split {
		if !d.Empty() {
			p.document(d)
		}
	}
	if len(p.documents) == 0 && len(p.faults) == 0 {
		return nil, Faults{{File: file, Line: 1, Problem: "holds no Profile and no Pool"}}
	}
	p.duplicates()
	if len(p.faults) > 0 {
		return nil, p.faults.Err()
	}
	return p.documents, nil
}

// fileParser gathers the documents and faults of one file.
type fileParser struct {
	text      string
	documents []Document
	faults    Faults
}

func (p *fileParser) document(d *settings.Document) {
	p.read(d)
	p.faults = append(p.faults, d.Faults()...)
}

func (p *fileParser) read(d *settings.Document) {
	entries, ok := d.Entries()
	if !ok || len(entries) != 1 {
		d.Add(d.Line(), "", "must be a mapping with the one key Profile or Pool")
		return
	}
	only := entries[0]
	if only.Key != "Profile" && only.Key != "Pool" {
		d.Add(only.Line, only.Key, "is not known; a document is a Profile or a Pool")
		return
	}
	fields, ok := d.Under(only)
	if !ok {
		d.Add(only.Line, only.Key, "must be a mapping of fields")
		return
	}
	text := source(p.text, only.Line)
	if only.Key == "Profile" {
		v := readFields(d, fields, profileFields)
		withDefaults(&v, d.Place)
		check(d, Verify(v))
		p.documents = append(p.documents, OneProfile{Profile: v, Source: text, place: d.Place})
		return
	}
	v := readFields(d, fields, poolFields)
	check(d, VerifyPool(v))
	p.documents = append(p.documents, OnePool{Pool: v, Source: text, place: d.Place})
}

// check adds the faults of a document's values, but for fields that could not
// be read and have a fault already.
func check(d *settings.Document, faults Faults) {
	for _, f := range faults {
		d.Fault(f.Field, f.Problem)
	}
}

func (p *fileParser) duplicates() {
	seen := map[string]bool{}
	for _, d := range p.documents {
		name, at := fmt.Sprintf("%T %s", d, d.Name()), placeOf(d)
		if seen[name] {
			p.faults = append(p.faults, at.Locate(Faults{{Field: "ID", Problem: "stands twice in this file"}})...)
		}
		seen[name] = true
	}
}

func placeOf(d Document) settings.Place {
	switch d := d.(type) {
	case OneProfile:
		return d.place
	case OnePool:
		return d.place
	default:
		return settings.Place{}
	}
}

func readFields[T any](d *settings.Document, entries []settings.Entry, fields []field[T]) T {
	var v T
	d.Fields(entries, "", settings.Keys{Names: names(fields), Read: func(key, name string, value ast.Node) bool {
		f, known := find(fields, key)
		if !known {
			return false
		}
		if problem := f.read(&v, value); problem != "" {
			d.Fault(name, problem)
		}
		return true
	}})
	return v
}

func find[T any](fields []field[T], name string) (field[T], bool) {
	for _, f := range fields {
		if f.name == name {
			return f, true
		}
	}
	return field[T]{}, false
}

func names[T any](fields []field[T]) []string {
	var out []string
	for _, f := range fields {
		out = append(out, f.name)
	}
	return out
}

// source returns the text of the document that the given line belongs to.
// Markers of documents stand at the beginning of a line.
func source(text string, line int) string {
	var current strings.Builder
	n := 0
	for l := range strings.Lines(text) {
		n++
		if !strings.HasPrefix(l, "---") {
			current.WriteString(l)
			continue
		}
		if n > line {
			break
		}
		current.Reset()
	}
	return current.String()
}
