package capacity

import "slices"

// Part is one part of the measurement.
type Part struct {
	Name string
	Run  func(seed uint64, emit func(Row))
}

// Parts are all parts in their order.
var Parts = []Part{
	{"membership", Membership},
	{"configuration", Configuration},
	{"books", Books},
	{"once", Once},
	{"failure", Failure},
}

// UnknownPartError says that there is no part of a name.
type UnknownPartError struct{ Name string }

// Error names the part.
func (e UnknownPartError) Error() string { return "unknown part " + e.Name }

// Measure runs the named parts, or all, and emits each figure.
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
