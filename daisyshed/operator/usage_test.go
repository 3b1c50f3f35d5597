package operator_test

import (
	"strings"
	"testing"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/operator"
	"github.com/matryer/is"
)

// Operators must see for each tenant what a node admits, rejects and holds, and that a cap has ended.
func TestUsageOfTenantsIsShown(t *testing.T) {
	is := is.New(t)
	text := scrape(t, func(m *operator.Metrics) {
		ended := core.TenantUsageStatus{Tenant: "zeta", Cap: 5, Share: 1}
		m.RecordStatus(core.Status{UsageParts: 3, Usage: []core.TenantUsageStatus{
			{Tenant: "acme", Cap: 100, Share: 40, Level: 20, Admitted: 7000, Rejected: 9}, ended,
		}})
		m.RecordStatus(core.Status{UsageParts: 3, Usage: []core.TenantUsageStatus{{Tenant: "acme", Cap: 100, Share: 40, Level: 20, Admitted: 7000, Rejected: 9}}})
	})
	for _, line := range []string{
		`usage_admitted{tenant="acme"} 7000`, `usage_rejected_requests{tenant="acme"} 9`, `usage_share_per_second{tenant="acme"} 40`,
		`usage_share_left{tenant="acme"} 20`, `usage_cap_per_second{tenant="acme"} 100`, `usage_cap_per_second{tenant="zeta"} 0`, `usage_parts_allocated 3`,
	} {
		is.True(strings.Contains(text, "daisyshed_"+line+"\n"))
	}
}
