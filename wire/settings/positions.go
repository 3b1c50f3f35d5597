package settings

import "strings"

// Positions records the line of each field in a document.
type Positions struct {
	file string
	// missingLine is the line at which missing top-level fields are reported.
	missingLine int
	lines       map[string]int
}

// Locate returns the faults with File and Line set from their Field. A field that is
// not in the file gets the line of the nearest enclosing mapping or list.
func (p Positions) Locate(faults Faults) Faults {
	var out Faults
	for _, f := range faults {
		f.File, f.Line = p.file, p.line(f.Field)
		out = append(out, f)
	}
	return out
}

// Has reports whether the file sets a field.
func (p Positions) Has(field string) bool {
	_, ok := p.lines[field]
	return ok
}

func (p Positions) line(field string) int {
	for field != "" {
		if line, ok := p.lines[field]; ok {
			return line
		}
		field = field[:max(strings.LastIndexAny(field, ".["), 0)]
	}
	return p.missingLine
}
