package experiment

import "daisyshed.dev/core"

// Policy is a named way to place requests.
type Policy struct {
	Name string
	Core core.Policy
}

// UnknownPolicy says that no policy has the given name.
type UnknownPolicy struct{ Name string }

// Error names the policy that was asked for.
func (e UnknownPolicy) Error() string { return "unknown policy " + e.Name }

// Policies returns the baselines, the product and its ablations.
func Policies() []Policy {
	return []Policy{
		{"random", core.Policy{Placement: core.RandomChoice}},
		{"two-choices", core.Policy{Placement: core.TwoChoices}},
		{"daisyshed", core.Policy{}},
		{"daisyshed-no-locality", core.Policy{NoPrefixLocality: true}},
		{"daisyshed-no-admission", core.Policy{NoAdmission: true}},
		{"daisyshed-no-shares", core.Policy{NoFairShares: true}},
		{"daisyshed-no-decode-promise", core.Policy{NoDecodeReservation: true}},
		{"daisyshed-no-overlap", core.Policy{NoOverlap: true}},
	}
}

// FindPolicy returns the policy of that name.
func FindPolicy(name string) (Policy, error) {
	for _, p := range Policies() {
		if p.Name == name {
			return p, nil
		}
	}
	return Policy{}, UnknownPolicy{Name: name}
}
