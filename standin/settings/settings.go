// Package settings reads a program's settings from YAML. It refuses unknown
// fields and reports all faults at once, each with its line.
package settings

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Problem is one fault in a settings file. Line is zero for a field that is
// missing.
type Problem struct {
	Line   int
	Field  string
	Reason string
}

func (p Problem) String() string {
	if p.Line == 0 {
		return fmt.Sprintf(": %s: %s", p.Field, p.Reason)
	}
	return fmt.Sprintf(":%d: %s: %s", p.Line, p.Field, p.Reason)
}

// Invalid lists all faults of a settings file.
type Invalid struct {
	File     string
	Problems []Problem
}

func (e Invalid) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, e.File+p.String())
	}
	return strings.Join(lines, "\n")
}

// Checked is implemented by settings that can check their own values. Fields
// in the problems are paths as in Pools[0].Address; lines are left at zero.
type Checked interface{ Check() []Problem }

// Load reads a file into target, a pointer to a struct that holds the
// defaults. Its error is an [Invalid] if the file could be read.
func Load(file string, target any) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	l := loader{lines: map[string]int{}}
	l.parse(data, target)
	if checked, ok := target.(Checked); ok {
		l.check(checked)
	}
	if len(l.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(l.problems, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return Invalid{File: file, Problems: l.problems}
}

// loader walks a document and its target together.
type loader struct {
	problems []Problem
	lines    map[string]int
}

func (l *loader) parse(data []byte, target any) {
	file, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		l.problem(1, "file", err)
		return
	}
	for _, doc := range file.Docs {
		if doc.Body != nil {
			l.walk(doc.Body, reflect.ValueOf(target).Elem(), "")
		}
	}
}

// check adds the problems that the settings find in themselves, but for fields
// that could not be read.
func (l *loader) check(checked Checked) {
	unread := l.problems
	for _, p := range checked.Check() {
		if slices.ContainsFunc(unread, func(u Problem) bool { return u.Field == p.Field }) {
			continue
		}
		p.Line = l.lines[p.Field]
		l.problems = append(l.problems, p)
	}
}

func (l *loader) walk(node ast.Node, target reflect.Value, path string) {
	line := node.GetToken().Position.Line
	l.lines[path] = line
	switch target.Kind() {
	case reflect.Struct:
		l.walkStruct(node, target, path)
	case reflect.Slice:
		l.walkSlice(node, target, path)
	default:
		if err := yaml.NodeToValue(node, target.Addr().Interface()); err != nil {
			l.problem(line, path, err)
		}
	}
}

func (l *loader) walkStruct(node ast.Node, target reflect.Value, path string) {
	mapping, ok := node.(ast.MapNode)
	if !ok {
		l.add(node.GetToken().Position.Line, cmp.Or(path, "file"), "is not a mapping")
		return
	}
	fields := map[string]reflect.Value{}
	collect(target, fields)
	seen := map[string]bool{}
	for entries := mapping.MapRange(); entries.Next(); {
		key := entries.Key().GetToken().Value
		line := entries.Key().GetToken().Position.Line
		name := strings.TrimPrefix(path+"."+key, ".")
		field, known := fields[key]
		switch {
		case !known:
			l.add(line, name, "is not a known field")
		case seen[key]:
			l.add(line, name, "is given twice")
		default:
			l.walk(entries.Value(), field, name)
			l.lines[name] = line
		}
		seen[key] = true
	}
}

func (l *loader) walkSlice(node ast.Node, target reflect.Value, path string) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		l.add(node.GetToken().Position.Line, path, "is not a sequence")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(sequence.Values), len(sequence.Values)))
	for i, value := range sequence.Values {
		l.walk(value, target.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
}

// collect finds a struct's fields by their name in YAML: the name in the tag,
// or the field's own.
func collect(target reflect.Value, fields map[string]reflect.Value) {
	for i := range target.NumField() {
		f := target.Type().Field(i)
		name, options, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		switch {
		case options == "inline":
			collect(target.Field(i), fields)
		case name == "-" || !f.IsExported():
		case name == "":
			fields[f.Name] = target.Field(i)
		default:
			fields[name] = target.Field(i)
		}
	}
}

func (l *loader) problem(line int, field string, err error) {
	reason := err.Error()
	var detailed yaml.Error
	if errors.As(err, &detailed) {
		reason = detailed.GetMessage()
		if token := detailed.GetToken(); token != nil {
			line = token.Position.Line
		}
	}
	l.add(line, field, reason)
}

func (l *loader) add(line int, field, reason string) {
	l.problems = append(l.problems, Problem{Line: line, Field: field, Reason: reason})
}
