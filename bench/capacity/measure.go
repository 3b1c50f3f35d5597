package capacity

import "slices"

// Part is one part of the measurement, selected by its name.
type Part struct {
	Name string
	Run  func(seed uint64, emit func(Row))
}

// Parts lists all parts in the order in which they run.
var Parts = []Part{
	{"membership", Membership},
	{"configuration", Configuration},
	{"books", Allocation},
	{"once", Once},
	{"failure", Failure},
}

// UnknownPartError reports that no part has the given name.
type UnknownPartError struct{ Name string }

// Error returns a message with the unknown name.
func (e UnknownPartError) Error() string { return "unknown part " + e.Name }

// Measure runs the named parts, or all if none is named, and emits each figure.
func Measure(only []string, seed uint64, emit func(Row)) error {
	for _, name := range only {
		if !slices.ContainsFunc(Parts, func(p Part) bool { return p.Name == name }) {
			return UnknownPartError{Name: name}
		}
	}
	for _, p := range Parts {
		if len(only) == 0 || slices.Contains(only, p.Name) {
			p.Run(seed, emit)
		}
	}
	return nil
}
