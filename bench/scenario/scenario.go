package scenario

import (
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/standin/engine"
)

// Scenario is one set of engines, load and faults under which policies are
// compared.
type Scenario struct {
	Name    string
	Region  core.RegionID
	Domains []core.DomainID
	// Nodes is the number of entry VMs, spread over the failure domains.
	Nodes    int
	Engines  []EngineSet
	Profiles []core.Profile
	Classes  []Class
	// Customers are the customers that send requests.
	Customers Customers
	// Factor is the arrival rate as a multiple of Capacity.
	Factor float64
	// LinkDelay is the one-way delay between nodes and engines, CallerDelay that
	// between callers and nodes, and LogDelay the time that the log takes to
	// answer.
	LinkDelay   time.Duration
	CallerDelay time.Duration
	LogDelay    time.Duration
	Faults      []Fault
}

// EngineSet is a number of identical engines of one pool.
type EngineSet struct {
	Pool     core.Pool
	Count    int
	Settings engine.Settings
}

// UnknownScenarioError reports that no scenario has the given name.
type UnknownScenarioError struct{ Name string }

// Error returns a message with the unknown name.
func (e UnknownScenarioError) Error() string { return "unknown scenario " + e.Name }

// All returns the scenarios of both mixes. Each mix's base scenario comes
// before its variants.
func All() []Scenario {
	return append(variants(prairiePeak()), variants(sarhadBorrowed())...)
}

// Find returns the scenario with the given name.
func Find(name string) (Scenario, error) {
	for _, s := range All() {
		if s.Name == name {
			return s, nil
		}
	}
	return Scenario{}, UnknownScenarioError{Name: name}
}

// Profile returns the profile with the given ID.
func (s Scenario) Profile(id core.ProfileID) (core.Profile, bool) {
	for _, p := range s.Profiles {
		if p.ID == id {
			return p, true
		}
	}
	return core.Profile{}, false
}

// domainOf returns the failure domain of the i-th VM of a kind. VMs are spread
// evenly over the domains.
func (s Scenario) domainOf(i int) core.DomainID { return s.Domains[i%len(s.Domains)] }
