package statecheck_test

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"daisyshed.dev/core/statecheck"
	"github.com/matryer/is"
)

// sound returns a state without findings.
func sound() statecheck.State {
	return statecheck.State{
		Version: 7,
		Routes: []statecheck.Route{
			{Name: "draft", Host: "h", Prefix: "/draft/", Kind: statecheck.Stream, Timeout: 14 * time.Second, Objective: time.Second, MaxPause: 300 * time.Millisecond, StallAfter: 2 * time.Second, Service: "model", MaxRuns: 2, Resumable: true},
			{Name: "pay", Host: "h", Prefix: "/pay/", Kind: statecheck.Once, Timeout: time.Second, Objective: time.Second / 4, Service: "ledger", MaxRuns: 1},
			{Name: "read", Host: "h", Prefix: "/", Kind: statecheck.Repeatable, Timeout: time.Second, Objective: time.Second / 4, Split: []statecheck.Share{{Service: "ledger", Weight: 9}, {Service: "canary", Weight: 1}}, MaxRuns: 2, Public: true},
		},
		Services: []statecheck.Service{
			{Name: "model", MaxConns: 80, Engine: &statecheck.Engine{Slots: 12, Memory: 28000, MaxLease: 2 * time.Second}},
			{Name: "ledger", MaxConns: 80},
			{Name: "canary"},
		},
		HasTenants: true,
		Tenants: []statecheck.Tenant{
			{Name: "acme", ID: "acme", Keys: []statecheck.Key{{1}}, CountsTokens: true, Unit: "token_count", Rate: 36000, Burst: 1000, PlainTokens: 40},
			{Row: 1, Name: "zeta", ID: "zeta", Keys: []statecheck.Key{{2}}, Unit: "requests", Rate: 2},
		},
		Limits: statecheck.Limits{HeaderBytes: 1 << 14, BodyBytes: 1 << 22, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
}

var deployment = statecheck.Deployment{Nodes: 65, MemoryBytes: 112e6}

// describe returns findings as severity, place and part of the sentence.
func describe(found []statecheck.Finding) string {
	var out []string
	for _, f := range found {
		out = append(out, strings.TrimSpace(fmt.Sprintf("%v %s %v", f.Severity, f.Name, f.Field)))
	}
	return strings.Join(out, "; ")
}

// Each mistake must be found, at its place, and nothing else with it.
func TestEachMistakeIsFound(t *testing.T) {
	is := is.New(t)
	is.Equal(describe(statecheck.Check(sound(), deployment)), "")
	for _, c := range []struct {
		name   string
		change func(s *statecheck.State)
		want   string
	}{
		{"version", func(s *statecheck.State) { s.Version = 0 }, "Error  VersionField"},
		{"no routes", func(s *statecheck.State) { s.Routes, s.Services = nil, nil }, "Warning  RoutesField"},
		{"route without a name", func(s *statecheck.State) { s.Routes[1].Name = "" }, "Error  NameField"},
		{"route names twice", func(s *statecheck.State) { s.Routes[1].Name = "draft" }, "Error draft NameField"},
		{"long name", func(s *statecheck.State) { s.Routes[1].Name = strings.Repeat("x", 256) }, "Error " + strings.Repeat("x", 256) + " NameField"},
		{"no host", func(s *statecheck.State) { s.Routes[1].Host = "" }, "Error pay HostField"},
		{"pattern as host", func(s *statecheck.State) { s.Routes[1].Host = "*.h" }, "Error pay HostField"},
		{"upper-case host", func(s *statecheck.State) { s.Routes[1].Host = "H" }, "Warning pay HostField"},
		{"no prefix", func(s *statecheck.State) { s.Routes[2].Prefix = "" }, "Warning read PrefixField"},
		{"no leading slash", func(s *statecheck.State) { s.Routes[1].Prefix = "pay/" }, "Error pay PrefixField"},
		{"query in prefix", func(s *statecheck.State) { s.Routes[1].Prefix = "/pay/?a=" }, "Error pay PrefixField"},
		{"no trailing slash", func(s *statecheck.State) { s.Routes[1].Prefix = "/pay" }, "Warning pay PrefixField"},
		{"hidden route", func(s *statecheck.State) { s.Routes[1].Prefix = "/draft/" }, "Error pay PrefixField"},
		{"no timeout", func(s *statecheck.State) { s.Routes[1].Timeout = 0 }, "Error pay TimeoutField"},
		{"long timeout", func(s *statecheck.State) { s.Routes[1].Timeout = 2 * time.Hour }, "Warning pay TimeoutField"},
		{"no objective", func(s *statecheck.State) { s.Routes[1].Objective = 0 }, "Error pay ObjectiveField"},
		{"timeout below objective", func(s *statecheck.State) { s.Routes[1].Timeout = time.Second / 5 }, "Warning pay TimeoutField"},
		{"negative pause", func(s *statecheck.State) { s.Routes[0].MaxPause = -1 }, "Error draft MaxPauseField"},
		{"pause without a stream", func(s *statecheck.State) { s.Routes[1].MaxPause = 1 }, "Warning pay MaxPauseField"},
		{"pause above timeout", func(s *statecheck.State) { s.Routes[0].MaxPause = time.Minute }, "Warning draft MaxPauseField"},
		{"silence up to the timeout", func(s *statecheck.State) { s.Routes[0].StallAfter = 14 * time.Second }, "Warning draft TimeoutField"},
		{"negative attempts", func(s *statecheck.State) { s.Routes[0].MaxRuns = -1 }, "Error draft MaxRunsField"},
		{"attempts of a request that runs once", func(s *statecheck.State) { s.Routes[1].MaxRuns = 2 }, "Warning pay MaxRunsField"},
		{"attempts of a stream that runs once", func(s *statecheck.State) { s.Routes[0].Resumable = false }, "Warning draft MaxRunsField"},
		{"attempts beyond all sends", func(s *statecheck.State) { s.Routes[2].MaxRuns = 4 }, "Warning read MaxRunsField"},
		{"resumable without a stream", func(s *statecheck.State) { s.Routes[2].Resumable = true }, "Warning read ResumableField"},
		{"public without tenants", func(s *statecheck.State) { s.HasTenants, s.Tenants = false, nil }, "Warning read PublicField"},
		{"negative priority", func(s *statecheck.State) { s.Routes[1].Priority = -1 }, "Error pay PriorityField"},
		{"priority beside tenants", func(s *statecheck.State) { s.Routes[1].Priority = 16 }, "Warning pay PriorityField"},
		{"no service", func(s *statecheck.State) { s.Routes[1].Service = "" }, "Error pay ServiceField"},
		{"unknown service", func(s *statecheck.State) { s.Routes[1].Service = "x" }, "Error pay ServiceField"},
		{"service beside a split", func(s *statecheck.State) { s.Routes[2].Service = "model" }, "Warning read SplitField"},
		{"service split twice", func(s *statecheck.State) { s.Routes[2].Split[1].Service = "ledger"; s.Services = s.Services[:2] }, "Warning read SplitField"},
		{"negative weight", func(s *statecheck.State) { s.Routes[2].Split[1].Weight = -1 }, "Error read SplitField"},
		{"zero weight", func(s *statecheck.State) { s.Routes[2].Split[1].Weight = 0 }, "Warning read SplitField"},
		{"zero weights", func(s *statecheck.State) { s.Routes[2].Split[0].Weight, s.Routes[2].Split[1].Weight = 0, 0 }, "Error read SplitField"},
		{"infinite weights", func(s *statecheck.State) {
			s.Routes[2].Split[0].Weight, s.Routes[2].Split[1].Weight = math.MaxFloat64, math.MaxFloat64
		}, "Error read SplitField"},
		{"share without a service", func(s *statecheck.State) { s.Routes[2].Split[1].Service = ""; s.Services = s.Services[:2] }, "Error read SplitField"},
		{"service names twice", func(s *statecheck.State) { s.Services[2].Name = "ledger"; s.Routes[2].Split = s.Routes[2].Split[:1] }, "Error ledger NameField"},
		{"service without a route", func(s *statecheck.State) { s.Routes = s.Routes[1:] }, "Warning model NameField"},
		{"negative connections", func(s *statecheck.State) { s.Services[1].MaxConns = -1 }, "Error ledger MaxConnsField"},
		{"connections of nodes", func(s *statecheck.State) { s.Services[1].MaxConns = 64 }, "Warning ledger MaxConnsField"},
		{"connections of a batch", func(s *statecheck.State) { s.Services[0].MaxConns = 75 }, "Warning model MaxConnsField"},
		{"engine without memory", func(s *statecheck.State) { s.Services[0].Engine.Memory = 0 }, "Error model MemoryField"},
		{"negative slots", func(s *statecheck.State) { s.Services[0].Engine.Slots = -1 }, "Error model SlotsField"},
		{"negative event", func(s *statecheck.State) { s.Services[0].Engine.Stride = -1 }, "Error model StrideField"},
		{"negative lease", func(s *statecheck.State) { s.Services[0].Engine.MaxLease = -1 }, "Error model MaxLeaseField"},
		{"negative time of handles", func(s *statecheck.State) { s.Services[0].Engine.HandleTTL = -1 }, "Error model HandleTTLField"},
		{"negative change of role", func(s *statecheck.State) { s.Services[0].Engine.RoleChange = -1 }, "Error model RoleChangeField"},
		{"lease below a prefill", func(s *statecheck.State) { s.Services[0].Engine.MaxLease = time.Millisecond }, "Warning model MaxLeaseField"},
		{"lease below the objective", func(s *statecheck.State) { s.Services[0].Engine.MaxLease = time.Second / 2 }, "Warning model MaxLeaseField"},
		{"nobody has a key", func(s *statecheck.State) { s.Tenants = nil }, "Warning  TenantsField"},
		{"tenant without a key", func(s *statecheck.State) { s.Tenants[1].Keys = nil }, "Warning zeta KeysField"},
		{"burst without a rate", func(s *statecheck.State) { s.Tenants[1].Rate, s.Tenants[1].Burst = 0, 5 }, "Warning zeta RateField"},
		{"tokens of a cap of requests", func(s *statecheck.State) { s.Tenants[1].PlainTokens = 5 }, "Warning zeta PlainTokensField"},
		{"mistaken unit", func(s *statecheck.State) { s.Tenants[1].Unit = "Tokens" }, "Warning zeta UnitField"},
		{"plain requests uncounted", func(s *statecheck.State) { s.Tenants[0].PlainTokens = 0 }, "Warning acme PlainTokensField"},
		{"cap below a plain request", func(s *statecheck.State) { s.Tenants[0].PlainTokens = 40000 }, "Warning acme BurstField"},
		{"cap below a large request", func(s *statecheck.State) { s.Tenants[0].Rate = 20000 }, "Warning acme BurstField"},
		{"cap below one request", func(s *statecheck.State) { s.Tenants[1].Rate = 0.5 }, "Warning zeta BurstField"},
		{"negative headers", func(s *statecheck.State) { s.Limits.HeaderBytes = -1 }, "Error  HeaderBytesField"},
		{"negative bodies", func(s *statecheck.State) { s.Limits.BodyBytes = -1 }, "Error  BodyBytesField"},
		{"negative header timeout", func(s *statecheck.State) { s.Limits.HeaderTimeout = -1 }, "Error  HeaderTimeoutField"},
		{"negative idle timeout", func(s *statecheck.State) { s.Limits.IdleTimeout = -1 }, "Error  IdleTimeoutField"},
		{"idle timeout below that of headers", func(s *statecheck.State) { s.Limits.IdleTimeout = time.Second }, "Warning  IdleTimeoutField"},
		{"bodies beyond memory", func(s *statecheck.State) { s.Limits.BodyBytes = 22e6 }, "Warning  BodyBytesField"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := sound()
			c.change(&s)
			is.Equal(describe(statecheck.Check(s, deployment)), c.want)
		})
	}
}

// A cap that admits the largest request which is served must not be reported, though an engine could
// hold a larger one.
func TestLargestRequestMayBeGiven(t *testing.T) {
	is := is.New(t)
	s := sound()
	s.Tenants[0].Rate = 20000
	is.Equal(describe(statecheck.Check(s, statecheck.Deployment{LargestRequest: 6000})), "")
	is.Equal(describe(statecheck.Check(s, statecheck.Deployment{LargestRequest: 20001})), "Warning acme BurstField")
}

// A batch needs its connections, however many nodes there are.
func TestConnectionsOfABatchAreChecked(t *testing.T) {
	is := is.New(t)
	s := sound()
	s.Services[0].MaxConns = 11
	is.Equal(describe(statecheck.Check(s, statecheck.Deployment{})), "Warning model MaxConnsField")
}

// Each difference must be named once, with what it was and is; keys by their number alone.
func TestEachDifferenceIsNamed(t *testing.T) {
	for _, c := range []struct {
		change func(s *statecheck.State)
		want   string
	}{
		{func(*statecheck.State) {}, ""},
		{func(s *statecheck.State) { s.Routes = s.Routes[1:] }, "draft NoField: The route h/draft/ is removed, which led to model."},
		{func(s *statecheck.State) {
			s.Routes = append(s.Routes, statecheck.Route{Name: "new", Host: "h", Prefix: "/new/", Service: "ledger"})
		}, "new NoField: The route h/new/ is added, to ledger."},
		{func(s *statecheck.State) { s.Routes[1].Service = "canary" }, "pay ServiceField: The route is moved from ledger to canary."},
		{func(s *statecheck.State) { s.Routes[2].Split[1].Weight = 0 }, "read ServiceField: The route is moved from ledger by 9, canary by 1 to ledger by 9, canary by 0."},
		{func(s *statecheck.State) { s.Routes[1].Prefix = "/p/" }, "pay PrefixField: The prefix is changed from /pay/ to /p/."},
		{func(s *statecheck.State) { s.Routes[1].Kind = statecheck.Repeatable }, "pay KindField: The kind is changed from once to repeatable."},
		{func(s *statecheck.State) { s.Routes[1].Timeout = 1500 * time.Millisecond }, "pay TimeoutField: The timeout is raised from 1s to 1.5s."},
		{func(s *statecheck.State) { s.Routes[0].MaxRuns = 1 }, "draft MaxRunsField: The number of attempts is lowered from 2 to 1."},
		{func(s *statecheck.State) { s.Routes[2].Public = false }, "read PublicField: The route needs a key now."},
		{func(s *statecheck.State) { s.Services = s.Services[:2] }, "canary NoField: The service is removed."},
		{func(s *statecheck.State) { s.Services[1].MaxConns = 90 }, "ledger MaxConnsField: The number of connections is raised from 80 to 90."},
		{func(s *statecheck.State) { s.Services[0].Engine = nil }, "model EngineField: The upstreams are no model engines any more."},
		{func(s *statecheck.State) {
			s.Services[0].Engine = &statecheck.Engine{Slots: 12, Memory: 28000, MaxLease: time.Second}
		}, "model MaxLeaseField: The longest lease is lowered from 2s to 1s."},
		{func(s *statecheck.State) { s.HasTenants, s.Tenants = false, nil }, "TenantsField: Callers need no keys any more, and upstreams get the keys that they send.; " +
			"acme NoField: The tenant is removed, with 1 key and a cap of 36000 tokens a second.; zeta NoField: The tenant is removed, with 1 key and a cap of 2 requests a second."},
		{func(s *statecheck.State) { s.Tenants[0].Keys = []statecheck.Key{{3}, {4}} }, "acme KeysField: 2 keys added and 1 removed, which leaves 2."},
		{func(s *statecheck.State) { s.Tenants[0].Rate = 18000 }, "acme RateField: The cap is lowered from 36000 to 18000 tokens a second."},
		{func(s *statecheck.State) { s.Tenants[1].Rate = 0 }, "zeta RateField: The cap is changed from a cap of 2 requests a second to no cap."},
		{func(s *statecheck.State) { s.Tenants[1].HasPriority = true }, "zeta PriorityField: The priority is changed from that of the routes to 0."},
		{func(s *statecheck.State) { s.Limits.IdleTimeout = time.Minute }, "IdleTimeoutField: The time for idle connections is raised from 15s to 1m0s."},
	} {
		is := is.New(t)
		after := sound()
		after.Version = 8
		c.change(&after)
		changes, found := statecheck.Compare(sound(), after)
		var got []string
		for _, x := range changes[1:] {
			got = append(got, strings.TrimSpace(fmt.Sprintf("%s %v: %s", x.Name, x.Field, x.Text)))
		}
		is.Equal(changes[0].Text, "The version is raised from 7 to 8.")
		is.Equal(strings.Join(got, "; "), c.want)
		is.Equal(len(found), 0)
	}
}

// Nodes ignore a state whose version is not higher than that in force.
func TestVersionMustBeHigher(t *testing.T) {
	is := is.New(t)
	_, found := statecheck.Compare(sound(), sound())
	is.Equal(describe(found), "Error  VersionField")
}
