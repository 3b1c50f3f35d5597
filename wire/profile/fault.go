package profile

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one thing wrong with a document. File and Line are empty for a
// value that was not read from a file.
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
	var lines []string
	for _, fault := range f {
		lines = append(lines, fault.Error())
	}
	return strings.Join(lines, "\n")
}

// sorted returns the faults in the order of their lines.
func (f Faults) sorted() Faults {
	slices.SortStableFunc(f, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return f
}

// err returns nil where there are no faults, which a nil Faults in an error
// would not be.
func (f Faults) err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
