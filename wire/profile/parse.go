package profile

import (
	"errors"
	"fmt"
	"strings"

	"daisyshed.dev/core"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
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
	place   place
}

// OnePool is a pool with its text.
type OnePool struct {
	Pool   core.Pool
	Source string
	place  place
}

// Name returns the profile's id.
func (d OneProfile) Name() string { return string(d.Profile.ID) }

// Name returns the pool's id.
func (d OnePool) Name() string { return string(d.Pool.ID) }

func (OneProfile) isDocument() {}
func (OnePool) isDocument()    {}

// place remembers where each field of a document stands.
type place struct {
	file  string
	line  int
	lines map[string]int
}

// locate fills in the file and lines of faults that name fields only.
func (p place) locate(faults Faults) Faults {
	var out Faults
	for _, f := range faults {
		f.File, f.Line = p.file, p.line
		if line, ok := p.lines[f.Field]; ok {
			f.Line = line
		}
		out = append(out, f)
	}
	return out
}

// Parse reads the documents of a file. Each is a mapping with the one key
// Profile or Pool. Its error is a [Faults] with all that is wrong in the file.
func Parse(file string, data []byte) ([]Document, error) {
	if len(data) > MaxFileBytes {
		return nil, Faults{{File: file, Line: 1, Problem: fmt.Sprintf("is longer than %d bytes", MaxFileBytes)}}
	}
	tree, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, Faults{syntaxFault(file, err)}
	}
	p := fileParser{file: file, text: string(data)}
	for _, d := range tree.Docs {
		if d.Body != nil && d.Body.Type() != ast.CommentType {
			p.document(d.Body)
		}
	}
	if len(p.documents) == 0 && len(p.faults) == 0 {
		p.fault(1, "", "holds no Profile and no Pool")
	}
	p.duplicates()
	if len(p.faults) > 0 {
		return nil, p.faults.sorted()
	}
	return p.documents, nil
}

func syntaxFault(file string, err error) Fault {
	f := Fault{File: file, Line: 1, Problem: "is not YAML: " + err.Error()}
	var at yaml.Error
	if errors.As(err, &at) {
		f.Problem = "is not YAML: " + at.GetMessage()
		if tk := at.GetToken(); tk != nil && tk.Position != nil {
			f.Line = tk.Position.Line
		}
	}
	return f
}

// fileParser gathers the documents and faults of one file.
type fileParser struct {
	file      string
	text      string
	documents []Document
	faults    Faults
}

func (p *fileParser) fault(line int, field, problem string) {
	p.faults = append(p.faults, Fault{File: p.file, Line: line, Field: field, Problem: problem})
}

func (p *fileParser) document(body ast.Node) {
	entries, ok := entriesOf(body)
	if !ok || len(entries) != 1 {
		p.fault(lineOf(body), "", "must be a mapping with the one key Profile or Pool")
		return
	}
	only := entries[0]
	key, line := keyOf(only), lineOf(only)
	fields, ok := entriesOf(only.Value)
	switch {
	case key != "Profile" && key != "Pool":
		p.fault(line, key, "is not known; a document is a Profile or a Pool")
	case !ok:
		p.fault(line, key, "must be a mapping of fields")
	case key == "Profile":
		p.profile(line, fields)
	default:
		p.pool(line, fields)
	}
}

func (p *fileParser) profile(line int, entries []*ast.MappingValueNode) {
	v, at := readFields(p, line, entries, profileFields)
	withDefaults(&v, at.lines)
	p.checked(at, Verify(v))
	p.documents = append(p.documents, OneProfile{Profile: v, Source: source(p.text, line), place: at})
}

func (p *fileParser) pool(line int, entries []*ast.MappingValueNode) {
	v, at := readFields(p, line, entries, poolFields)
	p.checked(at, VerifyPool(v))
	p.documents = append(p.documents, OnePool{Pool: v, Source: source(p.text, line), place: at})
}

// checked adds the faults of a document's values, but for fields that could
// not be read and have a fault already.
func (p *fileParser) checked(at place, faults Faults) {
	for _, f := range at.locate(faults) {
		if !p.hasFault(f) {
			p.faults = append(p.faults, f)
		}
	}
}

func (p *fileParser) hasFault(f Fault) bool {
	for _, have := range p.faults {
		if have.Line == f.Line && have.Field == f.Field {
			return true
		}
	}
	return false
}

func (p *fileParser) duplicates() {
	seen := map[string]bool{}
	for _, d := range p.documents {
		name, at := fmt.Sprintf("%T %s", d, d.Name()), placeOf(d)
		if seen[name] {
			p.faults = append(p.faults, at.locate(Faults{{Field: "ID", Problem: "stands twice in this file"}})...)
		}
		seen[name] = true
	}
}

func placeOf(d Document) place {
	switch d := d.(type) {
	case OneProfile:
		return d.place
	case OnePool:
		return d.place
	default:
		return place{}
	}
}

func readFields[T any](p *fileParser, line int, entries []*ast.MappingValueNode, fields []field[T]) (T, place) {
	var v T
	at := place{file: p.file, line: line, lines: map[string]int{}}
	for _, entry := range entries {
		name, line := keyOf(entry), lineOf(entry)
		at.lines[name] = line
		f, ok := find(fields, name)
		if !ok {
			p.fault(line, name, "is not known; the fields are "+names(fields))
			continue
		}
		if problem := f.read(&v, entry.Value); problem != "" {
			p.fault(line, name, problem)
		}
	}
	return v, at
}

func find[T any](fields []field[T], name string) (field[T], bool) {
	for _, f := range fields {
		if f.name == name {
			return f, true
		}
	}
	return field[T]{}, false
}

func names[T any](fields []field[T]) string {
	var out []string
	for _, f := range fields {
		out = append(out, f.name)
	}
	return strings.Join(out, ", ")
}

// entriesOf returns the entries of a mapping; the library gives a mapping with
// one entry a type of its own.
func entriesOf(n ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := n.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	default:
		return nil, false
	}
}

func keyOf(n *ast.MappingValueNode) string {
	if tk := n.Key.GetToken(); tk != nil {
		return tk.Value
	}
	return ""
}

func lineOf(n ast.Node) int {
	if entry, ok := n.(*ast.MappingValueNode); ok {
		n = entry.Key
	}
	if tk := n.GetToken(); tk != nil && tk.Position != nil {
		return tk.Position.Line
	}
	return 1
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
