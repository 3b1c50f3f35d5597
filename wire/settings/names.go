package settings

import (
	"reflect"
)

// fieldsOf returns the fields of a struct by the keys that a file uses for them,
// and the keys in the order of the struct. Fields tagged yaml:"-" are left out, and
// so are fields of an inlined struct whose key the outer struct has already.
func fieldsOf(v reflect.Value) (map[string]reflect.Value, []string) {
	targets := map[string]reflect.Value{}
	var names []string
	for i := range v.NumField() {
		field := v.Type().Field(i)
		tag := field.Tag.Get("yaml")
		switch {
		case tag == ",inline":
			inner, innerNames := fieldsOf(v.Field(i))
			for _, name := range innerNames {
				if _, outer := targets[name]; !outer {
					targets[name] = inner[name]
					names = append(names, name)
				}
			}
		case tag == "-" || !field.IsExported():
		default:
			targets[field.Name] = v.Field(i)
			names = append(names, field.Name)
		}
	}
	return targets, names
}

// Names lists the paths of all fields that a file of these settings may have, such
// as Periods.PollEvery, with [] for the items of a list. Tests compare it with the
// documentation.
func Names(settings any) []string {
	v := reflect.ValueOf(settings)
	if v.Kind() == reflect.Pointer {
		v = v.Elem()
	}
	return namesUnder("", v)
}

func namesUnder(parent string, v reflect.Value) []string {
	var out []string
	targets, names := fieldsOf(v)
	for _, name := range names {
		path, target := joinPath(parent, name), targets[name]
		switch {
		case target.Kind() == reflect.Struct:
			out = append(out, namesUnder(path, target)...)
		case target.Kind() == reflect.Slice && target.Type().Elem().Kind() == reflect.Struct:
			out = append(out, path)
			out = append(out, namesUnder(path+"[]", reflect.Zero(target.Type().Elem()))...)
		default:
			out = append(out, path)
		}
	}
	return out
}
