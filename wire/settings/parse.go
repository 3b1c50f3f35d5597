package settings

import (
	"errors"
	"reflect"
	"strconv"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

// Parse parses data into the struct that into points to. The keys are the names of
// the struct's fields, including those of embedded structs tagged yaml:",inline".
// Fields that are not in the file keep their values.
func Parse(file string, data []byte, into any) *Document {
	documents, err := Split(file, data)
	var faults Faults
	switch {
	case errors.As(err, &faults):
		d := newDocument(file, nil)
		d.invalidYAML, d.faults = true, faults
		return d
	case len(documents) > 1:
		documents[0].AddFaultAt(1, "", "contains more than one document")
		return documents[0]
	case len(documents) == 0 || documents[0].Empty():
		d := newDocument(file, nil)
		d.AddFaultAt(1, "", "is empty")
		return d
	}
	d := documents[0]
	d.readValue(d.body, "", reflect.ValueOf(into).Elem())
	return d
}

// readValue parses node into v. Field is the path of v in the document.
func (d *Document) readValue(node ast.Node, field string, v reflect.Value) {
	switch {
	case v.Type() == reflect.TypeFor[time.Duration]():
		d.readDuration(node, field, v)
	case v.Kind() == reflect.Struct:
		d.readStruct(node, field, v)
	case v.Kind() == reflect.Slice:
		d.readList(node, field, v)
	default:
		d.readScalar(node, field, v)
	}
}

func (d *Document) readStruct(node ast.Node, field string, v reflect.Value) {
	entries, ok := entriesOf(node)
	if !ok {
		d.AddFaultAt(lineOf(node), field, "must be a mapping")
		return
	}
	targets, names := fieldsOf(v)
	d.Fields(entries, field, Keys{Names: names, Read: func(key, name string, value ast.Node) bool {
		target, known := targets[key]
		if known {
			d.readValue(value, name, target)
		}
		return known
	}})
}

func (d *Document) readList(node ast.Node, field string, v reflect.Value) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		d.AddFaultAt(lineOf(node), field, "must be a list")
		return
	}
	items := reflect.MakeSlice(v.Type(), len(sequence.Values), len(sequence.Values))
	for i, item := range sequence.Values {
		name := field + "[" + strconv.Itoa(i) + "]"
		d.lines[name] = lineOf(item)
		d.readValue(item, name, items.Index(i))
	}
	v.Set(items)
}

func (d *Document) readDuration(node ast.Node, field string, v reflect.Value) {
	parsed, err := time.ParseDuration(node.GetToken().Value)
	if err != nil {
		d.AddFaultAt(lineOf(node), field, "must be a duration with its unit, such as 250ms or 5s")
		return
	}
	v.SetInt(int64(parsed))
}

func (d *Document) readScalar(node ast.Node, field string, v reflect.Value) {
	if err := yaml.NodeToValue(node, v.Addr().Interface()); err != nil {
		d.AddFaultAt(lineOf(node), field, "must be "+kindName(v.Kind()))
	}
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
		return "a string"
	}
}
