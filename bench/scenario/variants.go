package scenario

import (
	"slices"
	"time"

	"daisyshed.dev/core"
)

const (
	slowLinkRateFactor   = 0.1
	slowLinkDelayFactor  = 4
	staleReportLag       = 3 * time.Second
	staleEventLag        = 5 * time.Second
	staleGapRate         = 0.2
	churnEvery           = 10 * time.Second
	churnDown            = 5 * time.Second
	faultFrom            = 1.0 / 3
	faultUntil           = 2.0 / 3
	capacityFactor       = 1.0
	overloadFactor       = 1.5
	severeOverloadFactor = 3.0
)

// variants returns a mix's base scenario and its variants under other loads and
// under faults.
func variants(base Scenario) []Scenario {
	return []Scenario{
		base,
		base.withLoad("-capacity", capacityFactor),
		base.withLoad("-overload-1.5", overloadFactor),
		base.withLoad("-overload-3", severeOverloadFactor),
		base.withFault("-domain-loss", DomainLoss{Domain: base.Domains[0], From: faultFrom, Until: faultUntil}),
		base.withFault("-withdrawal", Withdrawal{Pools: base.secondTeamPools(), At: faultFrom}),
		base.withSlowLinks(),
		base.withStaleReports(),
		base.withFault("-node-churn", NodeChurn{Every: churnEvery, Down: churnDown}),
	}
}

func (s Scenario) withLoad(suffix string, factor float64) Scenario {
	s.Name += suffix
	s.Factor = factor
	return s
}

func (s Scenario) withFault(suffix string, f Fault) Scenario {
	s.Name += suffix
	s.Faults = []Fault{f}
	return s
}

// secondTeamPools returns the pools of the second team, which contain a third
// of all engines.
func (s Scenario) secondTeamPools() []core.PoolID {
	own := s.Engines[0].Pool.Team
	var pools []core.PoolID
	for _, set := range s.Engines {
		if set.Pool.Team != own {
			pools = append(pools, set.Pool.ID)
		}
	}
	return pools
}

func (s Scenario) withSlowLinks() Scenario {
	s.Name += "-slow-links"
	s.LinkDelay *= slowLinkDelayFactor
	s.Engines = slices.Clone(s.Engines)
	for i := range s.Engines {
		s.Engines[i].Settings.LinkRate *= slowLinkRateFactor
	}
	return s
}

func (s Scenario) withStaleReports() Scenario {
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
