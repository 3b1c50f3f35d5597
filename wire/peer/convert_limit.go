package peer

import "daisyshed.dev/core"

func fromLimitsReported(b core.LimitsReported) *LimitsReported {
	return &LimitsReported{Limits: convertAll(b.Limits, func(l core.NamedLimit) *NamedLimit {
		return &NamedLimit{Engine: string(l.Engine), Born: l.Born, Limited: l.Limited, Rate: float64(l.Rate)}
	})}
}

func toLimitsReported(b *LimitsReported) core.LimitsReported {
	return core.LimitsReported{Limits: convertAll(b.GetLimits(), func(l *NamedLimit) core.NamedLimit {
		return core.NamedLimit{
			Engine: core.EngineID(l.GetEngine()), Born: l.GetBorn(), Limited: l.GetLimited(), Rate: core.RequestRate(l.GetRate()),
		}
	})}
}

func fromPlacerAnnounced(b core.PlacerAnnounced) *PlacerAnnounced {
	return &PlacerAnnounced{Service: string(b.Group.Service), Index: uint32(b.Group.Index), Demand: b.Demand}
}

func toPlacerAnnounced(b *PlacerAnnounced) core.PlacerAnnounced {
	return core.PlacerAnnounced{
		Group: core.DispatchGroup{Service: core.ServiceID(b.GetService()), Index: int(b.GetIndex())}, Demand: b.GetDemand(),
	}
}
