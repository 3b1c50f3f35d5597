package scenario

import (
	"slices"
	"time"

	"daisyshed.dev/core"
)

const (
	slowLinkFactor  = 0.1
	slowLinkDelay   = 4
	staleReportLag  = 3 * time.Second
	staleEventLag   = 5 * time.Second
	staleGapRate    = 0.2
	churnEvery      = 10 * time.Second
	churnDown       = 5 * time.Second
	faultFrom       = 1.0 / 3
	faultUntil      = 2.0 / 3
	capacityFactor  = 1.0
	overloadFactor  = 1.5
	collapsedFactor = 3.0
)

// variants returns a mix's base scenario and the same under overload and
// faults.
func variants(base Scenario) []Scenario {
	return []Scenario{
		base,
		base.overloaded("-capacity", capacityFactor),
		base.overloaded("-overload-1.5", overloadFactor),
		base.overloaded("-overload-3", collapsedFactor),
		base.faulty("-domain-loss", DomainLoss{Domain: base.Domains[0], From: faultFrom, Until: faultUntil}),
		base.faulty("-withdrawal", Withdrawal{Pools: base.lent(), At: faultFrom}),
		base.slowLinks(),
		base.staleReports(),
		base.faulty("-node-churn", NodeChurn{Every: churnEvery, Down: churnDown}),
	}
}

func (s Scenario) overloaded(suffix string, factor float64) Scenario {
	s.Name += suffix
	s.Factor = factor
	return s
}

func (s Scenario) faulty(suffix string, f Fault) Scenario {
	s.Name += suffix
	s.Faults = []Fault{f}
	return s
}

// lent returns the pools of the second team, which hold a third of all
// engines.
func (s Scenario) lent() []core.PoolID {
	own := s.Engines[0].Pool.Team
	var pools []core.PoolID
	for _, set := range s.Engines {
		if set.Pool.Team != own {
			pools = append(pools, set.Pool.ID)
		}
	}
	return pools
}

func (s Scenario) slowLinks() Scenario {
	s.Name += "-slow-links"
	s.LinkDelay *= slowLinkDelay
	s.Engines = slices.Clone(s.Engines)
	for i := range s.Engines {
		s.Engines[i].Settings.LinkRate *= slowLinkFactor
	}
	return s
}

func (s Scenario) staleReports() Scenario {
	s.Name += "-stale-reports"
	s.Engines = slices.Clone(s.Engines)
	for i := range s.Engines {
		settings := &s.Engines[i].Settings
		settings.ReportLag = staleReportLag
		settings.EventLag = staleEventLag
		settings.EventGapRate = staleGapRate
	}
	return s
}
