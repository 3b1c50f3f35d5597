package settings

import (
	"cmp"
	"errors"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Document is a settings file that was read, with the faults found so far.
type Document struct {
	file   string
	lines  map[string]int
	faults Faults
	// unread is set when the file's text is not YAML, so that nothing is known
	// of its fields.
	unread bool
}

// Parse reads data into the struct that into points to. Keys are the names of
// the struct's fields. Fields that the file does not name keep their values.
func Parse(file string, data []byte, into any) *Document {
	d := &Document{file: file, lines: map[string]int{}}
	parsed, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.syntax(err)
		return d
	}
	if len(parsed.Docs) > 1 {
		d.add(1, "", "holds more than one document")
		return d
	}
	if len(parsed.Docs) == 0 || parsed.Docs[0].Body == nil {
		d.add(1, "", "is empty")
		return d
	}
	d.value(parsed.Docs[0].Body, "", reflect.ValueOf(into).Elem())
	return d
}

// Fault adds a fault of a field, for checks beyond the field's type. A field
// that the file does not name is reported at the line of the nearest mapping
// around it. A file that is not YAML has no further faults.
func (d *Document) Fault(field, problem string) {
	if d.unread {
		return
	}
	d.add(d.line(field), field, problem)
}

// Err returns all faults as [Faults], or nil if there are none.
func (d *Document) Err() error {
	if len(d.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(d.faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return d.faults
}

func (d *Document) add(line int, field, problem string) {
	d.faults = append(d.faults, Fault{File: d.file, Line: line, Field: field, Problem: problem})
}

func (d *Document) line(field string) int {
	for field != "" {
		if line, ok := d.lines[field]; ok {
			return line
		}
		field = field[:max(strings.LastIndexAny(field, ".["), 0)]
	}
	return 1
}

func (d *Document) syntax(err error) {
	d.unread = true
	var syntax yaml.Error
	if errors.As(err, &syntax) && syntax.GetToken() != nil {
		d.add(syntax.GetToken().Position.Line, "", syntax.GetMessage())
		return
	}
	d.add(1, "", err.Error())
}

// value reads node into v, which field names.
func (d *Document) value(node ast.Node, field string, v reflect.Value) {
	switch {
	case v.Type() == reflect.TypeFor[time.Duration]():
		d.duration(node, field, v)
	case v.Kind() == reflect.Struct:
		d.structure(node, field, v)
	case v.Kind() == reflect.Slice:
		d.list(node, field, v)
	default:
		d.scalar(node, field, v)
	}
}

func (d *Document) structure(node ast.Node, field string, v reflect.Value) {
	mapping, ok := node.(ast.MapNode)
	if !ok {
		d.add(lineOf(node), field, "must be a mapping")
		return
	}
	seen := map[string]bool{}
	for entries := mapping.MapRange(); entries.Next(); {
		key := entries.Key().GetToken().Value
		name := join(field, key)
		line := lineOf(entries.Key())
		target, known := v.Type().FieldByName(key)
		switch {
		case !known || !target.IsExported():
			d.add(line, name, "is not known; known are "+names(v.Type()))
		case seen[key]:
			d.add(line, name, "is given twice")
		default:
			d.lines[name] = line
			d.value(entries.Value(), name, v.FieldByIndex(target.Index))
		}
		seen[key] = true
	}
}

func (d *Document) list(node ast.Node, field string, v reflect.Value) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		d.add(lineOf(node), field, "must be a list")
		return
	}
	items := reflect.MakeSlice(v.Type(), len(sequence.Values), len(sequence.Values))
	for i, item := range sequence.Values {
		name := field + "[" + strconv.Itoa(i) + "]"
		d.lines[name] = lineOf(item)
		d.value(item, name, items.Index(i))
	}
	v.Set(items)
}

func (d *Document) duration(node ast.Node, field string, v reflect.Value) {
	parsed, err := time.ParseDuration(node.GetToken().Value)
	if err != nil {
		d.add(lineOf(node), field, "must be a duration with its unit, such as 250ms or 5s")
		return
	}
	v.SetInt(int64(parsed))
}

func (d *Document) scalar(node ast.Node, field string, v reflect.Value) {
	if err := yaml.NodeToValue(node, v.Addr().Interface()); err != nil {
		d.add(lineOf(node), field, "must be "+kindName(v.Kind()))
	}
}

func lineOf(node ast.Node) int { return node.GetToken().Position.Line }

func join(parent, key string) string {
	if parent == "" {
		return key
	}
	return parent + "." + key
}

func names(t reflect.Type) string {
	var out []string
	for i := range t.NumField() {
		if t.Field(i).IsExported() {
			out = append(out, t.Field(i).Name)
		}
	}
	return strings.Join(out, ", ")
}

func kindName(k reflect.Kind) string {
	switch k {
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64, reflect.Uint64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	default:
		return "a text"
	}
}
