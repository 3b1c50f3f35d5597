package scenario

import (
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/standin/engine"
)

// Scenario is one setting in which policies are compared.
type Scenario struct {
	Name    string
	Region  core.RegionID
	Domains []core.DomainID
	// Nodes is the number of entry VMs, spread over the failure domains.
	Nodes    int
	Engines  []EngineSet
	Profiles []core.Profile
	Classes  []Class
	// Customers says who calls.
	Customers Customers
	// Factor is the load that arrives, as a multiple of Capacity.
	Factor float64
	// LinkDelay is the time one way between nodes and engines, CallerDelay
	// that between callers and nodes, LogDelay that of an answer of the log.
	LinkDelay   time.Duration
	CallerDelay time.Duration
	LogDelay    time.Duration
	Faults      []Fault
}

// EngineSet is a number of like engines of one pool.
type EngineSet struct {
	Pool     core.Pool
	Count    int
	Settings engine.Settings
}

// UnknownScenario says that no scenario has the given name.
type UnknownScenario struct{ Name string }

// Error names the scenario that was asked for.
func (e UnknownScenario) Error() string { return "unknown scenario " + e.Name }

// All returns every scenario, each mix's base first.
func All() []Scenario {
	return append(variants(prairiePeak()), variants(sarhadBorrowed())...)
}

// Find returns the scenario of that name.
func Find(name string) (Scenario, error) {
	for _, s := range All() {
		if s.Name == name {
			return s, nil
		}
	}
	return Scenario{}, UnknownScenario{Name: name}
}

// Profile returns the profile of that id.
func (s Scenario) Profile(id core.ProfileID) (core.Profile, bool) {
	for _, p := range s.Profiles {
		if p.ID == id {
			return p, true
		}
	}
	return core.Profile{}, false
}

// spread returns the failure domain of the i-th VM of a kind.
func (s Scenario) spread(i int) core.DomainID { return s.Domains[i%len(s.Domains)] }
