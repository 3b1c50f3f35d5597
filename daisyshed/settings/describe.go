package settings

import (
	"fmt"
	"reflect"
	"strings"
	"time"
)

// Describe lists all settings, one a line, with their meaning and default.
func Describe() string {
	var b strings.Builder
	describe(&b, "", reflect.ValueOf(Default()))
	return b.String()
}

// describe writes one line for each field of the struct v, and for those of
// structs within it. Field names follow prefix.
func describe(b *strings.Builder, prefix string, v reflect.Value) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		name := prefix + field.Name
		switch {
		case field.Type.Kind() == reflect.Struct:
			describe(b, name+".", v.Field(i))
		case field.Type.Kind() == reflect.Slice:
			fmt.Fprintf(b, "  %s: %s\n", name, field.Tag.Get("help"))
			describe(b, name+"[].", reflect.Zero(field.Type.Elem()))
		default:
			fmt.Fprintf(b, "  %s: %s%s\n", name, field.Tag.Get("help"), defaultText(v.Field(i)))
		}
	}
}

// defaultText returns the text for a field's default, or "" if it has none.
func defaultText(v reflect.Value) string {
	if v.IsZero() {
		return ""
	}
	if d, ok := v.Interface().(time.Duration); ok {
		return " (default " + d.String() + ")"
	}
	return fmt.Sprintf(" (default %v)", v.Interface())
}
