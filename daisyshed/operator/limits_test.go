package operator_test

import (
	"strings"
	"testing"

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
