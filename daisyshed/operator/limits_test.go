package operator_test

import (
	"strings"
	"testing"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/operator"
	"github.com/matryer/is"
)

// Each exceeded limit must be visible to operators.
func TestExceededLimitsAreCounted(t *testing.T) {
	is := is.New(t)
	text := scrape(t, func(m *operator.Metrics) {
		m.UpstreamLimitExceeded()
		m.StoreLimitExceeded()
		m.CallerLimitExceeded()
	})
	for _, line := range []string{"upstream_limits_exceeded_total 1", "store_limits_exceeded_total 1", "caller_limits_exceeded_total 1"} {
		is.True(strings.Contains(text, "daisyshed_"+line+"\n"))
	}
}

// Rejected keys must be visible to operators, who see no key in the log.
func TestKeyChecksAreCounted(t *testing.T) {
	is := is.New(t)
	text := scrape(t, func(m *operator.Metrics) {
		s := core.Status{Tenants: core.TenantsInForce{KeysNeeded: true, Tenants: 16, Faults: 1}}
		s.KeyChecks[core.KeyUnknown], s.KeyChecks[core.KeyNotYetKnown] = 3, 2
		m.RecordStatus(s)
	})
	for _, line := range []string{`key_checks{outcome="KeyUnknown"} 3`, `key_checks{outcome="KeyNotYetKnown"} 2`, "tenants_in_force 16", "tenant_faults 1"} {
		is.True(strings.Contains(text, "daisyshed_"+line+"\n"))
	}
}
