package profile

import (
	"fmt"
	"strings"

	"daisyshed.dev/core"
	"daisyshed.dev/wire/settings"
	"github.com/goccy/go-yaml/ast"
)

// MaxFileBytes is the largest file that Parse accepts.
const MaxFileBytes = 1 << 20

// Document is one profile or pool as an operator wrote it.
type Document interface {
	// Name returns the ID of the profile or pool.
	Name() string
	isDocument()
}

// DocumentOfProfile is the document of a profile. Source is its text in the file.
type DocumentOfProfile struct {
	Profile   core.Profile
	Source    string
	positions settings.Positions
}

// DocumentOfPool is the document of a pool. Source is its text in the file.
type DocumentOfPool struct {
	Pool      core.Pool
	Source    string
	positions settings.Positions
}

// Name returns the profile's ID.
func (d DocumentOfProfile) Name() string { return string(d.Profile.ID) }

// Name returns the pool's ID.
func (d DocumentOfPool) Name() string { return string(d.Pool.ID) }

func (DocumentOfProfile) isDocument() {}
func (DocumentOfPool) isDocument()    {}

// Parse parses and validates the documents of a file. Each is a mapping with a
// single key, Profile or Pool. Its error is a [Faults] with all errors in the file.
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
			p.addDocument(d)
		}
	}
	if len(p.documents) == 0 && len(p.faults) == 0 {
		return nil, Faults{{File: file, Line: 1, Problem: "contains no Profile and no Pool"}}
	}
	p.checkDuplicates()
	if len(p.faults) > 0 {
		return nil, p.faults.Err()
	}
	return p.documents, nil
}

// fileParser collects the documents and faults of one file.
type fileParser struct {
	text      string
	documents []Document
	faults    Faults
}

func (p *fileParser) addDocument(d *settings.Document) {
	p.parseDocument(d)
	p.faults = append(p.faults, d.Faults()...)
}

func (p *fileParser) parseDocument(d *settings.Document) {
	entries, ok := d.Entries()
	if !ok || len(entries) != 1 {
		d.AddFaultAt(d.Line(), "", "must be a mapping with a single key, Profile or Pool")
		return
	}
	root := entries[0]
	if root.Key != "Profile" && root.Key != "Pool" {
		d.AddFaultAt(root.Line, root.Key, "is not a known kind of document; must be Profile or Pool")
		return
	}
	fields, ok := d.EnterMapping(root)
	if !ok {
		d.AddFaultAt(root.Line, root.Key, "must be a mapping of fields")
		return
	}
	text := documentSource(p.text, root.Line)
	if root.Key == "Profile" {
		v := parseFields(d, fields, profileFields)
		setDefaults(&v, d.Positions)
		addFaults(d, Validate(v))
		p.documents = append(p.documents, DocumentOfProfile{Profile: v, Source: text, positions: d.Positions})
		return
	}
	v := parseFields(d, fields, poolFields)
	addFaults(d, ValidatePool(v))
	p.documents = append(p.documents, DocumentOfPool{Pool: v, Source: text, positions: d.Positions})
}

// addFaults adds the faults of a document's values, except for fields that could not
// be parsed and therefore have a fault already.
func addFaults(d *settings.Document, faults Faults) {
	for _, f := range faults {
		d.AddFaultOnce(f.Field, f.Problem)
	}
}

func (p *fileParser) checkDuplicates() {
	seen := map[string]bool{}
	for _, d := range p.documents {
		key, positions := fmt.Sprintf("%T %s", d, d.Name()), positionsOf(d)
		if seen[key] {
			p.faults = append(p.faults, positions.Locate(Faults{{Field: "ID", Problem: "is used by an earlier document of this file"}})...)
		}
		seen[key] = true
	}
}

func positionsOf(d Document) settings.Positions {
	switch d := d.(type) {
	case DocumentOfProfile:
		return d.positions
	case DocumentOfPool:
		return d.positions
	default:
		return settings.Positions{}
	}
}

func parseFields[T any](d *settings.Document, entries []settings.Entry, fields []field[T]) T {
	var v T
	d.Fields(entries, "", settings.Keys{Names: fieldNames(fields), Read: func(key, name string, value ast.Node) bool {
		f, known := findField(fields, key)
		if !known {
			return false
		}
		if problem := f.parse(&v, value); problem != "" {
			d.AddFaultOnce(name, problem)
		}
		return true
	}})
	return v
}

func findField[T any](fields []field[T], name string) (field[T], bool) {
	for _, f := range fields {
		if f.name == name {
			return f, true
		}
	}
	return field[T]{}, false
}

func fieldNames[T any](fields []field[T]) []string {
	var out []string
	for _, f := range fields {
		out = append(out, f.name)
	}
	return out
}

// documentSource returns the text of the document that contains the given line. A
// line that begins with --- separates two documents.
func documentSource(text string, line int) string {
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
