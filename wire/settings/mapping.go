package settings

import (
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// Entry is one key of a mapping with its value.
type Entry struct {
	Key   string
	Line  int
	Value ast.Node
}

// Keys are the keys that a mapping may have.
type Keys struct {
	// Names lists them, for the fault of a key that is not known.
	Names []string
	// Read reads the value of a key into its field and reports whether the key
	// is known.
	Read func(key, field string, value ast.Node) bool
}

// Fields reads the entries of a mapping one by one and reports keys that are
// not known or given twice. Parent names the mapping; it is empty for the
// outermost one of a document, whose line is where missing fields are
// reported.
func (d *Document) Fields(entries []Entry, parent string, keys Keys) {
	seen := map[string]bool{}
	for _, e := range entries {
		name := join(parent, e.Key)
		if seen[e.Key] {
			d.Add(e.Line, name, "is given twice")
			continue
		}
		seen[e.Key] = true
		d.lines[name] = e.Line
		if !keys.Read(e.Key, name, e.Value) {
			d.Add(e.Line, name, "is not known; known are "+strings.Join(keys.Names, ", "))
		}
	}
}

// Under makes an entry's mapping the outermost one, for documents whose fields
// stand under one key.
func (d *Document) Under(e Entry) ([]Entry, bool) {
	d.first = e.Line
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

func join(parent, key string) string {
	if parent == "" {
		return key
	}
	return parent + "." + key
}
