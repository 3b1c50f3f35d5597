package settings

import (
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// Entry is one key of a mapping with its line and its value.
type Entry struct {
	Key   string
	Line  int
	Value ast.Node
}

// Keys defines the keys that a mapping may have.
type Keys struct {
	// Names lists the keys, for the fault of an unknown key.
	Names []string
	// Read parses the value of a key into its field and reports whether the key
	// is known.
	Read func(key, field string, value ast.Node) bool
}

// Fields parses the entries of a mapping and adds a fault for each unknown or
// duplicate key. Parent is the field path of the mapping, empty for the top level.
func (d *Document) Fields(entries []Entry, parent string, keys Keys) {
	seen := map[string]bool{}
	for _, e := range entries {
		name := joinPath(parent, e.Key)
		if seen[e.Key] {
			d.AddFaultAt(e.Line, name, "is given twice")
			continue
		}
		seen[e.Key] = true
		d.lines[name] = e.Line
		if !keys.Read(e.Key, name, e.Value) {
			d.AddFaultAt(e.Line, name, "is not a known field; known fields are "+strings.Join(keys.Names, ", "))
		}
	}
}

// EnterMapping returns the entries of e's mapping, and false if e's value is not a
// mapping. It is for documents whose fields are all under one key: missing fields
// are reported at the line of e from then on.
func (d *Document) EnterMapping(e Entry) ([]Entry, bool) {
	d.missingLine = e.Line
	return entriesOf(e.Value)
}

func entriesOf(node ast.Node) ([]Entry, bool) {
	mapping, ok := node.(ast.MapNode)
	if !ok {
		return nil, false
	}
	var entries []Entry
	for i := mapping.MapRange(); i.Next(); {
		entries = append(entries, Entry{Key: keyOf(i.Key()), Line: lineOf(i.Key()), Value: i.Value()})
	}
	return entries, true
}

func keyOf(key ast.MapKeyNode) string {
	if tk := key.GetToken(); tk != nil {
		return tk.Value
	}
	return ""
}

func lineOf(node ast.Node) int {
	if entry, ok := node.(*ast.MappingValueNode); ok {
		node = entry.Key
	}
	if tk := node.GetToken(); tk != nil && tk.Position != nil {
		return tk.Position.Line
	}
	return 1
}

func joinPath(parent, key string) string {
	if parent == "" {
		return key
	}
	return parent + "." + key
}
