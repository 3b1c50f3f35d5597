// Package settings parses YAML files strictly and reports all faults at once, each
// with its file, line and field. All programs read their settings with it, and
// package profile is built on it.
package settings

import (
	"errors"
	"slices"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Document is a YAML document that is being parsed, with the faults found so far.
type Document struct {
	Positions
	body   ast.Node
	faults Faults
	// invalidYAML is set if the file is not valid YAML, so that nothing is known
	// about its fields.
	invalidYAML bool
}

func newDocument(file string, body ast.Node) *Document {
	return &Document{Positions: Positions{file: file, missingLine: 1, lines: map[string]int{}}, body: body}
}

// Split parses a file into its documents, empty ones included. Its error is a
// [Faults] with the position of the syntax error.
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
	f := Fault{File: file, Line: 1, Problem: "is not valid YAML: " + err.Error()}
	var yamlErr yaml.Error
	if errors.As(err, &yamlErr) {
		f.Problem = "is not valid YAML: " + yamlErr.GetMessage()
		if tk := yamlErr.GetToken(); tk != nil && tk.Position != nil {
			f.Line = tk.Position.Line
		}
	}
	return f
}

// Empty reports whether the document has no content besides comments.
func (d *Document) Empty() bool { return d.body == nil || d.body.Type() == ast.CommentType }

// Entries returns the entries of the document's top-level mapping, and false if
// the document is not a mapping.
func (d *Document) Entries() ([]Entry, bool) { return entriesOf(d.body) }

// Line returns the line on which the document's content begins.
func (d *Document) Line() int { return lineOf(d.body) }

// AddFaultOnce adds a fault of a field, for checks beyond the field's type. It does
// nothing if the field already has a fault or the file is not valid YAML.
func (d *Document) AddFaultOnce(field, problem string) {
	known := slices.ContainsFunc(d.faults, func(f Fault) bool { return f.Field == field })
	if d.invalidYAML || known {
		return
	}
	d.AddFaultAt(d.line(field), field, problem)
}

// AddFaultAt adds a fault at a line, also if the field already has one.
func (d *Document) AddFaultAt(line int, field, problem string) {
	d.faults = append(d.faults, Fault{File: d.file, Line: line, Field: field, Problem: problem})
}

// Err returns all faults as a [Faults] error, or nil if there are none.
func (d *Document) Err() error { return d.faults.Err() }

// Faults returns the faults found so far.
func (d *Document) Faults() Faults { return d.faults }
