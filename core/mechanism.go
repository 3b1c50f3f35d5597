package core

// Mechanism is a part of the placement of a hosted node that can be left out,
// so that one program measures what each part gives.
type Mechanism int

// The mechanisms.
const (
	// OwnedGroups has the owner of a group of engines place for all nodes.
	// Without it each node places by its own work alone: the baseline.
	OwnedGroups Mechanism = iota
	// ShortFirst puts requests back in the queue by their expected output.
	ShortFirst
	// LearnedOutput reserves memory by what answers took, not by callers'
	// estimates.
	LearnedOutput
	// RoleChanges divides engines between prefill and decode as loads ask.
	RoleChanges
	// KnownReturners recognises refused callers who come back.
	KnownReturners
	// EarlyRefusal refuses at once what would wait in vain.
	EarlyRefusal
	mechanisms
)

// UnknownMechanismError says that a name is none of a mechanism.
type UnknownMechanismError struct{ Name string }

// Error names it.
func (e *UnknownMechanismError) Error() string { return "core: unknown mechanism " + e.Name }

// MechanismNamed returns the mechanism of a name, or an UnknownMechanismError.
func MechanismNamed(name string) (Mechanism, error) {
	for m := range mechanisms {
		if m.String() == name {
			return m, nil
		}
	}
	return 0, &UnknownMechanismError{Name: name}
}

// uses reports whether the node uses a mechanism.
func (n *Node) uses(m Mechanism) bool { return !n.Without.Has(m) }
