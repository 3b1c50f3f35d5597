package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one thing wrong with a file. File and Line are empty for a value
// that was not read from a file.
type Fault struct {
	File    string
	Line    int
	Field   string
	Problem string
}

// Error names the place and the problem.
func (f Fault) Error() string {
	var parts []string
	if f.File != "" {
		parts = append(parts, fmt.Sprintf("%s:%d", f.File, f.Line))
	}
	if f.Field != "" {
		parts = append(parts, f.Field)
	}
	return strings.Join(append(parts, f.Problem), ": ")
}

// Faults are all that is wrong, in the order of the lines.
type Faults []Fault

// Error lists the faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns the faults in the order of their lines, or nil where there are
// none, which a nil Faults in an error would not be.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	slices.SortStableFunc(f, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return f
}
