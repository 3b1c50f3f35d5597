// Package settings reads YAML files strictly: every fault is reported at once,
// with its file, line and field. All programs read their settings through it,
// and the reader of profiles is built on it.
package settings

import (
	"errors"
	"slices"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Document is one YAML document that is being read, with the faults found so
// far.
type Document struct {
	Place
	body   ast.Node
	faults Faults
	// unread is set when the file's text is not YAML, so that nothing is known
	// of its fields.
	unread bool
}

func newDocument(file string, body ast.Node) *Document {
	return &Document{Place: Place{file: file, first: 1, lines: map[string]int{}}, body: body}
}

// Split returns the documents of a file, empty ones included. Its error is a
// [Faults] that says where the text is not YAML.
func Split(file string, data []byte) ([]*Document, error) {
	parsed, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, Faults{syntaxFault(file, err)}
	}
	documents := make([]*Document, 0, len(parsed.Docs))
	for _, d := range parsed.Docs {
		documents = append(documents, newDocument(file, d.Body))
	}
	return documents, nil
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

// Empty reports whether the document holds nothing but comments.
func (d *Document) Empty() bool { return d.body == nil || d.body.Type() == ast.CommentType }

// Entries returns the entries of the document's outermost mapping, and false
// if it is none.
func (d *Document) Entries() ([]Entry, bool) { return entriesOf(d.body) }

// Line returns the line on which the document's content begins.
func (d *Document) Line() int { return lineOf(d.body) }

// Fault adds a fault of a field, for checks beyond the field's type, unless
// the field has a fault already. A file that is not YAML has no further
// faults.
func (d *Document) Fault(field, problem string) {
	known := slices.ContainsFunc(d.faults, func(f Fault) bool { return f.Field == field })
	if d.unread || known {
		return
	}
	d.Add(d.line(field), field, problem)
}

// Add adds a fault at a line.
func (d *Document) Add(line int, field, problem string) {
	d.faults = append(d.faults, Fault{File: d.file, Line: line, Field: field, Problem: problem})
}

// Err returns all faults as [Faults], or nil if there are none.
func (d *Document) Err() error { return d.faults.Err() }

// Faults returns the faults found so far.
func (d *Document) Faults() Faults { return d.faults }
