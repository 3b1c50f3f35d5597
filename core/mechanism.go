package core

// Mechanism is a part of the placement on a hosted node that can be turned off, so
// that the effect of each part can be measured with one program.
type Mechanism int

// The mechanisms.
const (
	// OwnedGroups has the owner of a group of engines place the requests of all
	// nodes. Without it, as in the baseline, each node places its requests by
	// what it has placed itself.
	OwnedGroups Mechanism = iota
	// ShortFirst places requests with a longer expected output later.
	ShortFirst
	// LearnedOutput reserves memory by the measured output of earlier requests,
	// not by callers' estimates.
	LearnedOutput
	// RoleChanges reassigns engines between prefill and decode as the load
	// requires.
	RoleChanges
	// KnownReturners recognises the retries of rejected callers.
	KnownReturners
	// EarlyRefusal rejects a request at once if it would wait too long in the
	// queue.
	EarlyRefusal
	// LateReserve keeps memory free for requests that can still be on time.
	LateReserve
	// DecodePrefill has decode engines prefill short prompts when prefill engines are
	// short and memory is not.
	DecodePrefill
	// OverrunReserve keeps memory free for answers that turn out longer than
	// predicted.
	OverrunReserve
	// ReturnSchedule spreads the returns of rejected callers over the time in which
	// they can be served.
	ReturnSchedule
	// ProvenKeys rejects requests for which a key is needed while this node is partitioned from
	// the store and from most nodes, since the key may have been removed.
	ProvenKeys
	// FairShares divides the room between tenants by virtual token counters.
	FairShares
	// RankShares keeps the least share of each rank, and places late requests behind less
	// urgent ones that can be on time.
	RankShares
	// SlowOwners has entries wait longer for an owner whose answers have been slow, and return
	// to one that answers late.
	SlowOwners
	mechanisms
)

// UnknownMechanismError reports a name that no mechanism has.
type UnknownMechanismError struct{ Name string }

// Error returns the message, with the unknown name.
func (e *UnknownMechanismError) Error() string { return "core: unknown mechanism " + e.Name }

// MechanismNamed returns the mechanism with the given name, or an
// [UnknownMechanismError].
func MechanismNamed(name string) (Mechanism, error) {
	for m := range mechanisms {
		if m.String() == name {
			return m, nil
		}
	}
	return 0, &UnknownMechanismError{Name: name}
}

// uses reports whether a mechanism is turned on.
func (n *Node) uses(m Mechanism) bool { return !n.DisabledMechanisms.Has(m) }
