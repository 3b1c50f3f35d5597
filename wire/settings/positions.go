package settings

import "strings"

// Place remembers where each field of a document stands.
type Place struct {
	file string
	// first is the line at which a field that is missing is reported.
	first int
	lines map[string]int
}

// Locate returns faults that name fields only with their file and lines. A
// field that the file does not name is reported at the line of the nearest
// mapping around it.
func (p Place) Locate(faults Faults) Faults {
	var out Faults
	for _, f := range faults {
		f.File, f.Line = p.file, p.line(f.Field)
		out = append(out, f)
	}
	return out
}

// Given reports whether the file names a field.
func (p Place) Given(field string) bool {
	_, ok := p.lines[field]
	return ok
}

func (p Place) line(field string) int {
	for field != "" {
		if line, ok := p.lines[field]; ok {
			return line
		}
		field = field[:max(strings.LastIndexAny(field, ".["), 0)]
	}
	return p.first
}
