// Package settings reads YAML files strictly: every fault is reported at once,
// with its file, line and field.
package settings

import (
	"fmt"
	"strings"
)

// Fault is one fault of a settings file.
type Fault struct {
	File    string
	Line    int
	Field   string
	Problem string
}

// Error describes the fault.
func (f Fault) Error() string {
	if f.Field == "" {
		return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Problem)
	}
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Field, f.Problem)
}

// Faults are all faults of a settings file, in the order of their lines.
type Faults []Fault

// Error lists the faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}
