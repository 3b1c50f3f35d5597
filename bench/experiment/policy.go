package experiment

import "daisyshed.dev/core"

// Policy is a named placement policy.
type Policy struct {
	Name string
	Core core.Policy
}

// UnknownPolicyError reports that no policy has the given name.
type UnknownPolicyError struct{ Name string }

// Error returns a message with the unknown name.
func (e UnknownPolicyError) Error() string { return "unknown policy " + e.Name }

// Policies returns the baselines, the product's own policy and its ablations.
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

// FindPolicy returns the policy with the given name.
func FindPolicy(name string) (Policy, error) {
	for _, p := range Policies() {
		if p.Name == name {
			return p, nil
		}
	}
	return Policy{}, UnknownPolicyError{Name: name}
}
