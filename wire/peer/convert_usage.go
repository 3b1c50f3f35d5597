package peer

import (
	"time"

	"daisyshed.dev/core"
)

func fromUsageReported(b core.UsageReported) *UsageReported {
	return &UsageReported{Version: b.Version, Tenants: convertAll(b.Tenants, func(u core.TenantUsage) *TenantUsage {
		return &TenantUsage{
			Tenant: string(u.Tenant), Demand: u.Demand, Used: u.Used, Rate: u.Rate, Level: u.Level, LeftNanos: int64(u.Left),
		}
	})}
}

func toUsageReported(b *UsageReported) core.UsageReported {
	return core.UsageReported{Version: b.GetVersion(), Tenants: convertAll(b.GetTenants(), func(u *TenantUsage) core.TenantUsage {
		return core.TenantUsage{
			Tenant: core.TenantID(u.GetTenant()), Demand: u.GetDemand(), Used: u.GetUsed(),
			Rate: u.GetRate(), Level: u.GetLevel(), Left: time.Duration(u.GetLeftNanos()),
		}
	})}
}

func fromUsageGranted(b core.UsageGranted) *UsageGranted {
	return &UsageGranted{Version: b.Version, Shares: convertAll(b.Shares, func(s core.UsageShare) *UsageShare {
		return &UsageShare{
			Tenant: string(s.Tenant), Rate: s.Rate, Burst: s.Burst, LeftNanos: int64(s.Left), UsedElsewhere: s.UsedElsewhere,
		}
	})}
}

func toUsageGranted(b *UsageGranted) core.UsageGranted {
	return core.UsageGranted{Version: b.GetVersion(), Shares: convertAll(b.GetShares(), func(s *UsageShare) core.UsageShare {
		return core.UsageShare{
			Tenant: core.TenantID(s.GetTenant()), Rate: s.GetRate(), Burst: s.GetBurst(),
			Left: time.Duration(s.GetLeftNanos()), UsedElsewhere: s.GetUsedElsewhere(),
		}
	})}
}
