package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one error in a file. File and Line are empty for a value that was not
// read from a file.
type Fault struct {
	File    string
	Line    int
	Field   string
	Problem string
}

// Error names the file, line and field, where known, and the problem.
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

// Faults are all the errors in a file. [Faults.Err] sorts them by line.
type Faults []Fault

// Error lists the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns the faults sorted by line, or nil if there are none. A nil Faults
// converted to error would not be nil.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	slices.SortStableFunc(f, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return f
}
